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

// Guards against requests that are cut without an answer because their upstreams take longer than a stopping VM may.
func TestStopAnswersRequestsThatCannotEndInTime(t *testing.T) {
	t.Parallel()
	clerk, engine := standin.NewReplica("clerk-1", 0), standin.NewReplica("engine-1", 2, "m0")
	for _, r := range []*standin.Replica{clerk, engine} {
		r.Fail = func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }
	}
	c := newCluster(t, clerk, engine)
	path := newUpstreamPath()
	v := c.startAs(vmSpec{name: "a", domain: "a"})
	cut := c.startAs(vmSpec{name: "b", domain: "a", upstreams: path})
	c.eventually(func() bool { return len(cut.fleet.meshPartners()) == 1 && namedBy(v, cut) })
	c.cutOff(cut, path)
	before := len(clerk.Runs())
	calls := []struct {
		vm *testVM
		call
	}{
		{v, call{method: "POST", path: "/file/1"}},
		{v, call{method: "GET", path: "/look/1"}},
		{v, call{method: "POST", path: "/chat/1", model: "m0"}},
		{cut, call{method: "POST", path: "/file/2"}},
	}
	got := make(chan answer, len(calls))
	for _, q := range calls {
		go func() { got <- c.send(q.vm, q.call) }()
	}
	c.eventually(func() bool { return len(clerk.Runs())-before == 3 && len(engine.Runs()) == 1 })
	v.stop()
	for range calls {
		one := <-got
		require.NoError(t, one.err)
		require.Equal(t, http.StatusBadGateway, one.status, one.body)
	}
}

// Guards against a request that is passed on late in a stop and cut without an answer, also beside new configurations.
func TestRequestsThroughoutAStopAreAnsweredUnlessTheyDidNotRun(t *testing.T) {
	t.Parallel()
	for _, reconfigured := range []bool{false, true} {
		clerk := standin.NewReplica("clerk-1", 0)
		clerk.ServiceTime = 150 * time.Millisecond
		c := newCluster(t, clerk)
		v := c.start("a")
		callers := c.fileUntilStopped(v)
		if reconfigured {
			callers.group.Go(func() {
				for !callers.stopped.Load() {
					c.configure(nil)
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
		c.eventually(func() bool { return len(clerk.Runs()) > 30 })
		v.stop()
		callers.stopped.Store(true)
		callers.group.Wait()
		for _, run := range clerk.Runs() {
			require.False(t, callers.cut[run.ID], "%s ran and got no answer", run.ID)
		}
		require.Greater(t, callers.answered, 30)
	}
}

// filers are callers that send filings on kept connections until stopped is set.
type filers struct {
	group   sync.WaitGroup
	stopped atomic.Bool

	mu       sync.Mutex
	answered int
	// cut holds the IDs of the requests whose connections ended without an answer.
	cut map[string]bool
}

func (c *cluster) fileUntilStopped(v *testVM) *filers {
	f := &filers{cut: make(map[string]bool)}
	for range 12 {
		f.group.Go(func() {
			for !f.stopped.Load() {
				id := fmt.Sprintf("stop-%d", c.ids.Add(1))
				got := c.send(v, call{method: "POST", path: "/file/" + id, body: id, header: map[string]string{"X-Chestnutarch-Attempt-Id": id}})
				f.record(id, got)
				time.Sleep(time.Millisecond)
			}
		})
	}
	return f
}

func (f *filers) record(id string, got answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if got.err != nil {
		f.cut[id] = true
		return
	}
	f.answered++
}
