package vm

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// All VMs are killed and start again at once. Each knows the others from the store as they
// were before, and learns only seconds later that they have started anew. Reports that came
// meanwhile were dropped, so nobody counted what the others admitted, and a busy team got
// three times its rate.
func TestReportOfAVMThatStartedAgainCounts(t *testing.T) {
	c := newCluster(t, standin.NewReplica("clerk-1", 0))
	v := c.start("a")
	before := map[string]store.Item{vmPrefix + "b": {
		Revision: 1, Value: []byte(`{"incarnation":5,"callers":"127.0.0.1:1","peers":"127.0.0.1:2","domain":"a"}`),
	}}
	v.fleet.observe(before)
	report := func(incarnation int64, sequence uint64) {
		v.fleet.take(t.Context(), &peerpb.VMReport{
			Vm: "b", Incarnation: incarnation, Sequence: sequence, Ready: true,
			CallerAddress: "127.0.0.1:3", PeerAddress: "127.0.0.1:4", Admitted: map[string]float64{"writers": 1},
		})
	}
	heard := func() member {
		v.fleet.mu.Lock()
		defer v.fleet.mu.Unlock()
		return *v.fleet.members["b"]
	}
	report(9, 1)
	got := heard()
	require.Equal(t, int64(9), got.Incarnation)
	require.Equal(t, uint64(1), got.sequence)
	require.Equal(t, "127.0.0.1:4", got.Peers)
	require.False(t, got.heard.IsZero())
	v.fleet.observe(before)
	require.Equal(t, int64(9), heard().Incarnation, "the store's old entry undoes nothing")
	report(5, 99)
	require.Equal(t, uint64(1), heard().sequence, "a late report of the one before")
	// The clock of its machine was set back before it started once more.
	v.fleet.observe(map[string]store.Item{vmPrefix + "b": {
		Revision: 2, Value: []byte(`{"incarnation":3,"callers":"127.0.0.1:1","peers":"127.0.0.1:2","domain":"a"}`),
	}})
	require.Equal(t, int64(3), heard().Incarnation)
}
