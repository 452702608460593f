package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// authority is a VM's time-limited right to use its slots. It expires a fixed term
// after the last confirmed renewal was sent. If the term ran from the answer, a
// delayed answer would extend the authority beyond the time that other VMs wait
// for, and the same slots would be used twice.
type authority struct {
	term time.Duration
	// maxSilence bounds how long after the last renewal that the key-value service
	// confirmed a witness's promise may still renew the authority.
	maxSilence time.Duration

	held       bool
	sent       clock.Reading
	recordSent clock.Reading
}

// renewByRecord renews the authority after a confirmed write of the VM's own record.
func (a *authority) renewByRecord(sent clock.Reading) {
	if !a.held || sent.Mono >= a.recordSent.Mono {
		a.recordSent = sent
	}
	a.renew(sent)
}

// renewByPromise renews the authority after a witness's promise. It has no effect
// before the first confirmed write of the record, or maxSilence after the last one.
func (a *authority) renewByPromise(sent clock.Reading) {
	if a.held && clock.Elapsed(a.recordSent, sent) < a.maxSilence {
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

// remaining returns the time until the authority expires, zero if it has expired.
func (a *authority) remaining(now clock.Reading) time.Duration {
	if !a.held {
		return 0
	}
	return max(a.term-clock.Elapsed(a.sent, now), 0)
}

func (a *authority) live(now clock.Reading) bool {
	return a.remaining(now) > 0
}

// drop ends the authority immediately.
func (a *authority) drop() {
	a.held = false
}
