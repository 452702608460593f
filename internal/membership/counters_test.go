package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A VM serves a few of many teams. The counters that stand still are left out of
// its heartbeats, and a partner must still know them all, also one that missed
// the heartbeat with a change: the team's fair share depends on it.
func TestPartnerKnowsCountersThatAreLeftOut(t *testing.T) {
	now := time.Unix(0, 0)
	sender := New(Config{}, Node{VM: "a", Incarnation: 1, PeerAddress: "10.0.0.1:1"})
	partner := New(Config{}, Node{VM: "b", Incarnation: 1, PeerAddress: "10.0.0.2:1"})
	served := map[string]int64{"still": 5, "busy": 0}
	know := func(team string) int64 {
		m, _ := partner.View(now).Lookup("a")
		return m.ServedTokens[team]
	}
	smallest := len(served)
	for round := range 2 * fullEvery {
		now = now.Add(time.Second)
		next := map[string]int64{"still": 5, "busy": int64(round)}
		if round >= 3 {
			next["missed"] = 7
		}
		sender.UpdateSelf(func(n *Node) { n.ServedTokens = next })
		sender.Tick(now)
		report := sender.Report()
		smallest = min(smallest, len(report.ServedTokens))
		if round == 3 || round == 4 {
			continue // lost, with both heartbeats that tell of the change
		}
		partner.Receive(now, report, nil)
		require.Equal(t, int64(5), know("still"))
		require.Equal(t, int64(round), know("busy"))
	}
	require.Equal(t, 1, smallest, "what stands still is left out")
	require.Equal(t, int64(7), know("missed"), "a full report has come since")
}

// A VM restarts and counts from zero again. The old process's counters must not
// be added to the new one's.
func TestRestartedVMStartsItsCountersAnew(t *testing.T) {
	now := time.Unix(1, 0)
	s := New(Config{}, Node{VM: "b", PeerAddress: "10.0.0.2:1"})
	s.Receive(now, Node{VM: "a", Incarnation: 1, Sequence: 9, ServedTokens: map[string]int64{"x": 3, "y": 4}}, nil)
	s.Receive(now, Node{VM: "a", Incarnation: 2, Sequence: 1, ServedTokens: map[string]int64{"y": 1}}, nil)
	m, _ := s.View(now).Lookup("a")
	require.Equal(t, map[string]int64{"y": 1}, m.ServedTokens)
}
