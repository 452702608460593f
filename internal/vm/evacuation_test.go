package vm

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/platform"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// newTwoDomainCluster returns a cluster with two clerks, the second one in failure domain "b".
func newTwoDomainCluster(t *testing.T) (c *cluster, stays, evacuated *standin.Replica) {
	stays, evacuated = standin.NewReplica("clerk-1", 0), standin.NewReplica("clerk-2", 0)
	c = newCluster(t, stays)
	c.domains = map[string]string{evacuated.ID: "b"}
	c.add(evacuated)
	return c, stays, evacuated
}

// look sends n idempotent requests to a VM, all of which must be served.
func (c *cluster) look(v *testVM, n int) {
	c.t.Helper()
	for range n {
		require.Equal(c.t, http.StatusOK, c.send(v, call{method: "GET", path: "/look/"}).status)
	}
}

// isEvacuating reports whether a VM applies an evacuation to an upstream.
func (v *testVM) isEvacuating() bool {
	for _, i := range *v.instances.Load() {
		if i.Evacuated() {
			return true
		}
	}
	return false
}

// A VM that starts, or that was cut off, finds an evacuation in force and cannot know since when. It must
// send nothing there at all.
func TestNoPhaseOutForAnEvacuationOfUnknownAge(t *testing.T) {
	now := time.Now()
	e := newEvacuations(platform.Bounds{Evacuation: 5 * time.Second, Configuration: 3 * time.Second})
	e.update(7, []string{"b"}, now)
	require.Equal(t, now, e.apply(&upstream.Instance{FailureDomain: "b"}).EvacuateBy)
	e.update(8, []string{"b", "c"}, now.Add(4*time.Second))
	require.Equal(t, now.Add(4*time.Second), e.apply(&upstream.Instance{FailureDomain: "c"}).EvacuateBy)
}

// The operator evacuates a failure domain for maintenance. A request that still reaches an upstream
// there is lost when the domain is switched off.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	c, _, evacuated := newTwoDomainCluster(t)
	v := c.start("a")
	c.eventually(func() bool { c.look(v, 1); return len(evacuated.Runs()) > 0 })

	c.store.Put("op/evacuate/b", map[string]any{})
	c.eventually(v.isEvacuating)
	before := len(evacuated.Runs())
	c.look(v, 30)
	require.Len(t, evacuated.Runs(), before)

	c.store.Delete("op/evacuate/b")
	c.eventually(func() bool { c.look(v, 1); return len(evacuated.Runs()) > before })
}

// The store turns one VM away while the operator evacuates a domain and gives it back. The VM learns
// both from the other VM; by itself it would go on with what it knew.
func TestEvacuationReachesVMThatTheStoreRefuses(t *testing.T) {
	c, _, evacuated := newTwoDomainCluster(t)
	a, b := c.start("a"), c.start("b")
	c.eventually(func() bool { return a.fleet.size() == 2 && b.fleet.size() == 2 })
	b.storeRefuses.Store(true)
	c.store.Put("op/evacuate/b", map[string]any{})
	c.eventually(b.isEvacuating)
	before := len(evacuated.Runs())
	c.look(b, 30)
	require.Len(t, evacuated.Runs(), before)
	c.store.Delete("op/evacuate/b")
	c.eventually(func() bool { return !b.isEvacuating() })
}

// An operator's tool writes a key without the name of a domain. It must not stop the VM from applying
// the other evacuations, nor count as one.
func TestUnreadableEvacuationIsIgnored(t *testing.T) {
	c, _, _ := newTwoDomainCluster(t)
	v := c.start("a")
	c.store.Put("op/evacuate/", map[string]any{})
	c.store.Put("op/evacuate/b", map[string]any{})
	c.eventually(v.isEvacuating)
	domains, _ := v.evacuations.current()
	require.Equal(t, []string{"b"}, domains)
}

// Reports of other VMs arrive late and out of order. An evacuation that was in force must not be
// undone by a set of an earlier revision, nor one that has ended come back.
func TestEvacuationsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := [][]string{nil}
		for range rapid.IntRange(1, 20).Draw(t, "revisions") {
			history = append(history, rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID).Draw(t, "domains"))
		}
		e, newest := newEvacuations(platform.Bounds{}), 0
		for _, revision := range rapid.SliceOf(rapid.IntRange(1, len(history)-1)).Draw(t, "arrivals") {
			e.update(store.Revision(revision), history[revision], time.Now())
			newest = max(newest, revision)
			domains, _ := e.current()
			require.ElementsMatch(t, history[newest], domains, fmt.Sprint("after revision ", newest))
		}
	})
}

// An evacuation has to be complete five seconds after the store accepted it, and a VM may learn of it
// as late as of a configuration, three seconds after. What remains may be used for requests that no
// other upstream can take, while their models are loaded elsewhere.
func TestPhaseOutEndsWithinTheBound(t *testing.T) {
	now := time.Now()
	e := newEvacuations(platform.Bounds{Evacuation: 5 * time.Second, Configuration: 3 * time.Second})
	e.update(6, nil, now.Add(-time.Second))
	change := e.update(7, []string{"b"}, now)
	require.Equal(t, []string{"b"}, change.begun)
	i := e.apply(&upstream.Instance{ID: "i", FailureDomain: "b"})
	require.Equal(t, now.Add(2*time.Second), i.EvacuateBy)
	require.False(t, e.apply(&upstream.Instance{ID: "j", FailureDomain: "a"}).Evacuated())

	require.Equal(t, []string{"b"}, e.update(9, nil, now.Add(time.Minute)).ended)
	returned := e.apply(i)
	require.False(t, returned.Evacuated())
	require.Equal(t, now.Add(time.Minute), returned.ReturnedAt)
}
