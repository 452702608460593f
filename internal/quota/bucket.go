package quota

import "time"

// Bucket is a token bucket whose balance may be negative: a request that used more
// than it was charged leaves a debt, which later refill pays off.
type Bucket struct {
	rate      int64
	depth     int64
	level     int64
	updatedAt time.Duration
}

// NewBucket returns a bucket with an initial balance, level. The rate is in
// nano-tokens per second, the depth and the level are in nano-tokens, and now is
// the time since any fixed origin.
func NewBucket(now time.Duration, rate, depth, level int64) *Bucket {
	return &Bucket{rate: rate, depth: depth, level: level, updatedAt: now}
}

// Level returns the balance in nano-tokens at time now.
func (b *Bucket) Level(now time.Duration) int64 {
	b.advance(now)
	return b.level
}

// Take charges an amount in nano-tokens if the balance covers it, and reports
// whether it did.
func (b *Bucket) Take(now time.Duration, amount int64) bool {
	b.advance(now)
	if amount > b.level {
		return false
	}
	b.level -= amount
	return true
}

// Adjust adds a refund in nano-tokens, or a debt if the amount is negative. The
// balance never exceeds the depth.
func (b *Bucket) Adjust(now time.Duration, amount int64) {
	b.advance(now)
	b.level = min(b.level+amount, b.depth)
}

// Reshape changes the rate and the depth, and clips the balance to the new depth.
func (b *Bucket) Reshape(now time.Duration, rate, depth int64) {
	b.advance(now)
	b.rate, b.depth = rate, depth
	b.level = min(b.level, depth)
}

// Wait returns the time until the balance covers an amount in nano-tokens, and
// false if it never will at the present rate and depth.
func (b *Bucket) Wait(now time.Duration, amount int64) (time.Duration, bool) {
	b.advance(now)
	if amount <= b.level {
		return 0, true
	}
	if amount > b.depth || b.rate == 0 {
		return 0, false
	}
	return time.Duration(mulDiv(amount-b.level, int64(time.Second), b.rate) + 1), true
}

// advance adds the tokens accrued since the last call. Rounding down loses less
// than a nano-token in each call and never adds one.
func (b *Bucket) advance(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	accrued := mulDiv(b.rate, int64(now-b.updatedAt), int64(time.Second))
	b.updatedAt = now
	b.level += min(accrued, max(b.depth-b.level, 0))
}

// skipAccrual moves the bucket to time now without accruing tokens for the time
// since the last call.
func (b *Bucket) skipAccrual(now time.Duration) {
	b.updatedAt = max(b.updatedAt, now)
}
