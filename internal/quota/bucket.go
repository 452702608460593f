package quota

import "time"

// Bucket is a token bucket whose balance may go below zero: a request that
// used more than it was charged leaves a debt that later accrual pays off.
type Bucket struct {
	rate  int64
	depth int64
	level int64
	at    time.Duration
}

// NewBucket returns a bucket with a balance. The rate is in nano-tokens per
// second, the depth and the balance are in nano-tokens, and now is the time
// since any fixed origin.
func NewBucket(now time.Duration, rate, depth, level int64) *Bucket {
	return &Bucket{rate: rate, depth: depth, level: level, at: now}
}

// Level returns the balance in nano-tokens at this time.
func (b *Bucket) Level(now time.Duration) int64 {
	b.advance(now)
	return b.level
}

// Take charges an amount in nano-tokens if the balance covers it.
func (b *Bucket) Take(now time.Duration, amount int64) bool {
	b.advance(now)
	if amount > b.level {
		return false
	}
	b.level -= amount
	return true
}

// Adjust adds a refund, or takes a debt if the amount is negative. The balance
// never exceeds the depth.
func (b *Bucket) Adjust(now time.Duration, amount int64) {
	b.advance(now)
	b.level = min(b.level+amount, b.depth)
}

// Reshape changes rate and depth and clips the balance.
func (b *Bucket) Reshape(now time.Duration, rate, depth int64) {
	b.advance(now)
	b.rate, b.depth = rate, depth
	b.level = min(b.level, depth)
}

// Wait returns how long it takes until the balance covers an amount, and false
// if it never will.
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

// advance adds what accrued since the last call. Rounding down loses less than
// a nano-token each time and never adds one.
func (b *Bucket) advance(now time.Duration) {
	if now <= b.at {
		return
	}
	accrued := mulDiv(b.rate, int64(now-b.at), int64(time.Second))
	b.at = now
	b.level += min(accrued, max(b.depth-b.level, 0))
}

// skip lets the time since the last call pass without accrual.
func (b *Bucket) skip(now time.Duration) {
	b.at = max(b.at, now)
}
