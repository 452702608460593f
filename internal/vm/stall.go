package vm

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// stallDivisor divides the time for which a draining instance may still get requests, which gives the
	// shortest time without running that counts as a stall. The rest is for learning of departures.
	stallDivisor = 3
	// stallTick is how often the process records that it runs.
	stallTick = 100 * time.Millisecond
	// maxStallHold is how long after a stall requests wait for news of the upstreams at most. The store and
	// the hubs may be away.
	maxStallHold = 700 * time.Millisecond
)

// stalls tells when this process stood still, because its VM was frozen or had no processor time for it. What
// it knows of upstreams is older by that time, without any sign of it in the calls that it makes.
type stalls struct {
	// limit is the shortest time without running that counts as a stall.
	limit time.Duration
	log   zerolog.Logger

	mu sync.Mutex
	// ranAt is when the process was last known to run.
	ranAt time.Time
	// resumedAt is when the last stall ended. news is closed once the entries are known as of a later time.
	resumedAt time.Time
	news      chan struct{}
}

func newStalls(draining time.Duration, log zerolog.Logger) *stalls {
	news := make(chan struct{})
	close(news)
	return &stalls{limit: draining / stallDivisor, log: log, news: news}
}

// run records that the process runs until ctx ends.
func (s *stalls) run(ctx context.Context) error {
	for ctx.Err() == nil {
		s.recordRunning(time.Now())
		sleep(ctx, stallTick)
	}
	return nil
}

// recordRunning records that the process runs now. It returns a channel that is closed once there is news since
// the last stall, and when that stall ended.
func (s *stalls) recordRunning(now time.Time) (news <-chan struct{}, resumedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stood := now.Sub(s.ranAt)
	if !s.ranAt.IsZero() && stood > s.limit {
		s.log.Warn().Str("event", "stalled").Dur("stood_ms", stood).Send()
		s.resumedAt = now
		if !s.waiting() {
			s.news = make(chan struct{})
		}
	}
	s.ranAt = now
	return s.news, s.resumedAt
}

// waiting reports whether there is no news since the last stall. It must be called with the lock held.
func (s *stalls) waiting() bool {
	select {
	case <-s.news:
		return false
	default:
		return true
	}
}

// pending reports whether there is no news since the last stall.
func (s *stalls) pending() bool {
	s.recordRunning(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting()
}

// stoodSince reports whether the process has stood still since a time.
func (s *stalls) stoodSince(began time.Time) bool {
	_, resumedAt := s.recordRunning(time.Now())
	return resumedAt.After(began)
}

// asOf returns the time as of which an answer is known to be current that ends now and whose call began at a
// time: if the process stood still meanwhile, the answer may have waited for it.
func (s *stalls) asOf(began, now time.Time) time.Time {
	if s.stoodSince(began) {
		return began
	}
	return now
}

// recordNews records that the entries are known as they were at a time.
func (s *stalls) recordNews(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting() && !at.Before(s.resumedAt) {
		close(s.news)
	}
}

// awaitNews returns once there is news of the upstreams since the last stall, at once if there was none lately.
// It returns after maxStallHold at the latest, or when ctx ends.
func (s *stalls) awaitNews(ctx context.Context) {
	now := time.Now()
	news, resumedAt := s.recordRunning(now)
	left := maxStallHold - now.Sub(resumedAt)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	case <-ctx.Done():
	}
}
