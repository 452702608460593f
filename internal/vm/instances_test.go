package vm

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/platform"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// A view of hundreds of upstreams changes several times a second, mostly in one entry. Parsing
// all entries each time would take most of a VM's processor time.
func TestOnlyChangedEntryIsParsed(t *testing.T) {
	parses := 0
	e := newInstanceEntries(func(item store.Item) (*upstream.Instance, error) {
		parses++
		return platform.Instance(item, nil)
	}, time.Second)
	items := make(map[string]store.Item)
	for _, id := range []string{"e1", "e2", "e3"} {
		items[platform.InstancePrefix+id] = store.Item{
			Key: platform.InstancePrefix + id, Revision: 1,
			Value: []byte(`{"service":"engine","address":"10.0.0.1:80","zone":"a","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"sequence":0}`),
		}
	}
	items["other"] = store.Item{Key: "other", Revision: 1}
	update := func(d viewDelta) []error {
		_, _, unreadable := e.update(items, d, time.Now())
		return unreadable
	}
	require.Empty(t, update(viewDelta{changed: slices.Collect(maps.Keys(items))}))
	require.Equal(t, 3, parses)

	e2 := items[platform.InstancePrefix+"e2"]
	e2.Revision, e2.Value = 2, []byte(`{`)
	items[e2.Key] = e2
	require.Len(t, update(viewDelta{changed: []string{e2.Key}}), 1)
	require.Empty(t, update(viewDelta{}), "an entry that cannot be parsed must be returned only once per revision")
	require.Equal(t, 4, parses)
	require.Nil(t, e.byID["e2"].instance)

	delete(items, e2.Key)
	require.Empty(t, update(viewDelta{removed: []string{e2.Key}}))
	require.Len(t, e.byID, 2)
	require.Equal(t, 4, parses)
}

// The store turns one VM away while the others see an upstream leave. That VM must not use the entry that it kept, once it reaches the store again.
func TestEntryThatOthersSawRemovedIsNotUsedAfterAnOutageOfOneVM(t *testing.T) {
	leaving, other := standin.NewReplica("clerk-1", 0), standin.NewReplica("clerk-2", 0)
	c := newCluster(t, leaving, other)
	refused, inTouch := c.start("a"), c.start("b")
	c.eventually(func() bool { return refused.fleet.size() == 2 && inTouch.fleet.size() == 2 })
	refused.storeRefuses.Store(true)
	c.eventually(func() bool { return refused.tracker.viewAge() > minWatchPause+minRetryPause })
	c.store.Delete("servers/" + leaving.ID)
	c.eventually(func() bool { return refused.instance(leaving.ID).Draining })
	refused.storeRefuses.Store(false)
	for until := time.Now().Add(lapsedGrace + time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		i := refused.instance(leaving.ID)
		require.True(t, i == nil || i.Draining)
	}

	c.setReplicaState(leaving.ID, "ready")
	c.eventually(func() bool {
		c.setReplicaState(leaving.ID, "ready")
		i := refused.instance(leaving.ID)
		return i != nil && !i.Draining
	})
}
