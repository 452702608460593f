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

// cluster runs a fleet of state machines in rounds over a network without loss.
type cluster struct {
	now    time.Time
	states map[string]*State
	down   map[string]bool
	// maxTargets is the largest number of heartbeats that one VM has sent in a round.
	maxTargets int
}

func newCluster(n, domains int) *cluster {
	c := &cluster{now: start, states: make(map[string]*State), down: make(map[string]bool)}
	for i := range n {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		c.states[address] = New(Config{}, Node{
			VM: fmt.Sprintf("vm%03d", i), Incarnation: 1, Ready: true,
			FailureDomain: fmt.Sprintf("d%d", i%domains), PeerAddress: address,
		})
		c.states[address].SetSeeds([]string{"10.0.0.0:1", "10.0.0.1:1"})
	}
	return c
}

func (c *cluster) round() {
	c.now = c.now.Add(time.Second)
	for _, address := range slices.Sorted(maps.Keys(c.states)) {
		s := c.states[address]
		if c.down[address] {
			continue
		}
		s.UpdateSelf(func(*Node) {})
		s.Tick(c.now)
		targets := s.Targets(c.now)
		c.maxTargets = max(c.maxTargets, len(targets))
		for _, target := range targets {
			peer, known := c.states[target]
			if !known || c.down[target] {
				continue
			}
			peer.Receive(c.now, s.Self(), s.Rumors())
			peer.UpdateSelf(func(*Node) {})
			s.Receive(c.now, peer.Self(), peer.Rumors())
		}
	}
}

func TestSmallFleetExchangesHeartbeatsWithEveryVM(t *testing.T) {
	c := newCluster(7, 4)
	for range 20 {
		c.round()
	}
	for _, s := range c.states {
		v := s.View(c.now)
		require.Len(t, v.Healthy(), 7)
		require.Equal(t, 6, v.PartnersAlive)
		require.Equal(t, 6, v.PartnersTotal)
	}
}

// A VM dies without announcing that it leaves. Requests to it time out at callers that
// receive its address, so the other VMs must stop listing it as healthy within seconds.
func TestDeadVMIsNotListedAsHealthy(t *testing.T) {
	c := newCluster(7, 4)
	for range 20 {
		c.round()
	}
	c.down["10.0.0.3:1"] = true
	for range 5 {
		c.round()
	}
	for address, s := range c.states {
		if !c.down[address] {
			require.Len(t, s.View(c.now).Healthy(), 6)
		}
	}
	require.False(t, c.states["10.0.0.3:1"].View(c.now).HasPartnerMajority(), "a VM that has received no report for 5 rounds must not count a majority of its partners as alive")
}

// The number of heartbeats per VM must not grow with the fleet, or a large fleet would
// spend its time on heartbeats. When a VM dies, only its partners miss its reports, and
// gossip must make all other VMs list it as unhealthy too.
func TestHeartbeatsDoNotGrowWithFleet(t *testing.T) {
	c := newCluster(120, 6)
	for range 150 {
		c.round()
	}
	require.LessOrEqual(t, c.maxTargets, DefaultPartners+extraTargets)
	for _, s := range c.states {
		require.Equal(t, 120, len(s.View(c.now).Healthy()))
	}
	c.down["10.0.0.50:1"] = true
	for range 25 {
		c.round()
	}
	for address, s := range c.states {
		if !c.down[address] {
			require.Equal(t, 119, len(s.View(c.now).Healthy()), "all VMs must learn that the dead VM's partners receive no reports from it")
		}
	}
}

// A report of an old process arrives after its VM has restarted. If it were applied, the
// new process would seem to have the old one's state.
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

// A withdrawal is sent to the VMs directly, without the key-value service, and one of them
// does not receive it. That VM's configuration version is no lower than the others', so
// only the counts and sums of withdrawn keys show the difference.
func TestMissedWithdrawalsAreDetected(t *testing.T) {
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
		{"one more, at an older configuration version", Node{ConfigVersion: 4, Withdrawn: 3, WithdrawnSum: 8}, "other"},
		{"one more, at a newer configuration version, which delivers it", Node{ConfigVersion: 6, Withdrawn: 3, WithdrawnSum: 8}, ""},
	} {
		c.other.VM = "other"
		view.Members = []Member{{Node: c.other}}
		require.Equal(t, c.want, view.VMWithMissedWithdrawals(), c.name)
	}
}
