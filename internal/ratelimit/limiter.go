package ratelimit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrLargerThanBurst means that the request is larger than the team's whole
	// burst and can never be admitted.
	ErrLargerThanBurst = errors.New("ratelimit: request larger than the team's burst")
	// ErrUnknownTeam means that no limit is in force for the team.
	ErrUnknownTeam = errors.New("ratelimit: unknown team")
	// ErrInvalidTokens means that the number of tokens is negative.
	ErrInvalidTokens = errors.New("ratelimit: negative number of tokens")
)

// Cause is the reason why a request that does not exceed the burst was refused.
type Cause string

// The causes of a refusal. Only CauseOverRate results from the team's own demand.
const (
	// CauseOverRate means that the team has used up its rate and burst.
	CauseOverRate Cause = "over_rate"
	// CausePartShort means that this VM's share of the limit is used up. The team
	// may have tokens left at other VMs that could not be borrowed in time.
	CausePartShort Cause = "part_short"
	// CauseNoAuthority means that this VM may not admit requests at present: it has
	// just started, was paused, or could not renew its lease with the key-value
	// service or a witness.
	CauseNoAuthority Cause = "no_authority"
)

// LimitedError reports that a request was refused and not run.
type LimitedError struct {
	// Team is the team's name.
	Team string
	// RetryAfter estimates how long it takes until the request would be admitted.
	RetryAfter time.Duration
	// Cause is the reason for the refusal.
	Cause Cause
}

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("ratelimit: team %s limited: %s, retry after %s", e.Team, e.Cause, e.RetryAfter)
}

// Limit is a team's limit over all VMs together.
type Limit struct {
	// Team is the team's name.
	Team string
	// Rate is in tokens per second.
	Rate int64
	// Burst is in tokens.
	Burst int64
}

// Limiter admits requests within their team's limit. It is safe for concurrent
// use.
type Limiter interface {
	// Acquire charges the tokens to the team. If the request may not run it returns
	// a *LimitedError, ErrLargerThanBurst, ErrUnknownTeam or ErrInvalidTokens. If
	// the context ends first it returns the context's error. Nothing is charged
	// when an error is returned.
	Acquire(ctx context.Context, team string, tokens int64) (*Grant, error)
	// SetLimits applies the limits of a configuration version.
	SetLimits(version int64, limits []Limit)
}

// Grant is the charge of an admitted request.
type Grant struct {
	// Team is the team that was charged.
	Team string
	// Tokens is the number of tokens charged.
	Tokens int64

	once   sync.Once
	settle func(difference int64)
}

// Settle corrects the charge to the number of tokens that the request actually
// used. Unused tokens are refunded to the team; usage beyond the charge becomes a
// debt. Only the first call has an effect.
func (g *Grant) Settle(used int64) {
	g.once.Do(func() { g.settle(g.Tokens - used) })
}
