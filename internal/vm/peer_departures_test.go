package vm

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// isDraining reports whether a VM knows an instance as draining.
func (v *testVM) isDraining(id string) bool {
	i := v.instance(id)
	return i != nil && i.Draining
}

// One VM alone was told that an upstream leaves. The others, and one that starts afterwards, must not use it either.
func TestVMsTellEachOtherWhichUpstreamsLeave(t *testing.T) {
	leaving, other := standin.NewReplica("clerk-1", 0), standin.NewReplica("clerk-2", 0)
	c := newCluster(t, leaving, other)
	a, b := c.start("a"), c.start("b")
	leaving.Leave()
	c.eventually(func() bool { c.countLooks(a, 1); return a.isDraining(leaving.ID) })
	c.eventually(func() bool { return b.isDraining(leaving.ID) })
	started := c.start("c")
	c.eventually(func() bool { return started.isDraining(leaving.ID) })
	ran := len(leaving.Runs())
	for range 3 {
		c.writeEntry(leaving, "clerk")
		c.countLooks(b, 10)
		c.countLooks(started, 10)
		time.Sleep(minWatchPause)
	}
	require.Equal(t, ran, len(leaving.Runs()))
}

// An instance drains and its entry is removed before a VM's next reading of the store; a late heartbeat then writes it as ready.
func TestDrainingStateIsNotLostBetweenTwoReadings(t *testing.T) {
	r := standin.NewReplica("clerk-1", 0)
	c := newCluster(t, r)
	p := c.start("a").idle(t)
	revision := int64(1000)
	write := func(state string) store.Event {
		value, err := json.Marshal(r.Entry("clerk", c.servers[r.ID].Listener.Addr().String(), "a", state))
		require.NoError(t, err)
		revision++
		return store.Event{Item: store.Item{Key: "servers/" + r.ID, Value: value, Revision: revision}}
	}
	remove := func() store.Event {
		revision++
		return store.Event{Item: store.Item{Key: "servers/" + r.ID, Revision: revision}, Deleted: true}
	}
	read := func(events ...store.Event) { p.tracker.applyEvents(store.Events{Events: events, Revision: revision}) }
	read(write("ready"))
	require.False(t, p.instance(r.ID).Draining)
	read(write("draining"), remove())
	require.Nil(t, p.instance(r.ID))
	for range 5 {
		read(write("ready"))
		require.True(t, p.instance(r.ID).Draining)
	}
}

// VMs that tell each other of a departure again and again would never forget it.
func TestDeparturesThatVMsTellEachOtherAreForgotten(t *testing.T) {
	c := newCluster(t)
	p := c.start("a").idle(t)
	now := time.Now()
	tables := []*departures{newDepartures(), newDepartures(), newDepartures()}
	tables[0].record("i@1@10.0.0.1:80", true, 5, now)
	last := now
	for ; now.Sub(last) < 2*departureRetention; now = now.Add(exchangeInterval) {
		for _, from := range tables {
			told, _ := from.since(0, now)
			for _, to := range tables {
				p.departures = to
				p.applyPeerDepartures(told, now)
			}
		}
		remembered := 0
		for _, d := range tables {
			d.retain(func(string) bool { return false }, now)
			remembered += len(d.instances())
		}
		if remembered == 0 {
			break
		}
	}
	require.InDelta(t, departureRetention.Seconds(), now.Sub(last).Seconds(), 1)
}

// A VM that was cut off tells of a removal after which the instance has written its entry again.
func TestOlderDepartureDoesNotExcludeAnInstanceThatIsBack(t *testing.T) {
	r := standin.NewReplica("clerk-1", 0)
	c := newCluster(t, r)
	v := c.start("a")
	known := v.instance(r.ID)
	revision := v.entries.byID[r.ID].revision
	d := newDepartures()
	d.record(incarnationOf(known), false, revision-1, time.Now())
	told, _ := d.since(0, time.Now())
	v.applyPeerDepartures(told, time.Now())
	require.False(t, v.instance(r.ID).Draining)
	d.record(incarnationOf(known), false, revision, time.Now())
	told, _ = d.since(0, time.Now())
	v.applyPeerDepartures(told, time.Now())
	require.True(t, v.instance(r.ID).Draining)
}
