package quota

import (
	"math/bits"
	"time"
)

// NanoPerToken is the number of nano-tokens in a token. Balances are kept in
// nano-tokens, so that each step of integer arithmetic loses less than one.
const NanoPerToken int64 = int64(time.Second)

// MaxTokens is the largest burst, in tokens, whose balance in nano-tokens fits an
// int64.
const MaxTokens = 4_000_000_000

// mulDiv returns a*b/c rounded down, without overflow in the product. A result
// that exceeds the largest int64 is clamped to it. No argument may be negative, and
// c must be positive.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	if hi >= uint64(c) {
		return 1<<63 - 1
	}
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(min(q, 1<<63-1))
}
