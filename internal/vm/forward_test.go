package vm

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// cutCluster starts VMs with ways to the upstreams of their own, the first of which is cut, and waits until it knows.
func cutCluster(t *testing.T, vms int, replicas ...*standin.Replica) (*cluster, []*upstreamPath) {
	c := newCluster(t, replicas...)
	var paths []*upstreamPath
	for i := range vms {
		paths = append(paths, newUpstreamPath())
		c.startAs(vmSpec{name: string(rune('a' + i)), domain: "a", upstreams: paths[i]})
	}
	for _, v := range c.vms {
		c.eventually(func() bool { return len(v.fleet.meshPartners()) == vms-1 && namedBy(v, c.vms[0]) })
	}
	c.cutOff(c.vms[0], paths[0])
	return c, paths
}

// cutOff cuts a VM's way to the upstreams, and waits until it knows.
func (c *cluster) cutOff(v *testVM, path *upstreamPath) {
	path.set(true, true)
	c.eventually(func() bool {
		c.send(v, call{method: "GET", path: "/look/", header: map[string]string{"X-Chestnutarch-Deadline-Remaining-Ms": "300"}})
		return v.reach.Cut("clerk")
	})
}

func runsOf(r *standin.Replica, path string) (out []standin.Run) {
	for _, run := range r.Runs() {
		if strings.HasPrefix(run.Target, path) {
			out = append(out, run)
		}
	}
	return out
}

// The VM that was handed a filing is lost while it runs: its caller must not be told that it was not run, nor may it run again.
func TestForwardedFilingRunsOnceWhenTheOtherVMIsLost(t *testing.T) {
	clerk := standin.NewReplica("clerk-1", 0)
	c, _ := cutCluster(t, 3, clerk)
	clerk.SetFail(func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	done := make(chan answer, 1)
	go func() { done <- c.send(c.vms[0], call{method: "POST", path: "/file/1"}) }()
	c.eventually(func() bool { return len(runsOf(clerk, "/file/")) == 1 })
	c.vms[0].pool.Close()
	got := <-done
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Empty(t, got.header.Get("Retry-After"))
	require.Len(t, runsOf(clerk, "/file/"), 1)
}

// The caller of a forwarded request leaves: the upstream must not go on working for it.
func TestCallerOfAForwardedRequestThatLeavesEndsTheRun(t *testing.T) {
	clerk := standin.NewReplica("clerk-1", 0)
	c, _ := cutCluster(t, 2, clerk)
	left := make(chan struct{})
	clerk.SetFail(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	})
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.vms[0].settings.Callers+"/file/1", nil)
		r.Host = testHost
		r.Header.Set("X-Chestnutarch-Attempt-Id", "leaving")
		r.Header.Set("Authorization", "Token "+testKey)
		if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
			response.Body.Close()
		}
	}()
	c.eventually(func() bool { return len(runsOf(clerk, "/file/")) == 1 })
	leave()
	select {
	case <-left:
	case <-time.After(testWait):
		t.Fatal("the upstream still works for a caller that has left")
	}
}

// A forwarded request must count once against its team's rate, carry no key, and leave the upstream no more time than its caller does.
func TestForwardedRequestIsAdmittedOnce(t *testing.T) {
	clerk := standin.NewReplica("clerk-1", 0)
	c, _ := cutCluster(t, 2, clerk)
	before := c.vms[0].limiter.Admitted()["writers"]
	beforeOther := c.vms[1].limiter.Admitted()["writers"]
	require.Equal(t, http.StatusOK, c.send(c.vms[0], call{method: "POST", path: "/file/1"}).status)
	require.Equal(t, 200.0, c.vms[0].limiter.Admitted()["writers"]-before)
	require.Zero(t, c.vms[1].limiter.Admitted()["writers"]-beforeOther)
	run := runsOf(clerk, "/file/")[0]
	require.Equal(t, "writers", run.Tenant)
	require.Empty(t, run.Header.Get("Authorization"))
	left, err := strconv.Atoi(run.Header.Get("X-Chestnutarch-Deadline-Remaining-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 6000)
	require.Greater(t, left, 5000)
}

// The VM that was handed a filing is told to stop while it runs: it must finish it, as those of its own callers.
func TestVMThatStopsFinishesForwardedRequests(t *testing.T) {
	clerk := standin.NewReplica("clerk-1", 0)
	c, _ := cutCluster(t, 2, clerk)
	clerk.ServiceTime = 700 * time.Millisecond
	done := make(chan answer, 1)
	go func() { done <- c.send(c.vms[0], call{method: "POST", path: "/file/1"}) }()
	c.eventually(func() bool { return len(runsOf(clerk, "/file/")) == 1 })
	c.vms[1].stop()
	require.Equal(t, http.StatusOK, (<-done).status)
}

// Two of three VMs are cut: requests go to the third one, not in a circle. Once all are cut, callers are told that nothing was run.
func TestForwardedRequestsAreNotForwardedAgain(t *testing.T) {
	clerk := standin.NewReplica("clerk-1", 0)
	c, paths := cutCluster(t, 3, clerk)
	c.cutOff(c.vms[1], paths[1])
	for i := range 20 {
		require.Equal(t, http.StatusOK, c.send(c.vms[i%2], call{method: "POST", path: fmt.Sprint("/file/", i)}).status)
	}
	require.Len(t, runsOf(clerk, "/file/"), 20)
	c.cutOff(c.vms[2], paths[2])
	for i := range 6 {
		got := c.send(c.vms[i%3], call{method: "POST", path: fmt.Sprint("/file/", 100+i)})
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
	}
	require.Len(t, runsOf(clerk, "/file/"), 20)
}

// New connections to upstreams are refused while kept ones live on: requests that find no kept connection must be served too.
func TestRequestsAreForwardedWhileOnlyKeptConnectionsWork(t *testing.T) {
	clerk := standin.NewReplica("clerk-1", 0)
	c := newCluster(t, clerk)
	path := newUpstreamPath()
	first := c.startAs(vmSpec{name: "a", domain: "a", upstreams: path})
	c.start("b")
	c.eventually(func() bool { return len(first.fleet.meshPartners()) == 1 })
	require.Equal(t, http.StatusOK, c.send(first, call{method: "POST", path: "/file/0"}).status)
	path.refuseNew()
	clerk.ServiceTime = 300 * time.Millisecond
	done := make(chan answer, 8)
	for i := range cap(done) {
		go func() { done <- c.send(first, call{method: "POST", path: fmt.Sprint("/file/", i)}) }()
	}
	for range cap(done) {
		require.Equal(t, http.StatusOK, (<-done).status)
	}
	require.Len(t, runsOf(clerk, "/file/"), 1+cap(done))
}

// Requests that reach their deadlines at another VM must not break others that this VM has handed to it.
func TestForwardedRequestsSurviveTheDeadlinesOfOthers(t *testing.T) {
	clerk := standin.NewReplica("clerk-1", 0)
	clerk.ServiceTime = 900 * time.Millisecond
	c, _ := cutCluster(t, 2, clerk)
	long := make(chan answer, 1)
	go func() { long <- c.send(c.vms[0], call{method: "POST", path: "/file/long"}) }()
	c.eventually(func() bool { return len(runsOf(clerk, "/file/long")) == 1 })
	for range 3 {
		short := call{method: "POST", path: "/file/short", header: map[string]string{"X-Chestnutarch-Deadline-Remaining-Ms": "150"}}
		require.Equal(t, http.StatusGatewayTimeout, c.send(c.vms[0], short).status)
	}
	require.Equal(t, http.StatusOK, (<-long).status)
}

// A response that is larger than a message between VMs must arrive whole.
func TestLargeResponseToAForwardedRequestIsWhole(t *testing.T) {
	clerk := standin.NewReplica("clerk-1", 0)
	c, _ := cutCluster(t, 2, clerk)
	body := strings.Repeat("0123456789", 300_000)
	clerk.SetFail(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Chestnutarch-Attempt-Id", r.Header.Get("X-Chestnutarch-Attempt-Id"))
		w.Header().Set("X-Chestnutarch-Response-Signature", "sig")
		_, _ = w.Write([]byte(body))
	})
	got := c.send(c.vms[0], call{method: "POST", path: "/file/"})
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, body, got.body)
}

// unconnectedClient is that of a VM that accepts connections and does not answer on them, since it stands still.
type unconnectedClient struct{ peerpb.VMsClient }

func (unconnectedClient) Forward(ctx context.Context, _ ...grpc.CallOption) (grpc.BidiStreamingClient[peerpb.ForwardRequest, peerpb.ForwardResponse], error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A request is offered to a VM that stands still: the next VM must be offered it while its caller still waits.
func TestConnectingToAVMCountsAsPartOfAnOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began, h := time.Now(), &handover{}
		require.Error(t, h.run(ctx, unconnectedClient{}, "clerk", nil))
		require.False(t, h.handedOver)
		require.Equal(t, offerTimeout, time.Since(began))
	})
}
