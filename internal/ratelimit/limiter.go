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
	// burst and will never be admitted.
	ErrLargerThanBurst = errors.New("ratelimit: request larger than the team's burst")
	// ErrUnknownTeam means that no limit is in force for the team.
	ErrUnknownTeam = errors.New("ratelimit: unknown team")
	// ErrInvalidTokens means that the number of tokens is negative.
	ErrInvalidTokens = errors.New("ratelimit: negative number of tokens")
)

// Cause says why a request was refused although it is not larger than the burst.
type Cause string

// The causes of a refusal. Only CauseOverRate is the team's own doing.
const (
	// CauseOverRate means that the team used up its rate and burst.
	CauseOverRate Cause = "over_rate"
	// CausePartShort means that this VM's part is used up. The team may have
	// tokens left at other VMs that did not come in time.
	CausePartShort Cause = "part_short"
	// CauseNoAuthority means that this VM may not admit at present: it has just
	// started, was paused, or could renew its lease with nobody.
	CauseNoAuthority Cause = "no_authority"
)

// LimitedError refuses a request that was not run.
type LimitedError struct {
	// Team is the team's name.
	Team string
	// RetryAfter is an estimate of when the request would be admitted.
	RetryAfter time.Duration
	// Cause says why.
	Cause Cause
}

// Error returns the message.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("ratelimit: team %s limited: %s, retry after %s", e.Team, e.Cause, e.RetryAfter)
}

// Limit is what a team may use over all VMs together.
type Limit struct {
	// Team is the team's name.
	Team string
	// Rate is in tokens per second.
	Rate int64
	// Burst is in tokens.
	Burst int64
}

// Limiter admits requests. It is safe for concurrent use.
type Limiter interface {
	// Acquire charges the tokens to the team. It returns a *LimitedError,
	// ErrLargerThanBurst, ErrUnknownTeam or ErrInvalidTokens if the request may
	// not run, or the context's error if it ended first; nothing is charged then.
	Acquire(ctx context.Context, team string, tokens int64) (*Grant, error)
	// SetLimits puts the limits of a configuration in force.
	SetLimits(version int64, limits []Limit)
}

// Grant is an admitted request's charge.
type Grant struct {
	// Team is the team that was charged.
	Team string
	// Tokens is what was charged.
	Tokens int64

	once   sync.Once
	settle func(difference int64)
}

// Settle says how many tokens the request used in truth. What it did not use
// goes back to the team, what it used beyond the charge becomes a debt. Only
// the first call counts.
func (g *Grant) Settle(used int64) {
	g.once.Do(func() { g.settle(g.Tokens - used) })
}
