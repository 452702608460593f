package vm

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/platform"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// outageOfRestore is how long the store is away before it comes back from a copy.
const outageOfRestore = 400 * time.Millisecond

// advanceStore makes a number of changes that concern no VM, so that the store's revision grows.
func (c *cluster) advanceStore(changes int) {
	for n := range changes {
		c.store.Put("op/note-"+strconv.Itoa(n), n)
	}
}

// restoreStore takes the store away and brings it back from a copy. back is called before any VM reaches it again.
func (c *cluster) restoreStore(from *standin.StoreCopy, back func()) {
	c.store.Override(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	time.Sleep(outageOfRestore)
	c.store.Restore(from)
	if back != nil {
		back()
	}
	c.store.Override(nil)
}

// versions returns the versions of the configurations that are in force at the VMs.
func (c *cluster) versions() (out []int64) {
	for _, v := range c.vms {
		version := int64(0)
		if in := v.core.Catalog(); in != nil {
			version = in.Version
		}
		out = append(out, version)
	}
	return out
}

// inForce reports whether every VM has the last version of the configuration.
func (c *cluster) inForce() bool {
	for _, version := range c.versions() {
		if version != int64(c.version) {
			return false
		}
	}
	return true
}

// Guards against configurations that are taken for older ones by the revisions of a store that came back from a copy.
func TestConfigurationIsInForceAfterTheStoreCameBackFromACopy(t *testing.T) {
	c := newCluster(t, &standin.Replica{ID: "clerk-1"})
	for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
		c.start(vm)
	}
	from := c.store.Copy()
	c.advanceStore(40)
	c.configure(nil)
	c.eventually(c.inForce)
	c.restoreStore(from, nil)
	time.Sleep(300 * time.Millisecond)
	c.version--
	c.configure(nil)
	time.Sleep(600 * time.Millisecond)
	c.configure(nil)
	c.eventually(c.inForce)
}

// Guards against a watch that goes on from a revision of before the store came back from a copy.
func TestChangesAreSeenAlthoughTheRestoredStoreHasPassedTheVMsRevision(t *testing.T) {
	c := newCluster(t, &standin.Replica{ID: "clerk-1"})
	c.start("vm-1")
	from := c.store.Copy()
	c.configure(nil)
	c.eventually(c.inForce)
	c.restoreStore(from, func() {
		c.configure(nil)
		c.setReplicaState("clerk-1", "draining")
		c.advanceStore(40)
	})
	c.eventually(func() bool { return c.vms[0].instance("clerk-1").Draining })
	c.eventually(c.inForce)
}

// Guards against a VM that follows a copy back to an older configuration, and one that starts from it.
func TestConfigurationsDoNotGoBackToTheCopysOne(t *testing.T) {
	c := newCluster(t, &standin.Replica{ID: "clerk-1"})
	c.start("vm-1")
	c.start("vm-2")
	from := c.store.Copy()
	c.configure(nil)
	c.eventually(c.inForce)
	c.restoreStore(from, nil)
	c.eventually(func() bool {
		return c.vms[0].tracker.viewRevision().Era() == 2 && c.vms[1].tracker.viewRevision().Era() == 2
	})
	c.start("vm-3")
	c.eventually(c.inForce)
	c.version--
	c.configure(nil)
	for range 20 {
		require.True(t, c.inForce(), c.versions())
		time.Sleep(minWatchPause / 10)
	}
}

// Guards against restored entries of upstreams that have left, and against lost ones of upstreams that live.
func TestUpstreamsAfterTheStoreCameBackFromACopy(t *testing.T) {
	stays, left, back, came := standin.NewReplica("clerk-1", 0), standin.NewReplica("clerk-2", 0), standin.NewReplica("clerk-3", 0), standin.NewReplica("clerk-4", 0)
	c := newCluster(t, stays, left, back)
	for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
		c.start(vm)
	}
	from := c.store.Copy()
	c.store.Delete("servers/clerk-2")
	c.store.Delete("servers/clerk-3")
	c.add(came)
	c.advanceStore(40)
	each := func(holds func(*testVM) bool) func() bool {
		return func() bool {
			for _, v := range c.vms {
				if !holds(v) {
					return false
				}
			}
			return true
		}
	}
	c.eventually(each(func(v *testVM) bool {
		return v.instance("clerk-2") == nil && v.instance("clerk-3") == nil && v.instance("clerk-4") != nil
	}))
	ran, cameRan := len(left.Runs()), 0
	c.restoreStore(from, nil)
	c.eventually(each(func(v *testVM) bool { return v.tracker.viewRevision().Era() == 2 }))
	require.True(t, each(func(v *testVM) bool { return v.instance("clerk-4") != nil })(), "an upstream that the copy lacks is kept for a while")
	cameRan = len(came.Runs())
	c.setReplicaState("clerk-4", "ready")
	c.eventually(each(func(v *testVM) bool { return !v.isDraining("clerk-4") }))
	// Nobody keeps up the entry that the copy has of clerk-2.
	time.AfterFunc(3*defaultHeartbeat, func() { c.store.Delete("servers/clerk-2") })
	for !each(func(v *testVM) bool { i := v.instance("clerk-3"); return i != nil && !i.Draining })() {
		c.setReplicaState("clerk-3", "ready")
		for _, v := range c.vms {
			c.countLooks(v, 5)
		}
		time.Sleep(defaultHeartbeat / 4)
	}
	for _, v := range c.vms {
		c.countLooks(v, 30)
	}
	require.Equal(t, ran, len(left.Runs()), "an upstream that has left got requests")
	require.NotEmpty(t, back.Runs(), "an upstream that came again got none")
	require.Greater(t, len(came.Runs()), cameRan)
	c.setReplicaState("clerk-1", "draining")
	c.eventually(each(func(v *testVM) bool { return v.instance("clerk-1").Draining }))
}

// Guards against an earlier incarnation that the copy has under the ID of one that runs.
func TestEarlierIncarnationOfTheCopyIsNotUsed(t *testing.T) {
	r := standin.NewReplica("clerk-1", 0)
	c := newCluster(t, r)
	v := c.start("vm-1")
	entry := func(incarnation int64) map[string]any {
		return map[string]any{"service": "clerk", "address": c.servers["clerk-1"].Listener.Addr().String(), "zone": "a", "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0, "sequence": 0, "born": incarnation}
	}
	c.store.Put("servers/clerk-1", entry(10))
	from := c.store.Copy()
	c.store.Put("servers/clerk-1", entry(20))
	c.eventually(func() bool { return v.instance("clerk-1").Incarnation == 20 })
	c.restoreStore(from, nil)
	c.eventually(func() bool { return v.tracker.viewRevision().Era() == 2 })
	require.Equal(t, int64(20), v.instance("clerk-1").Incarnation)
	require.False(t, v.instance("clerk-1").Draining)
	c.store.Put("servers/clerk-1", entry(20))
	c.advanceStore(1)
	c.eventually(func() bool { return v.instance("clerk-1").Incarnation == 20 && !v.instance("clerk-1").Draining })
}

// Guards against evacuations that end, and upstreams that return, because the copy is of before they began.
func TestEvacuationGoesOnUntilTheOperatorHasWrittenAgain(t *testing.T) {
	now := time.Now()
	e := newEvacuations(platform.Bounds{})
	inForce := func() []string {
		domains, _ := e.current()
		return domains
	}
	e.update(store.NewRevision(1, 50), []string{"a", "b"}, now)
	e.update(store.NewRevision(2, 20), nil, now)
	require.Equal(t, []string{"a", "b"}, inForce(), "the copy is of before both")
	e.updateFromPeer(store.NewRevision(1, 60), nil, now)
	require.Equal(t, []string{"a", "b"}, inForce(), "another VM is in the era before")
	e.updateFromPeer(store.NewRevision(2, 21), []string{"a", "b"}, now)
	e.update(store.NewRevision(2, 21), nil, now)
	require.Equal(t, []string{"a", "b"}, inForce(), "another VM keeps them as this one does")
	e.update(store.NewRevision(2, 22), []string{"a"}, now)
	e.update(store.NewRevision(2, 23), nil, now)
	require.Equal(t, []string{"b"}, inForce(), "the operator has named a again and taken it back")
	e.update(store.NewRevision(2, 23), nil, now.Add(lapsedGrace+time.Millisecond))
	require.Empty(t, inForce(), "the operator did not write b again")
}

// Guards against a registration of an earlier process in the copy that replaces the VM which reports.
func TestRegistrationOfAnEarlierProcessInTheCopyIsIgnored(t *testing.T) {
	f := idleVM(t).fleet
	register := func(incarnation int, revision store.Revision) {
		value := fmt.Appendf(nil, `{"incarnation":%d,"callers":"10.0.0.9:1","peers":"127.0.0.1:2","domain":"a"}`, incarnation)
		f.updateRegistrations(map[string]store.Item{vmPrefix + "other": {Revision: revision, Value: value}})
	}
	register(7, store.NewRevision(1, 50))
	f.members["other"].lastReport = time.Now()
	register(6, store.NewRevision(2, 10))
	require.Equal(t, int64(7), f.members["other"].Incarnation)
	require.True(t, f.members["other"].registered)
	register(8, store.NewRevision(2, 30))
	require.Equal(t, int64(8), f.members["other"].Incarnation)
	f.members["other"].lastReport = time.Now().Add(-peerTimeout)
	register(7, store.NewRevision(3, 10))
	require.Equal(t, int64(7), f.members["other"].Incarnation, "nothing is heard of the later process")
}

// Guards against orders of configurations that depend on the store where the operator's version tells more.
func TestConfigurationsAreOrderedByVersionAcrossEras(t *testing.T) {
	at := func(version int64, era store.Era, count int64) configurationOrder {
		return configurationOrder{version, store.NewRevision(era, count)}
	}
	require.True(t, at(19, 2, 5).newerThan(at(18, 1, 90)))
	require.False(t, at(13, 2, 5).newerThan(at(18, 1, 90)), "the copy's older one")
	require.True(t, at(18, 1, 90).newerThan(at(13, 2, 5)))
	require.False(t, at(18, 2, 5).newerThan(at(18, 1, 90)), "written again")
	require.False(t, at(18, 1, 90).newerThan(at(18, 2, 5)))
	require.True(t, at(0, 0, 7).newerThan(at(0, 0, 6)), "an earlier build tells no version")
}

// Guards against whole entries for every follower when all revisions change at once.
func TestFollowersOfLargeFleetsGetARestoredViewPacked(t *testing.T) {
	hub, follower := testTracker(), testTracker()
	hub.watching = true
	items, plain := make(map[string]store.Item), 0
	listed := func(era store.Era) (out []store.Item) {
		for _, i := range items {
			i.Revision = store.NewRevision(era, i.Revision.Count())
			out = append(out, i)
		}
		return out
	}
	for n := range 4002 {
		key := fmt.Sprintf("servers/i-%08x", n*7919)
		value := fmt.Sprintf(`{"service":"engine","address":"10.0.%d.%d:8080","zone":"zone-%d","version":"v1","slots":64,"state":"ready","cold-remaining-ms":0,"sequence":0,"models":[{"name":"model-%d","version":1,"adapters":["a%d"]}]}`, n/250, n%250, n%6, n%224, n%40)
		items[key] = store.Item{Key: key, Value: []byte(value), Revision: store.NewRevision(1, int64(n+1))}
		plain += len(key) + len(value)
	}
	hub.publishItems(items, store.NewRevision(1, 5000))
	in := &peerpb.FollowRequest{ReadsPacked: true}
	follow := func() int {
		answer, err := hub.answerFollow(t.Context(), 7, in)
		require.NoError(t, err)
		_, err = follower.applyHubView(answer, time.Now())
		require.NoError(t, err)
		in = &peerpb.FollowRequest{ReadsPacked: true, Incarnation: answer.Incarnation, Change: answer.Change}
		return proto.Size(answer)
	}
	first := follow()
	hub.mu.Lock()
	hub.replaceView(listed(2), store.NewRevision(2, 4500), store.NewRevision(2, 4500), time.Now())
	hub.mu.Unlock()
	again := follow()
	t.Logf("%d bytes of entries: %d at first, %d after the restore", plain, first, again)
	require.Less(t, again, plain/4)
	require.Equal(t, hub.view, follower.view)
	require.Equal(t, store.Era(2), follower.viewRevision().Era())
}
