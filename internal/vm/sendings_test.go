package vm

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// sentBy is what a VM tells of one request that it has sent to an engine.
func sentBy(vm *testVM, incarnation int64) *peerpb.SentRequest {
	return &peerpb.SentRequest{Vm: vm.settings.VM, Incarnation: incarnation, Engines: []*peerpb.EngineLoad{
		{Instance: "engine-1", Requests: 9, PrefillTokens: 900, ReadTotalUs: 20_000},
	}}
}

// requestsAt is the work of all VMs at an engine, as a VM knows it.
func requestsAt(vm *testVM) int { return vm.assigner.Totals(time.Now())["engine-1"].Requests }

// A VM hears of what another one has just sent to an engine before the next report comes.
// Without that it would send its own prompt there too, and the engine's streams would stand
// still for both.
func TestSendingIsKnownAtOnce(t *testing.T) {
	c := newCluster(t, standin.NewReplica("engine-1", 2, "m0"))
	a, b := c.start("a"), c.start("b")
	c.eventually(func() bool { return a.fleet.size() == 2 && b.fleet.size() == 2 })
	c.eventually(func() bool { return a.instance("engine-1") != nil })
	// A report of b, which has nothing in flight, may come in between.
	c.eventually(func() bool {
		_, err := (&vmServer{p: a.Process}).Sent(context.Background(), sentBy(b, b.fleet.incarnation))
		return err == nil && requestsAt(a) == 9
	})
}

// A call of a VM's process that is gone arrives after the VM has started anew. What that
// process had in flight is gone with it, and must not make the engine look busy.
func TestSendingOfAnEarlierProcessSaysNothing(t *testing.T) {
	c := newCluster(t, standin.NewReplica("engine-1", 2, "m0"))
	a, b := c.start("a"), c.start("b")
	c.eventually(func() bool { return a.fleet.size() == 2 && b.fleet.size() == 2 })
	c.eventually(func() bool { return a.instance("engine-1") != nil })
	_, err := (&vmServer{p: a.Process}).Sent(context.Background(), sentBy(b, b.fleet.incarnation-1))
	require.NoError(t, err)
	require.Zero(t, requestsAt(a))
}
