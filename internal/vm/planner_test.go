package vm

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// A caller asks for an adapter that no engine holds, at a VM that does not lead. The
// leader brings it, and the caller gets its answer without noticing.
func TestAdapterIsBroughtWhenItIsAskedFor(t *testing.T) {
	engine := standin.NewReplica("engine-1", 2, "m0")
	c := newCluster(t, engine)
	a, b := c.start("a"), c.start("b")
	c.eventually(func() bool { return a.fleet.size() == 2 && b.fleet.size() == 2 })
	leader := c.waitLeader()
	other := a
	if leader == a {
		other = b
	}
	got := c.askAgain(other, call{method: "POST", path: "/chat/", model: "m0/a1"})
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.Equal(t, words(1, 2, 3), got.body)
}

// The answer to an order is lost although the engine carried it out. Sent again with
// the same number of accepted orders, it is refused, and the engine's report tells that
// the adapter is there: it is neither loaded twice nor given up.
func TestOrderWhoseAnswerIsLostIsSettled(t *testing.T) {
	engine := standin.NewReplica("engine-1", 2, "m0")
	engine.LoseOrders(1)
	c := newCluster(t, engine)
	v := c.start("a")
	c.waitLeader()
	require.Equal(t, http.StatusOK, c.askAgain(v, call{method: "POST", path: "/chat/", model: "m0/a2"}).status)
	loads := 0
	orders, _ := engine.Orders()
	for _, o := range orders {
		if o == "load m0/a2" {
			loads++
		}
	}
	require.Equal(t, 1, loads)
}

// A leader dies while an engine loads the model that it was ordered to. The engine's
// list does not name the model yet. A successor that trusted the list would order one
// more than fits, and the engine would crash with everything that it serves.
func TestSuccessorWaitsForALoadUnderWay(t *testing.T) {
	engine := standin.NewReplica("engine-1", 2, "m0")
	engine.SetLoadTime(1500 * time.Millisecond)
	c := newCluster(t, engine)
	// The earlier leader's order.
	response, err := http.Post(c.servers["engine-1"].URL+"/order", "application/json",
		strings.NewReader(`{"operation":"load","model":"m1","holder":"gone","fencing-token":1}`))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	c.start("a")
	c.waitLeader()
	c.eventually(func() bool { return len(c.vms[0].planner.engines("engine")[0].Models) == 2 })
	time.Sleep(3 * planEvery)
	_, overfull := engine.Orders()
	require.False(t, overfull)
}

// No engine holds a model that is asked for. It is loaded, and callers are told to come
// back rather than wait for their timeout.
func TestMissingModelIsLoaded(t *testing.T) {
	c := newCluster(t, standin.NewReplica("engine-1", 2, "m0"))
	v := c.start("a")
	c.eventually(func() bool {
		got := c.ask(v, call{method: "POST", path: "/draft/", model: "m1"})
		if got.status == http.StatusServiceUnavailable {
			require.NotEmpty(t, got.header.Get("Retry-After"))
		}
		return got.status == http.StatusOK
	})
	_, overfull := c.replicas["engine-1"].Orders()
	require.False(t, overfull)
}

// An engine takes an order that this leader does not know of, such as one of an earlier
// term whose answer was lost, while the leader's own is on its way. The leader's order is
// refused, since it names the number of orders before. It must be thought over and not
// just sent again with the new number: there may be no room for it any more, and the
// engine would crash.
func TestOrderIsNotRepeatedOnTopOfAnotherOne(t *testing.T) {
	engine := standin.NewReplica("engine-1", 2, "m0", "m1")
	c := newCluster(t, engine)
	v := c.start("a")
	c.waitLeader()
	c.eventually(func() bool { return len(c.vms[0].planner.engines("engine")[0].Models) == 2 })
	b := v.planner.book("engine-1")
	b.orders.Lock()
	defer b.orders.Unlock()
	// The book thinks that there is room.
	v.planner.mu.Lock()
	delete(b.models, "m1")
	v.planner.mu.Unlock()
	response, err := http.Post(c.servers["engine-1"].URL+"/order", "application/json",
		strings.NewReader(`{"operation":"load","model":"m1","adapter":"a1","holder":"gone","fencing-token":1}`))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Error(t, v.planner.order(t.Context(), b, "load", "m2", ""))
	_, overfull := engine.Orders()
	require.False(t, overfull)
	require.Nil(t, v.planner.book("engine-1"), "the engine is read anew")
}

// A leader loses its lease in the middle of a move and wins the next election. What it
// had begun rests on books of the earlier term; it gives no more orders by them.
func TestMoveOfAnEarlierTermGivesNoOrders(t *testing.T) {
	engine := standin.NewReplica("engine-1", 2, "m0", "m1")
	c := newCluster(t, engine)
	v := c.start("a")
	c.waitLeader()
	b := v.planner.book("engine-1")
	v.planner.forget()
	require.ErrorIs(t, v.planner.order(t.Context(), b, "load", "m2", ""), ErrNotLeader)
	orders, _ := engine.Orders()
	require.Empty(t, orders)
}

// A lost order of an earlier leader is carried out late, right after this leader's own. The
// engine reports one order more than the book knows of, and is loading a model that shows
// nowhere. A book that simply took the number over would think that there is room, and the
// next order would be accepted and overfill the engine.
func TestLateOrderOfAnotherLeaderClosesTheBook(t *testing.T) {
	engine := standin.NewReplica("engine-1", 2, "m0", "m1")
	engine.SetLoadTime(2 * time.Second)
	c := newCluster(t, engine)
	v := c.start("a")
	c.waitLeader()
	b := v.planner.book("engine-1")
	response, err := http.Post(c.servers["engine-1"].URL+"/order", "application/json",
		strings.NewReader(`{"operation":"load","model":"m1","holder":"gone","fencing-token":1}`))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.False(t, v.planner.reread(t.Context(), b))
	require.Nil(t, v.planner.book("engine-1"))
}

// An adapter that is to make way is still in use, so its unload waits. Ordered again, the
// engine says once more that it is carried out, without counting it, and the book would
// run ahead of the engine's count. A late order that names the higher number would then be
// carried out when the count gets there, on top of whatever the engine holds by then.
func TestUnloadThatWaitsClosesTheBook(t *testing.T) {
	engine := standin.NewReplica("engine-1", 2, "m0", "m1")
	engine.UseAdapters()
	c := newCluster(t, engine)
	v := c.start("a")
	c.waitLeader()
	b := v.planner.book("engine-1")
	b.orders.Lock()
	defer b.orders.Unlock()
	require.ErrorIs(t, v.planner.order(t.Context(), b, "unload", "m0", "a1"), errBusy)
	require.Nil(t, v.planner.book("engine-1"))
}

// An engine carries out a load that an earlier leader ordered, late, when callers ask for
// adapters. The first order to make room for one is refused. Without closing the book each
// further caller would cost one more order in vain, a hundred of them in a few seconds.
func TestEngineBusyWithAnUnknownOrderIsLeftInPeace(t *testing.T) {
	engine := standin.NewReplica("engine-1", 2, "m0")
	engine.SetLoadTime(time.Minute)
	c := newCluster(t, engine)
	v := c.start("a")
	c.waitLeader()
	b := v.planner.book("engine-1")
	response, err := http.Post(c.servers["engine-1"].URL+"/order", "application/json",
		strings.NewReader(`{"operation":"load","model":"m1","holder":"gone","fencing-token":1}`))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	spec := v.core.Catalog().Services["engine"].Engine
	require.Error(t, v.planner.swapAdapter(t.Context(), b, "m0/a1", "m0", "a2", spec))
	require.Nil(t, v.planner.book("engine-1"))
	for range 5 {
		_, err := v.planner.bring(t.Context(), "engine", "m0", "a2")
		require.ErrorIs(t, err, ErrNoPlace)
	}
	refused, _ := engine.Refused()
	require.Equal(t, 1, refused)
}

// The VM that leads is told to stop, as in a rolling restart. Its successor will give no
// orders for seconds, so the leader goes on as long as it may: callers who need an adapter
// get it all the while.
func TestStoppingLeaderLeadsOn(t *testing.T) {
	c := newCluster(t, standin.NewReplica("engine-1", 2, "m0"))
	a, b := c.start("a"), c.start("b")
	c.eventually(func() bool { return a.fleet.size() == 2 && b.fleet.size() == 2 })
	leader := c.waitLeader()
	other := a
	if leader == a {
		other = b
	}
	c.eventually(func() bool { _, known := other.candidate.Leader(); return known })
	c.eventually(func() bool { e := leader.planner.engines("engine")[0]; return !e.Busy && len(e.Models) == 2 })
	go leader.stop()
	c.eventually(func() bool { return leader.leaving.Load() })
	instance, err := other.ensureAdapter(t.Context(), "engine", "m0", "a1")
	require.NoError(t, err)
	require.Equal(t, "engine-1", instance)
	c.eventually(func() bool { return c.waitLeader() == other })
}

// A missing model is to take the place of another one whose streams still run, so the
// unload waits for seconds. The model is brought to another engine meanwhile: its callers
// would be refused until the last stream has ended. The engine that waits is left in peace,
// and gets no requests for the model that leaves it.
func TestMissingModelGoesElsewhereWhenAnUnloadWaits(t *testing.T) {
	one, two := standin.NewReplica("engine-1", 2, "m0", "m1"), standin.NewReplica("engine-2", 2, "m0", "m1")
	one.HoldUnloads(true)
	two.HoldUnloads(true)
	c := newCluster(t, one, two)
	c.describeModels("engine-1", "m0", "m1")
	c.describeModels("engine-2", "m0", "m1")
	v := c.start("a")
	c.waitLeader()
	c.eventually(func() bool { return unloads(one)+unloads(two) > 0 })
	waits, other := one, two
	if unloads(two) > 0 {
		waits, other = two, one
	}
	other.HoldUnloads(false)
	c.eventually(func() bool {
		return c.ask(v, call{method: "POST", path: "/draft/", model: "m2"}).status == http.StatusOK
	})
	require.NotNil(t, v.planner.book(waits.ID), "its unload still waits")
	orders, _ := waits.Orders()
	require.Len(t, orders, 1)
	refusedOrders, _ := waits.Refused()
	require.Equal(t, 1, refusedOrders, "the engine is asked how far it is, not ordered again and again")
	for range 6 {
		require.Equal(t, http.StatusOK, c.ask(v, call{method: "POST", path: "/draft/", model: modelThatStays(waits)}).status)
		c.ask(v, call{method: "POST", path: "/draft/", model: modelThatLeaves(waits)})
	}
	_, requests := waits.Refused()
	require.Zero(t, requests)
	waits.HoldUnloads(false)
	c.eventually(func() bool { b := v.planner.book(waits.ID); return b != nil && !v.planner.engines("engine")[0].Busy })
}

func unloads(r *standin.Replica) int {
	orders, _ := r.Orders()
	n := 0
	for _, o := range orders {
		if strings.HasPrefix(o, "unload") {
			n++
		}
	}
	return n
}

func modelThatLeaves(r *standin.Replica) string {
	orders, _ := r.Orders()
	return strings.TrimPrefix(orders[0], "unload ")
}

func modelThatStays(r *standin.Replica) string {
	if modelThatLeaves(r) == "m0" {
		return "m1"
	}
	return "m0"
}

// A tenant of a team with a priority of its own comes on a route of another priority. The
// team's goes first, or its requests wait behind others in an engine that has much to do.
func TestTeamsPriorityGoesBeforeTheRoutes(t *testing.T) {
	engine := standin.NewReplica("engine-1", 2, "m0")
	c := newCluster(t, engine)
	c.configure(func(config map[string]any) {
		config["tenants"].([]any)[0].(map[string]any)["priority"] = 0
	})
	v := c.start("a")
	require.Equal(t, http.StatusOK, c.ask(v, call{method: "POST", path: "/chat/", model: "m0"}).status)
	require.Equal(t, "1", engine.Runs()[0].Header.Get("X-Chestnutarch-Request-Priority"))
}

// A leader of hundreds of engines has a fifth of a processor. If it began its next plan a
// moment after the last one, callers of that VM would wait for it all day.
func TestPlansLeaveTheProcessorToCallers(t *testing.T) {
	require.Equal(t, planEvery, planPause(time.Millisecond))
	took := 300 * time.Millisecond
	require.InDelta(t, planShare, took.Seconds()/(took+planPause(took)).Seconds(), 1e-6)
}

// All VMs lose power and start again, and one of them leads three seconds later. It has heard of
// requests for a moment only, and models that are asked for every few seconds seem to be asked
// for by nobody: they made way by the dozen, and their next callers were refused.
func TestSuccessorTakesWhatItFindsForAskedFor(t *testing.T) {
	now := time.Now()
	used := func(succeeds bool, asked time.Time) bool {
		l := newPlanner(nil)
		l.first.asked = asked
		l.found(&book{models: map[string]bool{"m0": true}}, succeeds, now)
		return now.Sub(l.used["m0"]) <= idleTime
	}
	require.True(t, used(true, time.Time{}))
	require.True(t, used(true, now.Add(-idleTime/2)))
	require.False(t, used(true, now.Add(-2*idleTime)), "it knows by itself")
	require.False(t, used(false, time.Time{}), "nobody has placed anything by demand")
}
