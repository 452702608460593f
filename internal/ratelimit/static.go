package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/quota"
)

// Static gives each of a fixed number of VMs an equal part of every team's rate
// and burst. It is strict and needs nobody, but it cuts the burst in pieces: a
// request larger than one part is never admitted, and demand that comes to one
// VM gets one part. It is the baseline that the leases are measured against.
type Static struct {
	parts int64
	clock func() time.Duration
	mu    sync.Mutex
	teams map[string]*staticTeam
}

type staticTeam struct {
	limit  Limit
	bucket *quota.Bucket
}

// NewStatic returns a limiter without teams for one of a number of VMs. The
// clock returns the time since any fixed origin; nil takes the monotonic clock.
func NewStatic(parts int, clock func() time.Duration) *Static {
	if clock == nil {
		start := time.Now()
		clock = func() time.Duration { return time.Since(start) }
	}
	return &Static{parts: int64(max(parts, 1)), clock: clock, teams: make(map[string]*staticTeam)}
}

// SetLimits puts the limits in force. Balances of known teams are kept and
// clipped. The version is not looked at.
func (s *Static) SetLimits(_ int64, limits []Limit) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*staticTeam, len(limits))
	for _, limit := range limits {
		rate, depth := limit.Rate*quota.NanoPerToken/s.parts, limit.Burst*quota.NanoPerToken/s.parts
		team, known := s.teams[limit.Team]
		if known {
			team.limit = limit
			team.bucket.Reshape(now, rate, depth)
		} else {
			// What the process spent before a restart is not known, so the balance
			// starts empty. If it started full, every restart would hand out the
			// burst once more.
			team = &staticTeam{limit: limit, bucket: quota.NewBucket(now, rate, depth, 0)}
		}
		next[limit.Team] = team
	}
	s.teams = next
}

// Acquire charges this VM's part of the team's bucket. It never waits.
func (s *Static) Acquire(_ context.Context, name string, tokens int64) (*Grant, error) {
	if tokens < 0 {
		return nil, ErrInvalidTokens
	}
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	team, ok := s.teams[name]
	if !ok {
		return nil, ErrUnknownTeam
	}
	if tokens > team.limit.Burst {
		return nil, ErrLargerThanBurst
	}
	amount := tokens * quota.NanoPerToken
	if !team.bucket.Take(now, amount) {
		wait, _ := team.bucket.Wait(now, amount)
		return nil, &LimitedError{Team: name, RetryAfter: wait, Cause: CausePartShort}
	}
	return &Grant{Team: name, Tokens: tokens, settle: func(difference int64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		team.bucket.Adjust(s.clock(), difference*quota.NanoPerToken)
	}}, nil
}
