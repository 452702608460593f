package vm

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

const (
	testRateLimit = 1.0
	// testLimitWindow is the window in which the platform counts the requests to an upstream that names
	// a rate limit, testLimitTolerance the most that it tolerates there, and testLimitGrace the time
	// from the first naming of a limit until it counts.
	testLimitWindow    = 4 * time.Second
	testLimitTolerance = int(1.5*testRateLimit*4) + 5
	testLimitGrace     = 3 * time.Second
)

// sendSteadily sends idempotent requests through all VMs in turn for a while, and returns the number
// of answers by status.
func (c *cluster) sendSteadily(d, interval time.Duration) map[int]int {
	c.t.Helper()
	statuses := make(map[int]int)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		statuses[c.send(c.vms[n%len(c.vms)], call{method: "GET", path: "/look/"}).status]++
		<-ticker.C
	}
	return statuses
}

// VMs that ignore a rate limit, or that each take it for their own, together send several times as many.
func TestAllVMsTogetherKeepAnUpstreamsRateLimit(t *testing.T) {
	inNeed, other := standin.NewReplica("clerk-1", 0), standin.NewReplica("clerk-2", 0)
	c := newCluster(t, inNeed, other)
	for _, name := range []string{"a", "b", "c"} {
		c.start(name)
	}
	inNeed.NameRateLimit(testRateLimit)
	began := time.Now()
	statuses := c.sendSteadily(testLimitGrace+testLimitWindow+time.Second, 30*time.Millisecond)
	require.Len(t, statuses, 1, "%v", statuses)
	require.Positive(t, statuses[http.StatusOK])
	require.LessOrEqual(t, inNeed.MostRuns(began.Add(testLimitGrace), testLimitWindow), testLimitTolerance)
	require.NotEmpty(t, inNeed.Runs())

	inNeed.EndRateLimit()
	ended := time.Now()
	c.eventually(func() bool {
		c.sendSteadily(time.Second/2, 20*time.Millisecond)
		return inNeed.MostRuns(ended, testLimitWindow) > testLimitTolerance
	})
}

// knowsRateLimit reports whether a VM knows that an upstream names a rate limit.
func (v *testVM) knowsRateLimit() bool { return len(v.assigner.RateLimits().InForce()) > 0 }

// VMs that learn of a limit only from answers to their own requests go on at the usual rate until then.
func TestRateLimitReachesVMsThatSentNothing(t *testing.T) {
	inNeed := standin.NewReplica("clerk-1", 0)
	inNeed.NameRateLimit(testRateLimit)
	c := newCluster(t, inNeed)
	for i := range 14 {
		c.startIn(string(rune('a'+i)), string(rune('a'+i%2)))
	}
	first := c.vms[0]
	c.eventually(func() bool { c.send(first, call{method: "GET", path: "/look/"}); return first.knowsRateLimit() })
	for _, v := range c.vms {
		c.eventually(v.knowsRateLimit)
	}
	inNeed.EndRateLimit()
	c.eventually(func() bool { c.send(first, call{method: "GET", path: "/look/"}); return !first.knowsRateLimit() })
	for _, v := range c.vms {
		c.eventually(func() bool { return !v.knowsRateLimit() })
	}
}

// An upstream in need must stay reachable through every VM, also once the issuer of its permits has stopped.
func TestUpstreamInNeedStaysReachableThroughEveryVM(t *testing.T) {
	inNeed := standin.NewReplica("clerk-1", 0)
	c := newCluster(t, inNeed)
	for _, name := range []string{"a", "b", "c"} {
		c.start(name)
	}
	inNeed.NameRateLimit(2)
	for len(c.vms) > 1 {
		for _, v := range c.vms {
			c.eventually(func() bool {
				return c.sendUntilAccepted(v, call{method: "GET", path: "/look/"}).status == http.StatusOK && v.knowsRateLimit()
			})
		}
		issuer, _ := c.vms[0].fleet.permitIssuer("clerk-1")
		for i, v := range c.vms {
			if v.settings.VM == issuer {
				v.stop()
				c.vms = append(c.vms[:i:i], c.vms[i+1:]...)
				break
			}
		}
	}
	require.Equal(t, http.StatusOK, c.sendUntilAccepted(c.vms[0], call{method: "GET", path: "/look/"}).status)
}

// Two VMs that both issue the permits of an upstream would together send it twice its limit.
func TestOnlyTheIssuerIssuesPermits(t *testing.T) {
	c := newCluster(t, standin.NewReplica("clerk-1", 0))
	a, b := c.start("a"), c.start("b")
	c.eventually(func() bool { return a.fleet.size() == 2 && b.fleet.size() == 2 })
	limit := rateLimitToProto(upstreamrate.Entry{Key: upstreamrate.Key{Instance: "clerk-1", Incarnation: 1}, Limit: upstreamrate.Limit{PerSecond: 100, Revision: 1}})
	issuer, other := a, b
	if name, _ := a.fleet.permitIssuer("clerk-1"); name == b.settings.VM {
		issuer, other = b, a
	}
	ask := func(v *testVM) bool {
		answer, err := (&vmServer{process: v.Process}).Permit(t.Context(), &peerpb.PermitRequest{Limit: limit, Needed: true, Vm: "c"})
		require.NoError(t, err)
		return answer.Granted
	}
	require.False(t, ask(issuer), "a VM that has just started may know only a few of the others")
	c.eventually(func() bool { return ask(issuer) })
	require.False(t, ask(other))
}
