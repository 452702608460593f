package configstate

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// DefaultFreshFor is how long a VM goes on after it last heard the service.
const DefaultFreshFor = 3 * time.Second

// Freshness says until when a VM may believe that it would have heard of a
// withdrawal from the service. It is a value that is compared with the present
// time wherever work is admitted or dispatched. A background task that raises a
// flag would itself stand still while the VM is paused, and the first request
// after the pause would be served by an old configuration.
//
// The zero value is never fresh.
type Freshness struct {
	heard bool
	at    clock.Reading
	limit time.Duration
}

// UpToDate returns the freshness after a read of the service showed that nothing
// newer is accepted than what is in force here. It counts from when the read was
// sent: counting from the answer would add the time on the way, in which a key
// may have been withdrawn. While Fresh holds, whatever was accepted longer than
// the limit ago is in force.
func UpToDate(sent clock.Reading, limit time.Duration) Freshness {
	return Freshness{heard: true, at: sent, limit: limit}
}

// Fresh reports whether the service was heard within the limit.
func (f Freshness) Fresh(now clock.Reading) bool {
	return f.heard && clock.Elapsed(f.at, now) <= f.limit
}
