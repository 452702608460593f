package concurrency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	eight = Upstream{Slots: 8, MaxRejections: 1}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func ask(number uint64, maxWait time.Duration) Ask {
	return Ask{Permit: Permit{VM: "a", Incarnation: 1, Number: number}, MaxWait: maxWait, TimeLeft: time.Minute}
}

// fill takes all permits of an upstream, with the numbers from 1 on.
func fill(t *testing.T, l *Limiter, u Upstream) {
	for n := range u.Slots {
		o, _ := l.Take(ask(uint64(n+1), 0), u, start)
		require.Equal(t, Granted, o)
	}
}

// VMs that each send a request too many push an upstream over whose waiting room has shrunk.
func TestNoMorePermitsThanSlots(t *testing.T) {
	l := NewLimiter()
	fill(t, l, eight)
	o, retryAfter := l.Take(ask(9, 0), eight, start)
	require.Equal(t, Denied, o)
	require.Positive(t, retryAfter)
	require.Empty(t, l.Release(ask(1, 0).Permit, false, start))
	o, _ = l.Take(ask(10, 0), eight, start)
	require.Equal(t, Granted, o)
	require.Equal(t, 8, l.InFlight())
}

// A request that is the last to come must not overtake those that wait.
func TestWaitingRequestsGetPermitsInTheirOrder(t *testing.T) {
	l := NewLimiter()
	fill(t, l, eight)
	for n := uint64(9); n < 12; n++ {
		o, _ := l.Take(ask(n, time.Second), eight, start)
		require.Equal(t, Waiting, o)
	}
	require.True(t, l.Cancel(ask(10, 0).Permit))
	require.Equal(t, []Permit{ask(9, 0).Permit}, l.Release(ask(1, 0).Permit, false, at(time.Millisecond)))
	require.Equal(t, []Permit{ask(11, 0).Permit}, l.Release(ask(2, 0).Permit, false, at(time.Millisecond)))
	require.True(t, l.Holds(ask(11, 0).Permit))
	require.False(t, l.Holds(ask(10, 0).Permit))
}

// A caller that cannot get a permit in time must be told at once, and when one may be available.
func TestRequestThatWouldWaitTooLongIsDeniedAtOnce(t *testing.T) {
	l := NewLimiter()
	fill(t, l, eight)
	l.hold = 400 * time.Millisecond
	o, _ := l.Take(ask(9, 60*time.Millisecond), eight, start)
	require.Equal(t, Waiting, o)
	o, retryAfter := l.Take(ask(10, 60*time.Millisecond), eight, start)
	require.Equal(t, Denied, o)
	require.Equal(t, 100*time.Millisecond, retryAfter)
}

// An upstream rejects a request although it should have room. Others that are on their way must not push it over.
func TestRejectionLowersTheLimitForATime(t *testing.T) {
	l := NewLimiter()
	fill(t, l, eight)
	require.Empty(t, l.Release(ask(8, 0).Permit, true, start))
	require.Empty(t, l.Release(ask(7, 0).Permit, false, start))
	o, _ := l.Take(ask(9, 0), eight, at(rejectionWindow-1))
	require.Equal(t, Denied, o)
	o, _ = l.Take(ask(10, 0), eight, at(rejectionWindow))
	require.Equal(t, Granted, o)
	require.Equal(t, 7, l.InFlight())
	o, _ = l.Take(ask(11, 0), eight, at(rejectionWindow+time.Millisecond))
	require.Equal(t, Granted, o, "the limit is raised again, by one")
	o, _ = l.Take(ask(12, 0), eight, at(rejectionWindow+time.Millisecond))
	require.Equal(t, Denied, o)
	many := eight
	many.MaxRejections = 20
	l = NewLimiter()
	fill(t, l, many)
	l.Release(ask(8, 0).Permit, true, start)
	l.Release(ask(7, 0).Permit, false, start)
	o, _ = l.Take(ask(9, 0), many, start)
	require.Equal(t, Granted, o, "one rejection of twenty is no reason to pause")
}

// A VM that issues permits in place of another one does not know which that has issued.
func TestNewIssuerCountsWhatItsPredecessorIssued(t *testing.T) {
	l, u := NewLimiter(), Upstream{Slots: 8, MaxRejections: 1, InFlight: 6, KnownFor: time.Minute}
	o, _ := l.Take(ask(1, 0), u, start)
	require.Equal(t, Denied, o, "reports do not show the last permits yet")
	now := at(settleTime)
	for n, want := range []Outcome{Granted, Granted, Denied} {
		o, _ = l.Take(ask(uint64(2+n), 0), u, now)
		require.Equal(t, want, o)
	}
	now = now.Add(reportLag)
	u.InFlight = 3 // Two of them with permits of this issuer.
	l.Take(ask(5, 0), u, now.Add(-idleTime))
	require.Equal(t, 6, l.InFlight(), "reports may not show the permits of this issuer yet")
	o, _ = l.Take(ask(6, 0), u, now)
	require.Equal(t, Granted, o)
	require.Equal(t, 4, l.InFlight())
}

// A service has just become brittle, and its upstreams run what was sent before.
func TestRequestsSentWithoutAPermitCount(t *testing.T) {
	l, u := NewLimiter(), Upstream{Slots: 8, MaxRejections: 1, InFlight: 7}
	o, _ := l.Take(ask(1, 0), u, start)
	require.Equal(t, Granted, o)
	o, _ = l.Take(ask(2, 0), u, start)
	require.Equal(t, Denied, o)
}

// Permits that are never given back make an upstream unreachable.
func TestPermitsOfLostProcessesAreReleased(t *testing.T) {
	l := NewLimiter()
	fill(t, l, eight)
	l.Retain(func(vm string, incarnation int64) bool { return vm == "a" && incarnation == 1 })
	require.Equal(t, 8, l.InFlight())
	l.Retain(func(vm string, incarnation int64) bool { return incarnation == 2 })
	require.Zero(t, l.InFlight())
	l.Take(Ask{Permit: ask(1, 0).Permit, TimeLeft: time.Second}, eight, start)
	l.Advance(at(time.Second))
	require.Zero(t, l.InFlight())
}
