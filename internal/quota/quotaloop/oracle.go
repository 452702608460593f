package quotaloop

import (
	"fmt"
	"math/bits"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/quota"
)

// Ideal is the single bucket that the whole fleet should be like. Run over the
// merged admissions of all VMs it checks in one pass that in every interval no
// more than burst + rate x length was admitted: the balance falls below zero
// exactly if some interval that ends now has exceeded it.
type Ideal struct {
	rate, burst int64
	level       int64
	at          time.Duration
}

// NewIdeal returns a full bucket. The rate is in tokens a second.
func NewIdeal(rate, burst int64) *Ideal {
	return &Ideal{rate: rate, burst: burst, level: burst * quota.NanoPerToken}
}

func (b *Ideal) advance(now time.Duration) {
	hi, accrued := bits.Mul64(uint64(b.rate), uint64(now-b.at))
	b.at = now
	room := b.burst*quota.NanoPerToken - b.level
	if hi > 0 || accrued > uint64(room) {
		b.level += room
		return
	}
	b.level += int64(accrued)
}

// Reshape changes rate and burst.
func (b *Ideal) Reshape(now time.Duration, rate, burst int64) {
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst*quota.NanoPerToken)
}

// Charge notes tokens that were admitted and returns an error if they exceed
// the bound.
func (b *Ideal) Charge(now time.Duration, tokens int64) error {
	b.advance(now)
	b.level -= tokens * quota.NanoPerToken
	if b.level < 0 {
		return &OverAdmission{At: now, Nano: -b.level}
	}
	return nil
}

// Refund notes tokens that went back.
func (b *Ideal) Refund(now time.Duration, tokens int64) {
	b.advance(now)
	b.level = min(b.level+tokens*quota.NanoPerToken, b.burst*quota.NanoPerToken)
}

// Take charges the tokens if the bucket has them.
func (b *Ideal) Take(now time.Duration, tokens int64) bool {
	b.advance(now)
	if b.level < tokens*quota.NanoPerToken {
		return false
	}
	b.level -= tokens * quota.NanoPerToken
	return true
}

// OverAdmission says that the fleet admitted more than burst + rate x length.
type OverAdmission struct {
	// At is the time since the start of the run.
	At time.Duration
	// Nano is by how many nano-tokens.
	Nano int64
}

// Error returns the message.
func (e *OverAdmission) Error() string {
	return fmt.Sprintf("quotaloop: %d nano-tokens over the bound at %s", e.Nano, e.At)
}
