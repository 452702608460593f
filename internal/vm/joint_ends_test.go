package vm

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

const jointVMs = 3

// startMesh starts VMs that all know each other.
func (c *cluster) startMesh(n int) []*testVM {
	var vms []*testVM
	for i := range n {
		vms = append(vms, c.start(string(rune('a'+i))))
	}
	for _, v := range vms {
		c.eventually(func() bool { return len(v.fleet.meshPartners()) == n-1 })
	}
	return vms
}

// addBlocking adds a replica that ends no request for path, and returns a counter of those that it has begun.
func (c *cluster) addBlocking(id, path string) (*standin.Replica, *atomic.Int64) {
	begun := new(atomic.Int64)
	r := standin.NewReplica(id, 0)
	r.Inspect = func(_ http.ResponseWriter, q *http.Request, _ string) bool {
		if q.URL.Path != path {
			return true
		}
		begun.Add(1)
		<-q.Context().Done()
		return false
	}
	c.add(r)
	return r, begun
}

// Guards against a lookup that is refused for minutes because it ran on all upstreams of its service as they crashed at once.
func TestLookupIsServedAgainAfterAllUpstreamsCrashAtOnce(t *testing.T) {
	t.Parallel()
	lookup := call{method: "GET", path: "/look/today"}
	c := newCluster(t)
	c.add(standin.NewReplica("clerk-calm", 0))
	vms := c.startMesh(jointVMs)
	for _, v := range vms {
		require.Equal(t, http.StatusOK, c.send(v, lookup).status)
	}
	c.setReplicaState("clerk-calm", "draining")
	crashing := make([]*standin.Replica, 3)
	counts := make([]*atomic.Int64, len(crashing))
	for i := range crashing {
		crashing[i], counts[i] = c.addBlocking(fmt.Sprintf("clerk-%d", i), lookup.path)
	}
	for _, v := range vms {
		c.eventually(func() bool { i := v.instance("clerk-2"); return i != nil && v.instance("clerk-calm").Draining })
	}
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() { c.send(vms[i%jointVMs], lookup) })
	}
	c.eventually(func() bool { return counts[0].Load() > 0 && counts[1].Load() > 0 && counts[2].Load() > 0 })
	for _, r := range crashing {
		c.end(r)
	}
	callers.Wait()
	for _, r := range crashing {
		c.store.Delete("servers/" + r.ID)
	}
	for i := range 3 {
		c.add(standin.NewReplica(fmt.Sprintf("clerk-back-%d", i), 0))
	}
	for _, v := range vms {
		require.Eventually(t, func() bool { return c.send(v, lookup).status == http.StatusOK }, testWait, 50*time.Millisecond)
	}
}

// Guards against a request that goes on ending upstreams because several callers send it at once.
func TestRequestThatSeveralCallersSendAtOnceEndsThreeUpstreams(t *testing.T) {
	t.Parallel()
	c, e := newCluster(t), &endings{}
	for i := range 10 {
		c.addEnding(fmt.Sprintf("clerk-%d", i), e)
	}
	vms := c.startMesh(jointVMs)
	innocents := c.sendInnocents(vms, 300)
	var callers sync.WaitGroup
	for _, v := range vms {
		callers.Go(func() { c.send(v, call{method: "POST", path: "/file/x", body: endingMark}) })
	}
	callers.Wait()
	before, _ := e.counts()
	for i := 0; i < 100; i++ {
		c.send(vms[i%jointVMs], call{method: "POST", path: "/file/x", body: endingMark})
		time.Sleep(50 * time.Millisecond)
	}
	innocents()
	ended, sentAfterThird := e.counts()
	require.LessOrEqual(t, before, 3)
	require.Equal(t, 3, ended)
	require.Zero(t, sentAfterThird)
}
