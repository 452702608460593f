package vm

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

func TestStreamsAndCallsThroughTwoVMs(t *testing.T) {
	c := newCluster(t, standin.NewReplica("engine-1", 2, "m0"), standin.NewReplica("clerk-1", 0))
	for _, v := range []*testVM{c.start("a"), c.start("b")} {
		got := c.send(v, call{method: "POST", path: "/chat/x%2Fy?z=1", model: "m0", body: "hello"})
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, sseBody(1, 2, 3), got.body)
		require.Equal(t, "sig-engine-1", got.header.Get("X-Chestnutarch-Response-Signature"))
		got = c.send(v, call{method: "POST", path: "/file/1", body: "deed"})
		require.Equal(t, "done by clerk-1", got.body)
	}
	run := c.replicas["engine-1"].Runs()[0]
	require.Equal(t, "writers", run.Tenant)
	require.Equal(t, "/chat/x%2Fy?z=1", run.Target)
	require.Equal(t, "hello", run.Body)
}

// A team's requests may run in its own region only, because its data may not leave it. An upstream in
// another region must not get them, even if it is the only one that is left.
func TestTeamsRequestsStayInItsRegions(t *testing.T) {
	c, allowed, other := newTwoDomainCluster(t)
	c.configure(func(config map[string]any) {
		config["tenants"].([]any)[0].(map[string]any)["allowed-regions"] = []string{"north"}
	})
	v := c.startAs(vmSpec{name: "a", domain: "a", regions: map[string]string{"a": "north", "b": "south"}})
	c.look(v, 20)
	require.Len(t, allowed.Runs(), 20)
	c.setReplicaState(allowed.ID, "draining")
	c.eventually(func() bool { return v.instance(allowed.ID).Draining })
	require.Equal(t, http.StatusServiceUnavailable, c.send(v, call{method: "GET", path: "/look/"}).status)
	require.Empty(t, other.Runs())
}

// Callers are sent to VMs of their own region; those of another region are farther away, and requests
// may not be sent to every region. They are named only while the caller's region has no VM.
func TestAddressesNameVMsOfTheCallersRegion(t *testing.T) {
	c := newCluster(t)
	regions := map[string]string{"a": "north", "b": "south"}
	a := c.startAs(vmSpec{name: "a", domain: "a", regions: regions})
	b := c.startAs(vmSpec{name: "b", domain: "b", regions: regions})
	addresses := func(region, domain string) []string {
		out, _ := a.fleet.Addresses(region, domain)
		return out
	}
	c.eventually(func() bool {
		return len(addresses("south", "b")) == 1 && addresses("south", "b")[0] == b.settings.Callers
	})
	require.Equal(t, []string{a.settings.Callers}, addresses("north", "a"))
	require.Len(t, addresses("elsewhere", ""), 2)
}

// A caller sends headers that only the system may set, to pose as another team or use its
// memory in an engine. They must not be forwarded, and neither must the key.
func TestCallersCannotSetTheSystemsHeaders(t *testing.T) {
	c := newCluster(t, standin.NewReplica("engine-1", 2, "m0"))
	v := c.start("a")
	forged := map[string]string{
		"X-Chestnutarch-Tenant": "others", "X-Chestnutarch-Hold": "h", "X-Chestnutarch-Pin-Ms": "9",
		"X-Chestnutarch-Kv-Backup": "1.2.3.4:5", "Kv-From": "x", "Kv-Fetch": "y", "X-Chestnutarch-Expected-Version": "7",
		"X-Chestnutarch-Expected-Instance": "engine-9", "X-Kept": "yes",
	}
	require.Equal(t, http.StatusOK, c.send(v, call{method: "POST", path: "/chat/", model: "m0", header: forged}).status)
	run := c.replicas["engine-1"].Runs()[0]
	require.Equal(t, "writers", run.Tenant)
	require.Equal(t, "yes", run.Header.Get("X-Kept"))
	require.Equal(t, "engine-1", run.Header.Get("X-Chestnutarch-Expected-Instance"))
	for _, name := range []string{"X-Chestnutarch-Hold", "X-Chestnutarch-Pin-Ms", "X-Chestnutarch-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Chestnutarch-Expected-Version", "Authorization"} {
		require.Empty(t, run.Header.Get(name), name)
	}
}

func TestRequestsThatTheVMItselfRefuses(t *testing.T) {
	c := newCluster(t, standin.NewReplica("clerk-1", 0))
	v := c.start("a")
	require.Equal(t, http.StatusNotFound, c.send(v, call{method: "GET", path: "/nowhere/"}).status)
	require.Equal(t, http.StatusUnauthorized, c.send(v, call{method: "GET", path: "/look/", header: map[string]string{"Authorization": "Token no"}}).status)
	require.Equal(t, http.StatusBadRequest, c.send(v, call{method: "GET", path: "/look/", header: map[string]string{"X-Chestnutarch-Token-Counts": "many"}}).status)
	require.Equal(t, http.StatusRequestEntityTooLarge, c.send(v, call{method: "POST", path: "/file/", body: strings.Repeat("x", 2<<20)}).status)
	require.Empty(t, c.replicas["clerk-1"].Runs())
}

// A starting VM has a configuration in force a moment before it knows any upstream, or gets
// it from another VM while the store refuses it. Callers that were sent there in that
// state were refused although upstreams were free.
func TestVMIsNotReadyBeforeItKnowsUpstreams(t *testing.T) {
	c := newCluster(t, standin.NewReplica("clerk-1", 0))
	running := c.start("a")
	p := running.idle(t)
	held, _ := running.configuration()
	p.applyConfiguration(held)
	require.NotNil(t, p.core.Catalog())
	require.False(t, p.ready())
	running.tracker.mu.Lock()
	p.applyView(running.tracker.view, viewDelta{changed: slices.Collect(maps.Keys(running.tracker.view.items))})
	running.tracker.mu.Unlock()
	require.True(t, p.ready())
	require.NotNil(t, p.instance("clerk-1"))
}

// A clerk replica loses its connection while it files a deed, and it cannot be known whether
// the deed was filed. The caller gets status 502, and the filing is not sent again: a
// second one would be a rejected case.
func TestFilingIsNotRepeatedWhenTheConnectionBreaks(t *testing.T) {
	one, two := standin.NewReplica("clerk-1", 0), standin.NewReplica("clerk-2", 0)
	one.Fail, two.Fail = abort, abort
	c := newCluster(t, one, two)
	got := c.send(c.start("a"), call{method: "POST", path: "/file/1", body: "deed"})
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Empty(t, got.header.Get("Retry-After"))
	require.Len(t, append(one.Runs(), two.Runs()...), 1)
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// The same happens to a lookup, which may be repeated: the caller does not notice.
func TestLookupIsRepeatedWhenTheConnectionBreaks(t *testing.T) {
	one, two := standin.NewReplica("clerk-1", 0), standin.NewReplica("clerk-2", 0)
	c := newCluster(t, one, two)
	v := c.start("a")
	one.Fail = abort
	for range 6 {
		got := c.send(v, call{method: "GET", path: "/look/1"})
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "done by clerk-2", got.body)
	}
}

// A replica is full and says that it did not run the request. The request goes to another
// one, even if it must not run twice.
func TestRefusedFilingGoesToAnotherReplica(t *testing.T) {
	one, two := standin.NewReplica("clerk-1", 0), standin.NewReplica("clerk-2", 0)
	c := newCluster(t, one, two)
	v := c.start("a")
	one.Fail = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Chestnutarch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for range 4 {
		require.Equal(t, "done by clerk-2", c.send(v, call{method: "POST", path: "/file/1"}).body)
	}
}

// An engine crashes in the middle of an event. On a route that can resume, the stream
// continues at another engine after the last whole event, and the caller sees each event
// once.
func TestStreamResumesAfterTheLastWholeEvent(t *testing.T) {
	one, two := standin.NewReplica("engine-1", 2, "m0"), standin.NewReplica("engine-2", 2, "m0")
	c := newCluster(t, one, two)
	v := c.start("a")
	q := call{method: "POST", path: "/draft/", model: "m0"}
	require.Equal(t, sseBody(1, 2, 3), c.send(v, q).body)
	if len(one.Runs()) == 0 {
		one, two = two, one
	}
	one.CutNextStream(1)
	got := c.send(v, q)
	require.NoError(t, got.err)
	require.Equal(t, sseBody(1, 2, 3), got.body)
	runs := two.Runs()
	require.Len(t, runs, 1)
	require.Equal(t, "1", runs[0].LastEvent)
}

// The same on a route that must not be repeated: the caller has to see that its answer broke
// off, since an answer that ends early could be taken for the whole one.
func TestCutStreamDoesNotLookComplete(t *testing.T) {
	one := standin.NewReplica("engine-1", 2, "m0")
	one.CutNextStream(2)
	c := newCluster(t, one, standin.NewReplica("engine-2", 2))
	got := c.send(c.start("a"), call{method: "POST", path: "/chat/", model: "m0"})
	require.Error(t, got.err)
	require.Equal(t, sseBody(1, 2), got.body)
	require.Len(t, one.Runs(), 1)
}

// The store refuses one VM while an operator withdraws a key. The VM learns of it from the
// others, or the key would work there until the store accepts the VM again.
func TestVMRefusedByStoreLearnsOfWithdrawnKey(t *testing.T) {
	c := newCluster(t, standin.NewReplica("clerk-1", 0))
	a, b := c.start("a"), c.start("b")
	c.eventually(func() bool { return a.fleet.size() == 2 && b.fleet.size() == 2 })
	b.storeRefuses.Store(true)
	c.configure(func(config map[string]any) {
		config["tenants"].([]any)[0].(map[string]any)["keys"] = []string{"another"}
	})
	c.eventually(func() bool { return c.send(b, call{method: "GET", path: "/look/"}).status == http.StatusUnauthorized })
}

// A replica is draining. Within two seconds no VM sends it anything, though its entry is
// still there.
func TestDrainingReplicaGetsNothing(t *testing.T) {
	one, two := standin.NewReplica("clerk-1", 0), standin.NewReplica("clerk-2", 0)
	c := newCluster(t, one, two)
	v := c.start("a")
	c.setReplicaState("clerk-1", "draining")
	c.eventually(func() bool { i := v.instance("clerk-1"); return i != nil && i.Draining })
	before := len(one.Runs())
	for range 6 {
		require.Equal(t, http.StatusOK, c.send(v, call{method: "GET", path: "/look/"}).status)
	}
	require.Len(t, one.Runs(), before)
}

// The operator's system and others also write to the store. An entry that cannot be parsed
// yields no instance, and a broken part of a configuration does not affect the rest.
func TestUnreadablePartsDoNotAffectOthers(t *testing.T) {
	c := newCluster(t, standin.NewReplica("clerk-1", 0))
	v := c.start("a")
	c.store.PutBytes("servers/ghost", []byte("{nonsense"))
	c.store.Put("servers/odd", map[string]any{"service": "clerk", "address": 7})
	c.configure(func(config map[string]any) {
		config["routes"] = append(config["routes"].([]any), map[string]any{"name": 5}, map[string]any{"name": "odd", "kind": "dance"})
	})
	c.eventually(func() bool { return v.core.Catalog().Version == int64(c.version) })
	require.Equal(t, http.StatusOK, c.send(v, call{method: "GET", path: "/look/"}).status)
	c.store.PutBytes("op/config", []byte("not json"))
	time.Sleep(2 * (minWatchPause + watchTimeout))
	require.Equal(t, http.StatusOK, c.send(v, call{method: "GET", path: "/look/"}).status)
}

// A VM is stopped while a request runs. The running answer is delivered in full.
func TestGracefulStopInterruptsNoRequest(t *testing.T) {
	slow := standin.NewReplica("clerk-1", 0)
	c := newCluster(t, slow)
	v := c.start("a")
	slow.Fail = func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(700 * time.Millisecond)
		w.Header().Set("X-Chestnutarch-Attempt-Id", r.Header.Get("X-Chestnutarch-Attempt-Id"))
		w.Header().Set("X-Chestnutarch-Response-Signature", "sig")
		_, _ = w.Write([]byte("late but whole"))
	}
	got := make(chan answer, 1)
	go func() { got <- c.send(v, call{method: "POST", path: "/file/1"}) }()
	c.eventually(func() bool { return len(slow.Runs()) == 1 })
	v.stop()
	require.Equal(t, "late but whole", (<-got).body)
}

// Something between the replica and the VM answers in its place, or the replica sends bytes
// that only look like an answer. A success that no replica has signed is not passed on: the
// caller would take a filing for done that never happened.
func TestUnsignedSuccessIsNotPassedOn(t *testing.T) {
	one := standin.NewReplica("clerk-1", 0)
	one.Fail = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("all is well")) }
	c := newCluster(t, one)
	got := c.send(c.start("a"), call{method: "POST", path: "/file/1"})
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Len(t, one.Runs(), 1)
}

// A caller omits the ID of its attempt. No replica runs such a request, and trying all of
// them would use up the retry budget of others.
func TestRequestWithoutAnIDIsMalformed(t *testing.T) {
	one := standin.NewReplica("clerk-1", 0)
	c := newCluster(t, one)
	got := c.send(c.start("a"), call{method: "GET", path: "/look/", header: map[string]string{"X-Chestnutarch-Attempt-Id": ""}})
	require.Equal(t, http.StatusBadRequest, got.status)
	require.Empty(t, one.Runs())
}
