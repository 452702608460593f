package quota

import (
	"math/bits"
	"time"
)

// NanoPerToken is the number of nano-tokens in a token. Balances are counted in
// nano-tokens, so that integer arithmetic loses less than one of them in a step.
const NanoPerToken int64 = int64(time.Second)

// MaxTokens is the largest burst whose balance fits the arithmetic.
const MaxTokens = 4_000_000_000

// mulDiv returns a*b/c rounded down, without overflow on the way, and the
// largest int64 if the result is larger. All arguments must not be negative
// and c must be positive.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	if hi >= uint64(c) {
		return 1<<63 - 1
	}
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(min(q, 1<<63-1))
}
