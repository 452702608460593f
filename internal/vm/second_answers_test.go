package vm

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// requireSentOnce sends requests that may run once, and checks that each runs as its caller was told.
func (c *cluster) requireSentOnce(v *testVM, q call, prepare func(), replicas ...*standin.Replica) {
	c.t.Helper()
	served := 0
	for n := range 6 {
		attempt := "once-" + strconv.Itoa(n)
		prepare()
		q.header = map[string]string{"X-Chestnutarch-Attempt-Id": attempt}
		got := c.send(v, q)
		runs := runsByAttempt(replicas...)[attempt]
		require.LessOrEqual(c.t, runs, 1, "request %d ran again", n)
		if promises(got.status) {
			require.Zero(c.t, runs, "request %d was answered %d and has run", n, got.status)
		}
		if got.status == http.StatusOK {
			require.Equal(c.t, 1, runs)
			served++
		}
	}
	require.Positive(c.t, served)
}

// promises reports whether a status tells callers that their request was not run.
func promises(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

func rejected(_ *http.Request, status int) bool { return promises(status) }

// Guards against a rejection that comes twice, and is taken for the answer to the same request that was sent again.
func TestSecondRejectionIsNotTakenForTheAnswerToTheNextSend(t *testing.T) {
	t.Parallel()
	engine := standin.NewReplica("engine-1", 1, "m0")
	engine.RepeatAnswers(rejected)
	c := newCluster(t, engine)
	v := c.start("a")
	c.requireSentOnce(v, call{method: "POST", path: "/chat/", model: "m0"}, func() { engine.ShedLoad(20 * time.Millisecond) }, engine)
	require.NotEmpty(t, engine.ShedRequests())
}

// Guards against the same where an engine did not hold an adapter, which the leader then brings to it.
func TestSecondMisdirectionIsNotTakenForTheAnswerToTheNextSend(t *testing.T) {
	t.Parallel()
	engine := standin.NewReplica("engine-1", 1, "m0")
	engine.RepeatAnswers(rejected)
	c := newCluster(t, engine)
	v := c.start("a")
	c.waitLeader()
	misdirected := 0
	engine.Reject = func(r *http.Request) int {
		if misdirected++; misdirected%2 == 1 {
			return http.StatusMisdirectedRequest
		}
		return 0
	}
	c.requireSentOnce(v, call{method: "POST", path: "/chat/", model: "m0/a1"}, func() {}, engine)
	require.Greater(t, misdirected, 1)
}

// Guards against the same at a VM that was handed the request.
func TestSecondRejectionOfAForwardedRequestIsNotTakenForTheNextAnswer(t *testing.T) {
	t.Parallel()
	clerk := standin.NewReplica("clerk-1", 0)
	clerk.RepeatAnswers(rejected)
	c, _ := cutCluster(t, 2, clerk)
	c.requireSentOnce(c.vms[0], call{method: "POST", path: "/file/"}, func() { clerk.ShedLoad(20 * time.Millisecond) }, clerk)
	require.NotEmpty(t, clerk.ShedRequests())
}

// Guards against a request that is given up because a second answer to an earlier one comes in the place of its own.
func TestSecondAnswersToOthersCostNoRequest(t *testing.T) {
	t.Parallel()
	clerk := standin.NewReplica("clerk-1", 0)
	clerk.RepeatAnswers(func(*http.Request, int) bool { return true })
	c := newCluster(t, clerk)
	v := c.start("a")
	for range 20 {
		got := c.send(v, call{method: "POST", path: "/file/"})
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "done by clerk-1", got.body)
	}
	for attempt, runs := range runsByAttempt(clerk) {
		require.Equal(t, 1, runs, attempt)
	}
	require.Positive(t, clerk.RepeatedAnswers())
}
