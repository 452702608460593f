package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Heartbeats omit unchanged counters. A partner must still have all counters, even if it
// missed the heartbeats that carried a change, because the team's fair share depends on
// them.
func TestPartnerHasCountersOmittedFromHeartbeats(t *testing.T) {
	now := time.Unix(0, 0)
	sender := New(Config{}, Node{VM: "a", Incarnation: 1, PeerAddress: "10.0.0.1:1"})
	partner := New(Config{}, Node{VM: "b", Incarnation: 1, PeerAddress: "10.0.0.2:1"})
	served := map[string]int64{"still": 5, "busy": 0}
	counterAtPartner := func(team string) int64 {
		m, _ := partner.View(now).Lookup("a")
		return m.ServedTokens[team]
	}
	fewestCounters := len(served)
	for round := range 2 * fullReportInterval {
		now = now.Add(time.Second)
		next := map[string]int64{"still": 5, "busy": int64(round)}
		if round >= 3 {
			next["missed"] = 7
		}
		sender.UpdateSelf(func(n *Node) { n.ServedTokens = next })
		sender.Tick(now)
		report := sender.Report()
		fewestCounters = min(fewestCounters, len(report.ServedTokens))
		if round == 3 || round == 4 {
			continue // both heartbeats that carry the change are lost
		}
		partner.Receive(now, report, nil)
		require.Equal(t, int64(5), counterAtPartner("still"))
		require.Equal(t, int64(round), counterAtPartner("busy"))
	}
	require.Equal(t, 1, fewestCounters, "unchanged counters must be omitted from heartbeats")
	require.Equal(t, int64(7), counterAtPartner("missed"), "a full report since the change must have carried the counter")
}

// A VM restarts and counts from zero again. The counters of the old process must not
// be mixed with those of the new one.
func TestRestartResetsCounters(t *testing.T) {
	now := time.Unix(1, 0)
	s := New(Config{}, Node{VM: "b", PeerAddress: "10.0.0.2:1"})
	s.Receive(now, Node{VM: "a", Incarnation: 1, Sequence: 9, ServedTokens: map[string]int64{"x": 3, "y": 4}}, nil)
	s.Receive(now, Node{VM: "a", Incarnation: 2, Sequence: 1, ServedTokens: map[string]int64{"y": 1}}, nil)
	m, _ := s.View(now).Lookup("a")
	require.Equal(t, map[string]int64{"y": 1}, m.ServedTokens)
}
