package quotaloop

import (
	"fmt"
	"math/bits"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/quota"
)

// IdealBucket is a single token bucket for the whole fleet, the ideal that the leases
// approximate. Run over the merged admissions of all VMs, it checks in one pass that
// no interval admitted more than burst + rate x length: the balance falls below zero
// exactly if some interval that ends now exceeds that bound.
type IdealBucket struct {
	rate, burst int64
	balance     int64
	at          time.Duration
}

// NewIdealBucket returns a full bucket. The rate is in tokens per second, the burst
// in tokens.
func NewIdealBucket(rate, burst int64) *IdealBucket {
	return &IdealBucket{rate: rate, burst: burst, balance: burst * quota.NanoPerToken}
}

func (b *IdealBucket) advance(now time.Duration) {
	hi, accrued := bits.Mul64(uint64(b.rate), uint64(now-b.at))
	b.at = now
	room := b.burst*quota.NanoPerToken - b.balance
	if hi > 0 || accrued > uint64(room) {
		b.balance += room
		return
	}
	b.balance += int64(accrued)
}

// Reshape changes rate and burst and clips the balance to the new burst.
func (b *IdealBucket) Reshape(now time.Duration, rate, burst int64) {
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.balance = min(b.balance, burst*quota.NanoPerToken)
}

// Charge charges tokens that the fleet admitted. It returns an *OverAdmission if they
// exceed the bound.
func (b *IdealBucket) Charge(now time.Duration, tokens int64) error {
	b.advance(now)
	b.balance -= tokens * quota.NanoPerToken
	if b.balance < 0 {
		return &OverAdmission{At: now, NanoTokens: -b.balance}
	}
	return nil
}

// Refund adds refunded tokens. The balance never exceeds the burst.
func (b *IdealBucket) Refund(now time.Duration, tokens int64) {
	b.advance(now)
	b.balance = min(b.balance+tokens*quota.NanoPerToken, b.burst*quota.NanoPerToken)
}

// Take charges the tokens if the balance covers them, and reports whether it did.
func (b *IdealBucket) Take(now time.Duration, tokens int64) bool {
	b.advance(now)
	if b.balance < tokens*quota.NanoPerToken {
		return false
	}
	b.balance -= tokens * quota.NanoPerToken
	return true
}

// OverAdmission reports that the fleet admitted more than burst + rate x length in
// some interval.
type OverAdmission struct {
	// At is the time of the violation since the start of the run.
	At time.Duration
	// NanoTokens is the excess over the bound in nano-tokens.
	NanoTokens int64
}

// Error implements error.
func (e *OverAdmission) Error() string {
	return fmt.Sprintf("quotaloop: admissions exceed burst + rate x length by %d nano-tokens at %s", e.NanoTokens, e.At)
}
