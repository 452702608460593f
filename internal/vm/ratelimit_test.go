package vm

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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

// An upstream in need names the requests per second that it takes from all VMs together. VMs that do not
// know of it, or that each take the limit for their own, send it several times as many.
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
