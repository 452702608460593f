package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// authority is a VM's right to use its slots. It lasts for a fixed time after
// the sending of the last confirmed renewal. Counted from the answer instead, it
// would outlive what the others wait for by the time that the answer was held
// up, and the same slots would be used twice.
type authority struct {
	term time.Duration
	// maxSilence bounds how far promises carry it beyond the last renewal that
	// the key-value service confirmed.
	maxSilence time.Duration

	held     bool
	sent     clock.Reading
	recorded clock.Reading
}

// renewByRecord counts a confirmed write of the own record.
func (a *authority) renewByRecord(sent clock.Reading) {
	if !a.held || sent.Mono >= a.recorded.Mono {
		a.recorded = sent
	}
	a.renew(sent)
}

// renewByPromise counts a witness's promise. It changes nothing before the first
// confirmed record.
func (a *authority) renewByPromise(sent clock.Reading) {
	if a.held && clock.Elapsed(a.recorded, sent) < a.maxSilence {
		a.renew(sent)
	}
}

func (a *authority) renew(sent clock.Reading) {
	if a.held && sent.Mono < a.sent.Mono {
		return
	}
	a.held = true
	a.sent = sent
}

// remaining returns how long the authority lasts, zero if it has ended.
func (a *authority) remaining(now clock.Reading) time.Duration {
	if !a.held {
		return 0
	}
	return max(a.term-clock.Elapsed(a.sent, now), 0)
}

func (a *authority) live(now clock.Reading) bool {
	return a.remaining(now) > 0
}

// drop ends the authority at once.
func (a *authority) drop() {
	a.held = false
}
