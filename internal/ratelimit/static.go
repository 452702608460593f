package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/quota"
)

// Static is the Limiter that gives each of a fixed number of VMs an equal part of
// every team's rate and burst. It never exceeds the limits and needs no
// coordination, but it divides the burst: a request larger than one part is never
// admitted (Acquire answers it with CausePartShort and a RetryAfter of 0), and demand
// that arrives at a single VM is limited to one part. It is the baseline that Leases
// is measured against.
type Static struct {
	vms   int64
	clock func() time.Duration
	mu    sync.Mutex
	teams map[string]*staticTeam
}

type staticTeam struct {
	limit  Limit
	bucket *quota.Bucket
}

// NewStatic returns a limiter without teams for one VM out of vms VMs. The clock
// returns the time since any fixed origin. A nil clock selects the monotonic clock.
func NewStatic(vms int, clock func() time.Duration) *Static {
	if clock == nil {
		start := time.Now()
		clock = func() time.Duration { return time.Since(start) }
	}
	return &Static{vms: int64(max(vms, 1)), clock: clock, teams: make(map[string]*staticTeam)}
}

// SetLimits implements Limiter. It keeps the balances of the teams that already
// have a limit, clipped to the new depth, and ignores the version.
func (s *Static) SetLimits(_ int64, limits []Limit) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*staticTeam, len(limits))
	for _, limit := range limits {
		rate, depth := limit.Rate*quota.NanoPerToken/s.vms, limit.Burst*quota.NanoPerToken/s.vms
		team, known := s.teams[limit.Team]
		if known {
			team.limit = limit
			team.bucket.Reshape(now, rate, depth)
		} else {
			// The balance starts empty, because the tokens that the process charged
			// before a restart are unknown. If it started full, every restart would
			// grant the burst once more.
			team = &staticTeam{limit: limit, bucket: quota.NewBucket(now, rate, depth, 0)}
		}
		next[limit.Team] = team
	}
	s.teams = next
}

// Acquire implements Limiter. It charges this VM's part of the team's bucket and
// never waits.
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
