package vm

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// dispatchReport returns a VM's notification of requests that it has sent to an engine.
func dispatchReport(vm *testVM, incarnation int64) *peerpb.SentRequest {
	return &peerpb.SentRequest{Vm: vm.settings.VM, Incarnation: incarnation, Engines: []*peerpb.EngineLoad{
		{Instance: "engine-1", Requests: 9, PrefillTokens: 900, ReadTotalUs: 20_000},
	}}
}

// engineRequests returns the number of all VMs' requests at an engine, as one VM knows it.
func engineRequests(vm *testVM) int {
	return vm.assigner.Totals([]string{"engine-1"}, time.Now())["engine-1"].Requests
}

// A VM learns of a request that another one has sent to an engine before the next report.
// Otherwise it would send its own prompt there too, and the engine's streams would stall for
// both.
func TestDispatchIsCountedBeforeTheNextReport(t *testing.T) {
	c := newCluster(t, standin.NewReplica("engine-1", 2, "m0"))
	a, b := c.start("a"), c.start("b")
	c.eventually(func() bool { return a.fleet.size() == 2 && b.fleet.size() == 2 })
	c.eventually(func() bool { return a.instance("engine-1") != nil })
	// A report of b, which has nothing in flight, may arrive in between.
	c.eventually(func() bool {
		_, err := (&vmServer{process: a.Process}).Sent(context.Background(), dispatchReport(b, b.fleet.incarnation))
		return err == nil && engineRequests(a) == 9
	})
}

// A call from an earlier process of a VM arrives after the VM has restarted. The requests of
// that process ended with it, and must not count as load of the engine.
func TestDispatchOfAnEarlierProcessIsIgnored(t *testing.T) {
	c := newCluster(t, standin.NewReplica("engine-1", 2, "m0"))
	a, b := c.start("a"), c.start("b")
	c.eventually(func() bool { return a.fleet.size() == 2 && b.fleet.size() == 2 })
	c.eventually(func() bool { return a.instance("engine-1") != nil })
	_, err := (&vmServer{process: a.Process}).Sent(context.Background(), dispatchReport(b, b.fleet.incarnation-1))
	require.NoError(t, err)
	require.Zero(t, engineRequests(a))
}
