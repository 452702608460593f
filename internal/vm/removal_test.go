package vm

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// newRemovalFixture returns a process that does not run, with the entries of two upstreams in its view.
func newRemovalFixture(t *testing.T) (p *Process, leaving, other store.Item) {
	r, s := standin.NewReplica("clerk-1", 0), standin.NewReplica("clerk-2", 0)
	c := newCluster(t, r, s)
	p = c.start("a").idle(t)
	p.tracker.contact.minOutage = 2 * time.Second
	leaving, other = c.entryAt(r, "ready", 10), c.entryAt(s, "ready", 20)
	p.tracker.applyEvents(store.Events{Revision: 20, Events: []store.Event{{Item: leaving}, {Item: other}}}, time.Now())
	require.NotNil(t, p.instance("clerk-1"))
	return p, leaving, other
}

// The store turns a hub away; a VM that followed it reads the store at once, which no longer has an entry.
func TestFailuresOfAHubDoNotKeepAnEntryThatIsRemoved(t *testing.T) {
	p, leaving, other := newRemovalFixture(t)
	answer := &peerpb.FollowResponse{Whole: true, Revision: 20, FailedMs: 0}
	for _, i := range []store.Item{leaving, other} {
		answer.Items = append(answer.Items, &peerpb.StoreItem{Key: i.Key, Value: i.Value, Revision: int64(i.Revision)})
	}
	_, err := p.tracker.applyHubView(answer, time.Now())
	require.NoError(t, err)
	p.tracker.mu.Lock()
	p.tracker.replaceView([]store.Item{other}, 20, 30, time.Now())
	p.tracker.mu.Unlock()
	require.Nil(t, p.instance("clerk-1"))
	require.NotNil(t, p.instance("clerk-2"))
}

// A call of the store times out on a busy machine, and the next one tells that an entry was removed.
func TestFailedCallDoesNotKeepAnEntryThatIsRemoved(t *testing.T) {
	p, leaving, _ := newRemovalFixture(t)
	p.tracker.recordFailure(errors.WithStack(store.ErrUnknown))
	p.tracker.applyEvents(store.Events{Revision: 30, Events: []store.Event{{Item: store.Item{Key: leaving.Key, Revision: 30}, Deleted: true}}}, time.Now())
	require.Nil(t, p.instance("clerk-1"))
	require.NotNil(t, p.instance("clerk-2"))
}

// The store was away for so long that leases of live upstreams have ended, whose entries come back soon.
func TestEntryThatMayHaveLapsedInAnOutageIsKept(t *testing.T) {
	p, leaving, _ := newRemovalFixture(t)
	p.tracker.contact.completeAt = time.Now().Add(-3 * time.Second)
	p.tracker.recordFailure(errors.WithStack(store.ErrUnknown))
	p.tracker.applyEvents(store.Events{Revision: 30, Events: []store.Event{{Item: store.Item{Key: leaving.Key, Revision: 30}, Deleted: true}}}, time.Now())
	require.False(t, p.instance("clerk-1").Draining)
}
