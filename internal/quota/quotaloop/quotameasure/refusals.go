package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/quota"
	"github.com/chestnutarch/chestnutarch/internal/quota/quotaloop"
)

// The fleet and the team at which refusals are measured. The fleet has today's size.
// Rates are in tokens per second.
const (
	fleetSize        = 7
	failureDomains   = 4
	teamRate         = 100_000
	smallTeamRate    = 7_000
	warmUp           = 20 * time.Second
	measuredDuration = 120 * time.Second
	// smallMeasuredDuration is longer, because a small team sends few requests.
	smallMeasuredDuration = 20 * time.Minute
)

// vmChooser chooses the VM at which a request arrives. The time at counts from the end
// of the warm-up.
type vmChooser func(rng *rand.Rand, at time.Duration) int

func evenDemand(rng *rand.Rand, _ time.Duration) int { return rng.IntN(fleetSize) }

// skewedDemand sends four fifths of the requests to one VM and spreads the others over
// all VMs.
func skewedDemand(rng *rand.Rand, _ time.Duration) int {
	if rng.IntN(5) > 0 {
		return 0
	}
	return rng.IntN(fleetSize)
}

// movingDemand sends all requests to one VM, which changes every four seconds.
func movingDemand(_ *rand.Rand, at time.Duration) int {
	return int(at/(4*time.Second)) * 3 % fleetSize
}

// scenario describes one run.
type scenario struct {
	name string
	// loadPercent is the demand in percent of the rate.
	loadPercent int
	chooseVM    vmChooser
	// largePerMille is the share, in a thousand, of requests between a tenth of the
	// burst and the whole burst.
	largePerMille int
	// smallTeam selects a team with a small rate, of which one VM's part covers only
	// a few requests.
	smallTeam   bool
	injectFault func(w *quotaloop.World)
}

func noFault(*quotaloop.World) {}

func storeOutage(w *quotaloop.World) {
	w.At(warmUp, func() { w.ChangeStoreFaults(func(f *quotaloop.StoreFaults) { f.Down = true }) })
}

func killedVM(w *quotaloop.World) {
	w.At(warmUp+10*time.Second, func() { w.Kill(quotaloop.VM(3)) })
}

func killedVMAndStoreOutage(w *quotaloop.World) {
	storeOutage(w)
	killedVM(w)
}

func restarts(w *quotaloop.World) {
	for i := range 5 {
		w.At(warmUp+time.Duration(i+1)*20*time.Second, func() { w.Restart(quotaloop.VM(i)) })
	}
}

func gracefulLeave(w *quotaloop.World) {
	w.At(warmUp+10*time.Second, func() { w.Leave(quotaloop.VM(2)) })
	w.At(warmUp+15*time.Second, func() { w.Kill(quotaloop.VM(2)) })
}

func messageLoss(w *quotaloop.World) {
	w.Network.Loss = 10
	w.Network.Repeat = 10
}

var scenarios = []scenario{
	{"even, 80%", 80, evenDemand, 0, false, noFault},
	{"even, 95%", 95, evenDemand, 0, false, noFault},
	{"even, 80%, one in 200 large", 80, evenDemand, 5, false, noFault},
	{"small team, even, 80%", 80, evenDemand, 0, true, noFault},
	{"small team, even, 95%", 95, evenDemand, 0, true, noFault},
	{"small team, skewed, 80%", 80, skewedDemand, 0, true, noFault},
	{"skewed, 80%", 80, skewedDemand, 0, false, noFault},
	{"skewed, 95%", 95, skewedDemand, 0, false, noFault},
	{"moving, 80%", 80, movingDemand, 0, false, noFault},
	{"moving, 95%", 95, movingDemand, 0, false, noFault},
	{"even, four times over", 400, evenDemand, 0, false, noFault},
	{"skewed, four times over", 400, skewedDemand, 0, false, noFault},
	{"moving, four times over", 400, movingDemand, 0, false, noFault},
	{"1% of messages lost and repeated, even, 80%", 80, evenDemand, 0, false, messageLoss},
	{"1% of messages lost and repeated, skewed, 80%", 80, skewedDemand, 0, false, messageLoss},
	{"service out, even, 80%", 80, evenDemand, 0, false, storeOutage},
	{"service out, moving, 80%", 80, movingDemand, 0, false, storeOutage},
	{"one VM dead, even, 80%", 80, evenDemand, 0, false, killedVM},
	{"one VM dead, even, 100%", 100, evenDemand, 0, false, killedVM},
	{"one VM dead, service out, even, 80%", 80, evenDemand, 0, false, killedVMAndStoreOutage},
	{"one VM dead, service out, moving, 80%", 80, movingDemand, 0, false, killedVMAndStoreOutage},
	{"one VM dead, service out, even, 100%", 100, evenDemand, 0, false, killedVMAndStoreOutage},
	{"five restarts, even, 80%", 80, evenDemand, 0, false, restarts},
	{"one VM leaves, even, 80%", 80, evenDemand, 0, false, gracefulLeave},
}

// runResult is the result of one run. The token counts are of the offered requests and
// of those that the ideal bucket, the leases and the static parts admit.
type runResult struct {
	offeredTokens, idealTokens, leaseTokens, staticTokens int64
	// leaseFalseRefusals and staticFalseRefusals count the requests that the ideal
	// bucket admits and that the leases or the static parts refuse. idealRequests
	// counts all requests that the ideal bucket admits.
	leaseFalseRefusals, idealRequests int64
	staticFalseRefusals               int64
	causes                            map[quota.Cause]int64
	waits                             []time.Duration
	messagesSent                      int64
	err                               error
}

// run simulates a scenario with the leases, the ideal bucket and static parts on the
// same arrivals.
func (s scenario) run(seed uint64) runResult {
	rate, burst := s.limits()
	w := quotaloop.New(quotaloop.Options{
		VMs: fleetSize, Domains: failureDomains, Rate: rate, Burst: burst, Seed: seed,
		Network: quotaloop.NetworkFaults{Delay: 250 * time.Microsecond, Jitter: 200 * time.Microsecond},
		Store:   quotaloop.StoreFaults{Delay: time.Millisecond, Jitter: 2 * time.Millisecond},
		Tick:    5 * time.Millisecond,
	})
	t := runResult{causes: make(map[quota.Cause]int64)}
	r := &runner{scenario: s, world: w, result: &t, rng: rand.New(rand.NewPCG(seed, 9))}
	r.ideal = quotaloop.NewIdealBucket(rate, burst)
	for range fleetSize {
		full := burst * quota.NanoPerToken / fleetSize
		r.staticParts = append(r.staticParts, quota.NewBucket(0, rate*quota.NanoPerToken/fleetSize, full, full))
	}
	s.injectFault(w)
	w.At(warmUp, r.arrive)
	w.OnVerdict = r.verdict
	t.err = w.Run(warmUp + s.duration() + time.Second)
	t.messagesSent = w.MessagesSent
	return t
}

// limits returns the team's rate and burst. The burst is two seconds' worth of the
// rate.
func (s scenario) limits() (tokens, burst int64) {
	if s.smallTeam {
		return smallTeamRate, 2 * smallTeamRate
	}
	return teamRate, 2 * teamRate
}

// duration is how long requests arrive.
func (s scenario) duration() time.Duration {
	if s.smallTeam {
		return smallMeasuredDuration
	}
	return measuredDuration
}

type runner struct {
	scenario    scenario
	world       *quotaloop.World
	result      *runResult
	rng         *rand.Rand
	ideal       *quotaloop.IdealBucket
	staticParts []*quota.Bucket
}

// size draws the tokens of a request, mostly a few hundred to a few thousand.
func (r *runner) size() int64 {
	_, burst := r.scenario.limits()
	if r.rng.IntN(1000) < r.scenario.largePerMille {
		return burst/10 + r.rng.Int64N(burst*9/10)
	}
	return 200 + int64(r.rng.ExpFloat64()*800)
}

func (r *runner) arrive() {
	w := r.world
	at := w.Now - warmUp
	if at > r.scenario.duration() {
		return
	}
	tokens := r.size()
	vm := r.scenario.chooseVM(r.rng, at)
	for !w.Alive(quotaloop.VM(vm)) {
		vm = (vm + 1) % fleetSize
	}
	r.result.offeredTokens += tokens
	ideal := r.ideal.Take(w.Now, tokens)
	if ideal {
		r.result.idealTokens += tokens
		r.result.idealRequests++
	}
	if r.staticParts[vm].Take(w.Now, tokens*quota.NanoPerToken) {
		r.result.staticTokens += tokens
	} else if ideal {
		r.result.staticFalseRefusals++
	}
	w.AcquireTagged(quotaloop.VM(vm), 0, tokens, ideal)
	rate, _ := r.scenario.limits()
	mean := float64(r.meanSize()) * 100 / float64(rate*int64(r.scenario.loadPercent)) * float64(time.Second)
	w.At(w.Now+time.Duration(r.rng.ExpFloat64()*mean), r.arrive)
}

// meanSize returns the mean of size.
func (r *runner) meanSize() int64 {
	_, burst := r.scenario.limits()
	return (int64(1000-r.scenario.largePerMille)*1000 + int64(r.scenario.largePerMille)*burst*11/20) / 1000
}

func (r *runner) verdict(_ string, tokens int64, v quota.Verdict, waited time.Duration, ideal bool) {
	if v.Admitted {
		r.result.leaseTokens += tokens
		r.result.waits = append(r.result.waits, waited)
		return
	}
	if ideal {
		r.result.leaseFalseRefusals++
		r.result.causes[v.Cause]++
	}
}

// percent formats part as a percentage of whole, or "-" if whole is zero.
func percent(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f%%", 100*float64(part)/float64(whole))
}

func measureRefusals() error {
	fmt.Println("| scenario | ideal admits of offered | leases refuse of ideal (tokens) | requests | static parts refuse (tokens) | wait p99 | wait max | messages/s/VM | causes |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, s := range scenarios {
		t := s.run(1)
		if t.err != nil {
			return t.err
		}
		slices.Sort(t.waits)
		fmt.Printf("| %s | %s | %s | %s | %s | %.1f ms | %.1f ms | %.1f | %v |\n", s.name,
			percent(t.idealTokens, t.offeredTokens), percent(t.idealTokens-t.leaseTokens, t.idealTokens), percent(t.leaseFalseRefusals, t.idealRequests),
			percent(t.idealTokens-t.staticTokens, t.idealTokens), quantile(t.waits, 0.99), quantile(t.waits, 1),
			float64(t.messagesSent)/fleetSize/(warmUp+s.duration()).Seconds(), t.causes)
	}
	return nil
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[at]) / float64(time.Millisecond)
}
