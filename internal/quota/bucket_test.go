package quota

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBucket(t *testing.T) {
	const rate, depth = 10 * NanoPerToken, 20 * NanoPerToken
	b := NewBucket(0, rate, depth, depth)
	require.True(t, b.Take(0, depth))
	require.False(t, b.Take(0, 1))
	wait, possible := b.Wait(0, 5*NanoPerToken)
	require.True(t, possible)
	require.False(t, b.Take(wait-2, 5*NanoPerToken))
	require.True(t, b.Take(wait, 5*NanoPerToken))
	_, possible = b.Wait(wait, depth+1)
	require.False(t, possible, "the balance never covers more than the depth")
	b.Adjust(wait, -30*NanoPerToken)
	require.Negative(t, b.Level(wait+time.Second), "a debt of 30 tokens takes more than one second to pay off")
	require.Equal(t, depth, b.Level(time.Hour))
	b.Reshape(time.Hour, rate, depth/2)
	require.Equal(t, depth/2, b.Level(time.Hour))
	b.Adjust(time.Hour, depth)
	require.Equal(t, depth/2, b.Level(time.Hour), "a refund must not raise the balance above the depth")
}

func TestMulDivDoesNotOverflow(t *testing.T) {
	require.Equal(t, int64(math.MaxInt64), mulDiv(math.MaxInt64, math.MaxInt64, 1))
	require.Equal(t, int64(math.MaxInt64), mulDiv(math.MaxInt64, 7, 7))
	require.Equal(t, int64(2), mulDiv(8, 1, 3))
}
