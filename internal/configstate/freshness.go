package configstate

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// DefaultFreshFor is how long a VM continues to accept work after the last read
// of the key-value service that showed its configuration to be up to date.
const DefaultFreshFor = 3 * time.Second

// Freshness limits how long a VM may assume that it would have received a
// withdrawal from the service. It is compared with the current time wherever work
// is admitted or dispatched. A background task that sets a flag would not run
// while the VM is paused, so the first request after the pause would be served
// with an old configuration.
//
// The zero value is never fresh.
type Freshness struct {
	valid bool
	sent  clock.Reading
	limit time.Duration
}

// NewFreshness returns the freshness after a read of the service showed that no
// configuration newer than the one in force here is accepted. It counts from the
// time at which the read was sent: counting from the response would add the time
// in transit, during which a key may have been withdrawn. While Fresh returns
// true, everything that was accepted longer than limit ago is in force.
func NewFreshness(sent clock.Reading, limit time.Duration) Freshness {
	return Freshness{valid: true, sent: sent, limit: limit}
}

// Fresh reports whether the read was sent within the limit before now.
func (f Freshness) Fresh(now clock.Reading) bool {
	return f.valid && clock.Elapsed(f.sent, now) <= f.limit
}
