package vm

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// runsByAttempt returns how often replicas ran each attempt.
func runsByAttempt(replicas ...*standin.Replica) map[string]int {
	runs := make(map[string]int)
	for _, r := range replicas {
		for _, run := range r.Runs() {
			runs[run.ID]++
		}
	}
	return runs
}

// Guards against a status that promises callers that their request was not run, of an upstream that may have run it.
func TestStatusThatPromisesIsNotPassedOnAfterARun(t *testing.T) {
	t.Parallel()
	engine, clerk := standin.NewReplica("engine-1", 1, "m0"), standin.NewReplica("clerk-1", 0)
	c, _ := cutCluster(t, 2, engine, clerk)
	chat, file := call{method: "POST", path: "/chat/", model: "m0"}, call{method: "POST", path: "/file/"}
	handing, other := c.vms[0], c.vms[1]
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		for _, size := range []int{0, 100, 200 << 10} {
			for _, signed := range []bool{true, false} {
				engine.SetFail(answerWith(status, size, signed))
				clerk.SetFail(answerWith(status, size, signed))
				for _, got := range []answer{c.send(other, chat), c.send(other, file), c.send(handing, file)} {
					require.Equal(t, http.StatusBadGateway, got.status, "status %d, %d bytes", status, size)
					require.Empty(t, got.header.Get("X-Chestnutarch-Response-Signature"))
					require.Empty(t, got.header.Get("Retry-After"))
				}
			}
		}
	}
	for attempt, runs := range runsByAttempt(engine, clerk) {
		require.Equal(t, 1, runs, attempt)
	}
}

// answerWith answers with a status and a body of some bytes.
func answerWith(status, size int, signed bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if signed {
			w.Header().Set("X-Chestnutarch-Response-Signature", "sig")
		}
		w.WriteHeader(status)
		_, _ = w.Write(make([]byte, size))
	}
}

// Guards against a failure of an idempotent request that is not returned as its upstream gave it, or that none has signed.
func TestFailureOfAnIdempotentRequestIsItsUpstreamsOwn(t *testing.T) {
	t.Parallel()
	clerk := standin.NewReplica("clerk-1", 0)
	c := newCluster(t, clerk)
	v := c.start("a")
	for signature, status := range map[string]int{"sig": http.StatusServiceUnavailable, "": http.StatusBadGateway} {
		clerk.SetFail(answerWith(http.StatusServiceUnavailable, 10, signature != ""))
		got := c.send(v, call{method: "GET", path: "/look/"})
		require.Equal(t, status, got.status)
		require.Equal(t, signature, got.header.Get("X-Chestnutarch-Response-Signature"))
	}
}
