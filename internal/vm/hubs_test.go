package vm

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/teamrate"
	"github.com/chestnutarch/chestnutarch/internal/topology"
)

const (
	hubTestVMs    = 60
	hubTestRate   = 900_000.0
	hubTestSlack  = 110_000.0
	hubTestWindow = 8 * time.Second
)

// hubWorld is many VMs that report as the topology says, without a network.
type hubWorld struct {
	now      time.Time
	vms      []topology.VM
	born     []int64
	limiters []*teamrate.Limiter
	sums     []*sums
	admitted []float64
	// taken is what one VM has taken in of another one's reports.
	taken map[[2]int]progress
	// asked and refused count units.
	asked, refused float64
	// unheard says which VMs do not hear which others.
	unheard func(i, j int) bool
}

func newHubWorld() *hubWorld {
	w := &hubWorld{now: time.Now(), taken: make(map[[2]int]progress), unheard: func(int, int) bool { return false }}
	for i := range hubTestVMs {
		born := w.now.UnixNano() + int64(i)
		l := teamrate.New(teamrate.Tolerance{Units: hubTestSlack, Window: hubTestWindow}, born)
		l.SetLimits(map[string]teamrate.Limit{"team": {Rate: hubTestRate, Burst: hubTestRate}}, w.now)
		w.vms = append(w.vms, topology.VM{Name: fmt.Sprintf("vm-%02d", i), Domain: fmt.Sprint(i % 4)})
		w.born = append(w.born, born)
		w.limiters, w.sums = append(w.limiters, l), append(w.sums, newSums(born))
	}
	return w
}

func (w *hubWorld) plan(i int) *topology.Plan {
	var others []topology.VM
	for j, vm := range w.vms {
		if j != i {
			vm.Silent = vm.Silent || w.unheard(i, j)
			others = append(others, vm)
		}
	}
	return topology.New(w.vms[i], others)
}

// exchangeTicks is the number of ticks between two exchanges of a pair.
const exchangeTicks = 25

// exchange makes the pairs exchange whose turn it is, except with VMs that are silent.
// VMs start at different moments, so a report takes up to three turns through two hubs.
func (w *hubWorld) exchange(tick int) {
	for i := range w.vms {
		if (tick+7*i)%exchangeTicks != 0 {
			continue
		}
		plan := w.plan(i)
		weights := make(map[string]int)
		for _, p := range plan.Partners {
			weights[p.Name] = p.Weight
		}
		w.limiters[i].SetPeers(weights, w.now)
		for j := range w.vms {
			if weights[w.vms[j].Name] == 0 {
				delete(w.taken, [2]int{i, j})
			}
		}
		for _, p := range plan.Partners {
			j := w.index(p.Name)
			if p.Call && !w.vms[i].Silent && !w.vms[j].Silent && !w.unheard(i, j) {
				w.tell(i, j)
				w.tell(j, i)
			}
		}
	}
}

func (w *hubWorld) index(name string) int {
	for i, vm := range w.vms {
		if vm.Name == name {
			return i
		}
	}
	return -1
}

func (w *hubWorld) tell(from, to int) {
	scope := w.plan(from).ScopeFor(w.vms[to])
	if !w.plan(to).Accepts(w.vms[from], scope) {
		return
	}
	r := &peerpb.VMReport{Vm: w.vms[from].Name, Incarnation: w.born[from]}
	demand := map[string]assign.Demand{"m": {Work: time.Duration(from) * time.Microsecond, Requests: 1}}
	w.sums[from].setOwn(func() work {
		return work{admitted: w.limiters[from].Admitted(), asked: w.limiters[from].Asked(), demand: demand}
	}, w.now)
	taken := w.taken[[2]int{to, from}]
	if taken.scope != scope {
		taken = progress{}
	}
	w.sums[from].fill(r, scope, w.vms[to].Name, taken.version, w.now)
	if !w.sums[to].take(r, w.vms[from].Domain == w.vms[to].Domain, w.now) {
		delete(w.taken, [2]int{to, from})
		return
	}
	w.taken[[2]int{to, from}] = progress{scope, r.Version}
	w.limiters[to].Report(r.Vm, r.Incarnation, r.Admitted, r.Asked, w.now)
}

// step asks all VMs for so many units a second together.
func (w *hubWorld) step(r *rand.Rand, demand float64) {
	const tick, size = 10 * time.Millisecond, 9000.0
	total := 0.0
	for expected := demand * tick.Seconds() / size; expected > 0 && r.Float64() < expected; expected-- {
		i := r.IntN(len(w.vms))
		w.asked += size
		if ok, _ := w.limiters[i].Take("team", size, w.now); ok {
			total += size
		} else {
			w.refused += size
		}
	}
	w.admitted = append(w.admitted, total)
	w.now = w.now.Add(tick)
}

func (w *hubWorld) run(r *rand.Rand, steps int, demand float64) {
	for i := range steps {
		w.exchange(i)
		w.step(r, demand)
	}
}

func (w *hubWorld) worst() float64 {
	ticks := int(hubTestWindow / (10 * time.Millisecond))
	worst, sum := 0.0, 0.0
	for i, u := range w.admitted {
		sum += u
		if i >= ticks {
			sum -= w.admitted[i-ticks]
		}
		worst = max(worst, sum)
	}
	return worst
}

// One team sends several times its rate through forty VMs, which hear of each other
// through hubs. A hub dies in the middle, and its VMs turn to the next one. What was
// admitted before must neither be forgotten nor counted twice: the first would let the
// team through, the second would refuse it inside its rate.
func TestRatesHoldThroughHubs(t *testing.T) {
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 9))
		w := newHubWorld()
		w.run(r, 400, hubTestRate/1.8)
		before := len(w.admitted)
		w.run(r, 800, 7.5*hubTestRate/1.8)
		w.vms[0].Silent = true
		w.run(r, 800, 7.5*hubTestRate/1.8)
		require.Less(t, w.worst(), (hubTestRate*hubTestWindow.Seconds()+hubTestRate)*1.1+hubTestSlack, "seed %d", seed)
		served := 0.0
		for _, u := range w.admitted[before:] {
			served += u
		}
		require.Greater(t, served, 0.85*hubTestRate*16, "seed %d", seed)
	}
}

// The same VMs carry what the team usually sends. Nothing may be refused.
func TestUsualLoadPassesThroughHubs(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 10))
	w := newHubWorld()
	w.run(r, 300, hubTestRate/1.8)
	w.asked, w.refused = 0, 0
	w.run(r, 3000, hubTestRate/1.8)
	require.Less(t, w.refused/w.asked, 0.01)
}

// Links between some VMs are cut, and not all see the same ones as silent: a domain has
// two hubs, each of which takes the other for one of its own VMs. If one passed on what
// it has of the other, which has it from the first, sums would grow without end and every
// team would be refused.
func TestTwoHubsOfADomainDoNotCountEachOther(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 11))
	w := newHubWorld()
	w.run(r, 400, hubTestRate/1.8)
	w.unheard = func(i, j int) bool {
		// vm-00 is not heard by the other domains nor by half of its own.
		cut := func(k int) bool { return k%4 != 0 || k%8 == 4 && k > 4 }
		return (j == 0 && cut(i)) || (i == 0 && cut(j))
	}
	w.run(r, 1600, hubTestRate/1.8)
	w.unheard = func(int, int) bool { return false }
	w.run(r, 400, hubTestRate/1.8)
	w.asked, w.refused = 0, 0
	w.run(r, 800, hubTestRate/1.8)
	require.Less(t, w.refused/w.asked, 0.02)
}
