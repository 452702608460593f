package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

// plain steps a fleet of state machines over a network without loss.
type plain struct {
	now    time.Time
	states map[string]*State
	down   map[string]bool
	// largest is the largest number of heartbeats that one VM sent in a round.
	largest int
}

func newPlain(n, domains int) *plain {
	p := &plain{now: start, states: make(map[string]*State), down: make(map[string]bool)}
	for i := range n {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		p.states[address] = New(Config{}, Node{
			VM: fmt.Sprintf("vm%03d", i), Incarnation: 1, Ready: true,
			FailureDomain: fmt.Sprintf("d%d", i%domains), PeerAddress: address,
		})
		p.states[address].SetSeeds([]string{"10.0.0.0:1", "10.0.0.1:1"})
	}
	return p
}

func (p *plain) round() {
	p.now = p.now.Add(time.Second)
	for _, address := range slices.Sorted(maps.Keys(p.states)) {
		s := p.states[address]
		if p.down[address] {
			continue
		}
		s.UpdateSelf(func(*Node) {})
		s.Tick(p.now)
		targets := s.Targets(p.now)
		p.largest = max(p.largest, len(targets))
		for _, target := range targets {
			peer, known := p.states[target]
			if !known || p.down[target] {
				continue
			}
			peer.Receive(p.now, s.Self(), s.Rumors())
			peer.UpdateSelf(func(*Node) {})
			s.Receive(p.now, peer.Self(), peer.Rumors())
		}
	}
}

func TestSmallFleetHearsEveryVMDirectly(t *testing.T) {
	p := newPlain(7, 4)
	for range 20 {
		p.round()
	}
	for _, s := range p.states {
		v := s.View(p.now)
		require.Len(t, v.Healthy(), 7)
		require.Equal(t, 6, v.PartnersHeard)
		require.Equal(t, 6, v.PartnersKnown)
	}
}

// A VM dies without a word. Callers who are still given its address run into a
// timeout, so the others must stop naming it after a few seconds.
func TestDeadVMLeavesTheAnswers(t *testing.T) {
	p := newPlain(7, 4)
	for range 20 {
		p.round()
	}
	p.down["10.0.0.3:1"] = true
	for range 5 {
		p.round()
	}
	for address, s := range p.states {
		if !p.down[address] {
			require.Len(t, s.View(p.now).Healthy(), 6)
		}
	}
	require.False(t, p.states["10.0.0.3:1"].View(p.now).HearsMajority(), "the cut-off VM must notice")
}

// Each VM's number of heartbeats must not grow with the fleet, or a large fleet
// spends its time on itself.
func TestCostDoesNotGrowWithTheFleet(t *testing.T) {
	p := newPlain(120, 6)
	for range 150 {
		p.round()
	}
	require.LessOrEqual(t, p.largest, DefaultPartners+extraTargets)
	for _, s := range p.states {
		require.Equal(t, 120, len(s.View(p.now).Healthy()))
	}
	p.down["10.0.0.50:1"] = true
	for range 25 {
		p.round()
	}
	for address, s := range p.states {
		if !p.down[address] {
			require.Equal(t, 119, len(s.View(p.now).Healthy()), "the word that its partners miss a VM must reach all")
		}
	}
}

// A report of an old process arrives after its VM restarted. Were it believed,
// the new process would seem to have the old one's state.
func TestOldIncarnationIsIgnored(t *testing.T) {
	s := New(Config{}, Node{VM: "a"})
	s.Receive(start, Node{VM: "b", Incarnation: 2, Sequence: 1, Ready: true}, nil)
	s.Receive(start, Node{VM: "b", Incarnation: 1, Sequence: 9, Leaving: true}, nil)
	m, ok := s.View(start).Lookup("b")
	require.True(t, ok)
	require.Equal(t, uint64(2), m.Incarnation)
	require.False(t, m.Leaving)
}

func TestRingAlternatesFailureDomains(t *testing.T) {
	domains := map[string]string{"a": "x", "b": "x", "c": "y", "d": "y", "e": "z", "f": "z"}
	ring := ringOrder(domains)
	for i, vm := range ring {
		require.NotEqual(t, domains[vm], domains[ring[(i+1)%len(ring)]])
	}
}

// A withdrawal is pushed past the key-value service and misses a VM. Its version
// is no lower than the others', so that only the sums tell.
func TestMissedWithdrawalsAreNoticed(t *testing.T) {
	view := &View{Self: Node{VM: "self", ConfigVersion: 5, Withdrawn: 2, WithdrawnSum: 7}}
	for _, c := range []struct {
		name  string
		other Node
		want  string
	}{
		{"the same", Node{ConfigVersion: 5, Withdrawn: 2, WithdrawnSum: 7}, ""},
		{"one more", Node{ConfigVersion: 5, Withdrawn: 3, WithdrawnSum: 8}, "other"},
		{"as many, but others", Node{ConfigVersion: 5, Withdrawn: 2, WithdrawnSum: 8}, "other"},
		{"fewer", Node{ConfigVersion: 5, Withdrawn: 1, WithdrawnSum: 8}, ""},
		{"one more, and behind", Node{ConfigVersion: 4, Withdrawn: 3, WithdrawnSum: 8}, "other"},
		{"ahead, which brings them anyway", Node{ConfigVersion: 6, Withdrawn: 3, WithdrawnSum: 8}, ""},
	} {
		c.other.VM = "other"
		view.Members = []Member{{Node: c.other}}
		require.Equal(t, c.want, view.MissedWithdrawals(), c.name)
	}
}
