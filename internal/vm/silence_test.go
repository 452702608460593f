package vm

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// The only upstream of a service falls silent for a second and goes on: its callers were rejected from 0.4 s on.
func TestCallersOfAnOnlyUpstreamThatIsSilentForASecondAreServed(t *testing.T) {
	c := newCluster(t, standin.NewReplica("clerk-0", 0))
	var silence sync.RWMutex
	server := c.servers["clerk-0"].Config
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		silence.RLock()
		defer silence.RUnlock()
		handler.ServeHTTP(w, r)
	})
	v := c.start("a")
	statuses := make(chan int, 30)
	for i := range cap(statuses) {
		if i == 10 {
			silence.Lock()
			time.AfterFunc(time.Second, silence.Unlock)
		}
		go func() { statuses <- c.send(v, call{method: "GET", path: "/look/"}).status }()
		time.Sleep(100 * time.Millisecond)
	}
	for range cap(statuses) {
		require.Equal(t, http.StatusOK, <-statuses)
	}
}
