package caller

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const filingsPath = "/services/filings"

// A caller sends an action, gets no answer and sends it again, to another VM. The
// service must run it once, and the retry must get the first answer.
func TestKeyedActionIsAnsweredOnce(t *testing.T) {
	u := newUpstream(t)
	f := newFleet(t, 2, 64, u.URL)
	first := f.call(t, 0, "POST", filingsPath, "key-one", "filing", HeaderIdempotencyKey, "k")
	require.Equal(t, "receipt for filing", first.body)
	for vm := range 2 {
		again := f.call(t, vm, "POST", filingsPath, "key-one", "filing", HeaderIdempotencyKey, "k")
		require.Equal(t, first.body, again.body)
		require.Equal(t, "true", again.header.Get(HeaderReplayed))
	}
	other := f.call(t, 1, "POST", filingsPath, "key-one", "another filing", HeaderIdempotencyKey, "k")
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, 1, u.count("filing"))
	require.Zero(t, u.count("another filing"))
}

// All VMs receive the same action with the same key concurrently. It must run once.
func TestConcurrentKeyedActionsRunOnce(t *testing.T) {
	u := newUpstream(t)
	f := newFleet(t, 3, 64, u.URL)
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			a := f.call(t, i%3, "POST", filingsPath, "key-one", "filing", HeaderIdempotencyKey, "k")
			if a.status != http.StatusOK {
				require.Equal(t, TypeActionInProgress, a.problem(t).Type)
			}
		})
	}
	wg.Wait()
	require.Equal(t, 1, u.count("filing"))
}

// The service runs an action and closes the connection before it answers. The outcome
// is unknown, and no retry with the same key may run the action again.
func TestActionWithoutAnswerIsNeverRunAgain(t *testing.T) {
	u := newUpstream(t)
	u.drop = true
	f := newFleet(t, 2, 64, u.URL, u.URL)
	a := f.call(t, 0, "POST", filingsPath, "key-one", "deposit", HeaderIdempotencyKey, "k")
	require.Equal(t, Unknown, a.problem(t).Outcome)
	u.update(func() { u.drop = false })
	for vm := range 2 {
		a = f.call(t, vm, "POST", filingsPath, "key-one", "deposit", HeaderIdempotencyKey, "k")
		require.Equal(t, TypeOutcomeUnknown, a.problem(t).Type)
	}
	a = f.call(t, 0, "POST", filingsPath, "key-one", "unkeyed")
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, 1, u.count("deposit"))
}

// One replica is down. The call is sent to the other one, since no byte of it can have
// reached the first. With all replicas down, the call is reported as not run, so that the
// caller can retry it with the same key.
func TestUnreachableReplicaIsSkipped(t *testing.T) {
	dead, alive := newUpstream(t), newUpstream(t)
	dead.Close()
	f := newFleet(t, 1, 64, dead.URL, alive.URL)
	for range 6 {
		a := f.call(t, 0, "POST", filingsPath, "key-one", "filing")
		require.Equal(t, http.StatusOK, a.status, a.body)
	}
	require.Equal(t, 6, alive.count("filing"))
	g := newFleet(t, 1, 64, dead.URL)
	a := g.call(t, 0, "POST", filingsPath, "key-one", "filing", HeaderIdempotencyKey, "k")
	require.Equal(t, NotRun, a.problem(t).Outcome)
}

// A caller puts its key into the query as well. The query is forwarded to the service,
// which must never see a key.
func TestKeyInTheQueryIsRefused(t *testing.T) {
	u := newUpstream(t)
	f := newFleet(t, 1, 64, u.URL)
	a := f.call(t, 0, "POST", filingsPath+"?key=key-one", "key-one", "filing")
	require.Equal(t, TypeMalformed, a.problem(t).Type)
	require.Zero(t, u.count("filing"))
}
