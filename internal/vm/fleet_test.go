package vm

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// All VMs are killed and restart at once. Each knows the others from registrations of before
// the restart, and receives the new ones only seconds later. When reports of new incarnations
// were dropped in between, no VM counted what the others admitted, and a busy team got three
// times its rate.
func TestReportOfARestartedVMCounts(t *testing.T) {
	c := newCluster(t, standin.NewReplica("clerk-1", 0))
	v := c.start("a")
	oldRegistrations := map[string]store.Item{vmPrefix + "b": {
		Revision: 1, Value: []byte(`{"incarnation":5,"callers":"127.0.0.1:1","peers":"127.0.0.1:2","domain":"a"}`),
	}}
	v.fleet.updateRegistrations(oldRegistrations)
	report := func(incarnation int64, sequence uint64) {
		v.fleet.applyReport(t.Context(), &peerpb.VMReport{
			Vm: "b", Incarnation: incarnation, Sequence: sequence, Ready: true,
			CallerAddress: "127.0.0.1:3", PeerAddress: "127.0.0.1:4", Usage: []*peerpb.Usage{{Vm: "b", Incarnation: uint64(incarnation), Admitted: map[string]float64{"writers": 1}}},
		})
	}
	memberB := func() member {
		v.fleet.mu.Lock()
		defer v.fleet.mu.Unlock()
		return *v.fleet.members["b"]
	}
	report(9, 1)
	got := memberB()
	require.Equal(t, int64(9), got.Incarnation)
	require.Equal(t, uint64(1), got.sequence)
	require.Equal(t, "127.0.0.1:4", got.Peers)
	require.False(t, got.lastReport.IsZero())
	v.fleet.updateRegistrations(oldRegistrations)
	require.Equal(t, int64(9), memberB().Incarnation, "the old registration must not replace the new incarnation")
	report(5, 99)
	require.Equal(t, uint64(1), memberB().sequence, "a late report of the earlier incarnation must be ignored")
	// The clock of its machine was set back before it restarted.
	v.fleet.updateRegistrations(map[string]store.Item{vmPrefix + "b": {
		Revision: 2, Value: []byte(`{"incarnation":3,"callers":"127.0.0.1:1","peers":"127.0.0.1:2","domain":"a"}`),
	}})
	require.Equal(t, int64(3), memberB().Incarnation)
}

// A VM registers again while reports are exchanged with it; an address that is read meanwhile may be half of the old and half of the new one.
func TestRegistrationMayChangeDuringAnExchange(t *testing.T) {
	c := newCluster(t)
	a, b := c.start("a"), c.start("b")
	c.eventually(func() bool { return a.fleet.size() == 2 })
	a.tracker.mu.Lock()
	key := vmPrefix + b.settings.VM
	item := a.tracker.view.items[key]
	a.tracker.mu.Unlock()
	var changes sync.WaitGroup
	changes.Go(func() {
		for range 200 {
			item.Revision++
			a.fleet.updateRegistrations(map[string]store.Item{key: item})
		}
	})
	for range 20 {
		a.fleet.exchange(t.Context(), b.settings.VM)
	}
	changes.Wait()
}
