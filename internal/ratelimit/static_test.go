package ratelimit

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStatic(t *testing.T) {
	var now time.Duration
	s := NewStatic(4, func() time.Duration { return now })
	s.SetLimits(1, []Limit{{Team: "a", Rate: 40, Burst: 400}})
	ctx := context.Background()

	_, err := s.Acquire(ctx, "b", 1)
	require.ErrorIs(t, err, ErrUnknownTeam)
	_, err = s.Acquire(ctx, "a", 401)
	require.ErrorIs(t, err, ErrLargerThanBurst)
	var limited *LimitedError
	_, err = s.Acquire(ctx, "a", 10)
	require.ErrorAs(t, err, &limited, "a new team's balance must start empty")

	now = time.Hour
	g, err := s.Acquire(ctx, "a", 100)
	require.NoError(t, err)
	_, err = s.Acquire(ctx, "a", 50)
	require.ErrorAs(t, err, &limited)
	require.Equal(t, 5*time.Second, limited.RetryAfter.Round(time.Second))
	g.Settle(50)
	g.Settle(0)
	_, err = s.Acquire(ctx, "a", 50)
	require.NoError(t, err, "Settle must refund the 50 unused tokens")
	_, err = s.Acquire(ctx, "a", 1)
	require.ErrorAs(t, err, &limited, "only the first Settle may refund tokens")
}
