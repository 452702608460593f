package vm

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// heldFor returns how long a request waits for news.
func heldFor(s *stalls, ctx context.Context) time.Duration {
	began := time.Now()
	s.awaitNews(ctx)
	return time.Since(began)
}

// A VM without processor time for seconds has an old table of upstreams and requests that wait to be sent.
func TestRequestsWaitForNewsAfterAStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStalls(3*time.Second, zerolog.Nop())
		s.recordRunning(time.Now())
		time.Sleep(time.Second)
		require.Zero(t, heldFor(s, t.Context()), "a second is no stall")

		began := time.Now()
		time.Sleep(2 * time.Second)
		time.AfterFunc(100*time.Millisecond, func() { s.recordNews(s.asOf(began, time.Now())) })
		time.AfterFunc(200*time.Millisecond, func() { s.recordNews(s.asOf(time.Now(), time.Now())) })
		require.Equal(t, 200*time.Millisecond, heldFor(s, t.Context()), "a call from before the stall is no news")
		require.Zero(t, heldFor(s, t.Context()))
	})
}

// The store and the hubs may be away after a stall; callers must not wait for them for long.
func TestRequestsDoNotWaitForNewsThatDoesNotCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStalls(3*time.Second, zerolog.Nop())
		s.recordRunning(time.Now())
		time.Sleep(2 * time.Second)
		require.Equal(t, maxStallHold, heldFor(s, t.Context()))
		require.Zero(t, heldFor(s, t.Context()), "only the time after the stall counts")

		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		require.Equal(t, 50*time.Millisecond, heldFor(s, ctx), "the caller has left")
	})
}

// An answer that lay in the socket while the process stood still is as old as the stall.
func TestAnswerThatWaitedForTheProcessIsAsOldAsItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStalls(3*time.Second, zerolog.Nop())
		s.recordRunning(time.Now())
		began := time.Now()
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, time.Now(), s.asOf(began, time.Now()))
		time.Sleep(2 * time.Second)
		require.Equal(t, began, s.asOf(began, time.Now()))
	})
}
