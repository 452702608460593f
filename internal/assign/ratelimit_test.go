package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

const (
	// limitWindow is the window in which requests to an upstream that names a rate limit count,
	// limitGrace the time from the first naming of a limit until they do.
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
	// simReportInterval is how often VMs tell each other of rate limits, simAnswerTime how long an
	// answer takes.
	simReportInterval = 250 * time.Millisecond
	simAnswerTime     = 60 * time.Millisecond
)

// limitTolerance is how many requests within limitWindow are tolerated.
func limitTolerance(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// limitSim is a fleet of VMs in front of engines that hold the same model, one of which, "in-need", names a rate
// limit.
type limitSim struct {
	fleet     []*Assigner
	names     []string
	now       time.Time
	random    *rand.Rand
	perSecond float64
	// down holds the VMs that neither get requests nor issue permits.
	down map[int]bool
	// answers are the requests in flight.
	answers []limitAnswer
	// sent holds when requests were sent to in-need, sentBy how many by each VM.
	sent   []time.Duration
	sentBy map[int]int
	began  time.Time
	errs   map[error]int
}

type limitAnswer struct {
	vm     int
	choice *Choice
	at     time.Time
}

func newLimitSim(vms int, perSecond float64, others ...string) *limitSim {
	now := time.Now()
	instances := []upstream.Instance{testInstance("engines", "in-need")}
	for _, id := range others {
		instances = append(instances, testInstance("engines", id))
	}
	s := &limitSim{
		fleet: coldFleet(vms, instances, now), now: now, began: now, random: rand.New(rand.NewPCG(1, 1)), perSecond: perSecond,
		down: make(map[int]bool), sentBy: make(map[int]int), errs: make(map[error]int),
	}
	for i := range vms {
		s.names = append(s.names, fmt.Sprintf("vm-%d", i))
	}
	return s
}

// run serves requests at a rate through random VMs.
func (s *limitSim) run(d time.Duration, requestsPerSecond int) {
	const step = 5 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		s.answer()
		if s.now.Sub(s.began)%simReportInterval < step {
			s.exchangeReports()
		}
		if s.random.Float64() < float64(requestsPerSecond)*step.Seconds() {
			s.request()
		}
	}
}

// answer completes the requests whose answers are due. Those of in-need name the limit.
func (s *limitSim) answer() {
	s.answers = slices.DeleteFunc(s.answers, func(a limitAnswer) bool {
		if s.now.Before(a.at) {
			return false
		}
		vm := s.fleet[a.vm]
		vm.RecordRateLimit(a.choice, upstream.RateLimit{Named: a.choice.Instance == "in-need", PerSecond: s.perSecond}, s.now)
		vm.Started(a.choice, s.now)
		vm.Finish(a.choice, Succeeded, s.now)
		return true
	})
}

// exchangeReports makes every VM exchange reports with the first one.
func (s *limitSim) exchangeReports() {
	for _, vm := range s.fleet {
		s.report(vm, s.fleet[0])
		s.report(s.fleet[0], vm)
	}
}

func (s *limitSim) report(from, to *Assigner) {
	limits := from.RateLimits()
	if to.RateLimits().Digest == limits.Digest {
		return
	}
	for _, e := range limits.Entries {
		to.MergeRateLimit(e.Key, e.Limit, s.now)
	}
}

// request sends one request through a random VM, which asks for permits as traffic does.
func (s *limitSim) request() {
	vm := s.random.IntN(len(s.fleet))
	if s.down[vm] {
		return
	}
	req := draftRequest(s.random.IntN(40), s.random.IntN(1000), s.now)
	for range 3 {
		choice, err := s.fleet[vm].Choose(req, s.now)
		if err != nil {
			var refused *Refused
			if errors.As(err, &refused) {
				s.errs[refused.Cause]++
			}
			return
		}
		if s.permitted(vm, choice) {
			s.send(vm, choice)
			return
		}
	}
}

func (s *limitSim) permitted(vm int, choice *Choice) bool {
	if !choice.NeedsPermit {
		return true
	}
	d := s.fleet[s.issuer(choice.Instance)].IssuePermit(choice.Key, choice.LastChoice, s.now)
	if !d.Granted {
		s.fleet[vm].RecordDenial(choice, d.RetryAfter, s.now)
		return false
	}
	s.fleet[vm].RecordPermit(choice, s.now)
	return true
}

// issuer returns the VM that issues permits, of those that are not down.
func (s *limitSim) issuer(instance string) int {
	var up []string
	for i, name := range s.names {
		if !s.down[i] {
			up = append(up, name)
		}
	}
	return slices.Index(s.names, upstreamrate.Issuer(instance, up))
}

func (s *limitSim) send(vm int, choice *Choice) {
	if choice.Instance == "in-need" {
		s.sent, s.sentBy[vm] = append(s.sent, s.now.Sub(s.began)), s.sentBy[vm]+1
	}
	s.answers = append(s.answers, limitAnswer{vm, choice, s.now.Add(simAnswerTime)})
}

// mostInWindow returns the largest number of requests to in-need within limitWindow, after limitGrace.
func (s *limitSim) mostInWindow() int {
	counted := slices.DeleteFunc(slices.Clone(s.sent), func(at time.Duration) bool { return at < limitGrace })
	return mostWithin(counted, limitWindow)
}

// Every VM of a fleet has requests that only the engine in need could take, many times what it takes.
func TestFleetKeepsARateLimitAndUsesIt(t *testing.T) {
	for _, vms := range []int{1, 7, 65, 295} {
		for _, perSecond := range []float64{0, 0.5, 1, 3, 20} {
			s := newLimitSim(vms, perSecond)
			s.run(30*time.Second, 100)
			require.LessOrEqual(t, s.mostInWindow(), limitTolerance(perSecond), "%d VMs, %v/s", vms, perSecond)
			require.GreaterOrEqual(t, float64(len(s.sent)), 0.9*perSecond*30, "%d VMs, %v/s", vms, perSecond)
			require.Positive(t, s.errs[ErrRateLimited])
		}
	}
}

// A model that only an upstream in need holds must not become unreachable through most of the VMs.
func TestEveryVMReachesAnUpstreamThatNamesARateLimit(t *testing.T) {
	s := newLimitSim(20, 10)
	s.run(2*time.Minute, 30)
	require.Len(t, s.sentBy, 20)
}

// The engine in need must neither be preferred for its short queue nor get no requests at all.
func TestUpstreamInNeedGetsNoMoreThanItsLimitBesideOthers(t *testing.T) {
	for _, vms := range []int{7, 65, 295} {
		s := newLimitSim(vms, 1, "second", "third")
		s.run(time.Minute, 60)
		require.LessOrEqual(t, s.mostInWindow(), limitTolerance(1))
		require.GreaterOrEqual(t, len(s.sent), 20)
		require.Empty(t, s.errs)
	}
}

// The VM that issues the permits goes down, and the next one takes over without knowing what was issued.
func TestRateLimitIsKeptWhenThePermitIssuerChanges(t *testing.T) {
	s := newLimitSim(7, 2)
	for range 6 {
		s.run(5*time.Second, 60)
		s.down[s.issuer("in-need")] = true
	}
	require.LessOrEqual(t, s.mostInWindow(), limitTolerance(2))
	require.Len(t, s.down, 6)
}

// A view of the store replaces the descriptions of upstreams while a request asks for a permit.
func TestChoiceIsReadWhileInstancesChange(t *testing.T) {
	s, now := testAssigner("engines", 1), time.Now()
	choice, err := s.Choose(draftRequest(1, 1, now), now)
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.SetInstances([]upstream.Instance{testInstance("engines", "i-0", "a1")})
	}()
	require.Equal(t, "i-0", choice.Key.Instance)
	<-done
}

// A report tells the limits of thousands of upstreams, and each of them made a VM copy all the others.
func TestMergingALimitDoesNotGrowWithTheLimits(t *testing.T) {
	const upstreams = 2000
	s, now := New(), time.Now()
	var instances []upstream.Instance
	for i := range upstreams {
		instances = append(instances, testInstance("engines", fmt.Sprint("engine-", i)))
	}
	s.SetInstances(instances)
	revision := uint64(0)
	merge := func() {
		revision++
		for _, i := range instances[:20] {
			s.MergeRateLimit(upstreamrate.KeyOf(&i), upstreamrate.Limit{PerSecond: upstreamrate.Unlimited, Brittle: true, MaxRejections: 1, Revision: revision}, now)
		}
	}
	for _, i := range instances {
		s.MergeRateLimit(upstreamrate.KeyOf(&i), upstreamrate.Limit{PerSecond: upstreamrate.Unlimited, Brittle: true, MaxRejections: 1, Revision: 1}, now)
	}
	revision = 1
	require.Less(t, testing.AllocsPerRun(3, merge), 100.0)
	require.Equal(t, map[string]int{"engines": 1}, s.BrittleServices())
	u, ok := s.Concurrency(upstreamrate.KeyOf(&instances[0]), now.Add(time.Minute))
	require.True(t, ok)
	require.Equal(t, time.Minute, u.KnownFor)
}
