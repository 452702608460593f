package configstate

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// DefaultFreshFor is how long a VM goes on after it last heard the service or
// enough of its peers.
const DefaultFreshFor = 3 * time.Second

// Freshness says until when a VM may believe that it would have heard of a
// withdrawal. It is a value that is compared with the present time wherever
// work is admitted or dispatched. A background task that raises a flag would
// itself stand still while the VM is paused, and the first request after the
// pause would be served by an old configuration.
//
// The zero value is never fresh.
type Freshness struct {
	service  clock.Reading
	majority clock.Reading
	heard    bool
	enough   bool
	alone    bool
	limit    time.Duration
}

// Heard is what the freshness of a VM is judged by.
type Heard struct {
	// Service is when the last read of the service that was answered had been
	// sent. Counting from the answer would add the time on the way.
	Service clock.Reading
	// ServiceKnown is false if no read was ever answered.
	ServiceKnown bool
	// Peers are the times at which other VMs were last heard.
	Peers []clock.Reading
	// Known is the number of VMs that were last known, this one included. It
	// has to count the peers of the settings that were never heard.
	Known int
}

// NewFreshness sums up what was heard at a moment.
func NewFreshness(h Heard, now clock.Reading, limit time.Duration) Freshness {
	f := Freshness{service: h.Service, heard: h.ServiceKnown, limit: limit}
	// More than half of Known, counting this VM, which hears itself.
	needed := h.Known / 2
	switch {
	case h.Known == 1:
		// The only VM hears all VMs: an operator's push reaches it or fails.
		f.alone = true
		return f
	case h.Known < 1 || len(h.Peers) < needed:
		return f
	}
	f.enough = true
	f.majority = oldestOf(h.Peers, needed, now)
	return f
}

// oldestOf returns a reading at or before each of the n most recent ones, on
// both clocks. As time passes all of them age alike, so one reading stands for
// all n.
func oldestOf(readings []clock.Reading, n int, now clock.Reading) clock.Reading {
	recent := slices.Clone(readings)
	slices.SortFunc(recent, func(a, b clock.Reading) int {
		return cmp.Compare(clock.Elapsed(a, now), clock.Elapsed(b, now))
	})
	oldest := recent[0]
	for _, r := range recent[1:n] {
		oldest.Mono = min(oldest.Mono, r.Mono)
		if r.Wall.Before(oldest.Wall) {
			oldest.Wall = r.Wall
		}
	}
	return oldest
}

// Fresh reports whether the VM may take new work now.
func (f Freshness) Fresh(now clock.Reading) bool {
	if f.heard && clock.Elapsed(f.service, now) <= f.limit {
		return true
	}
	if f.alone {
		return true
	}
	return f.enough && clock.Elapsed(f.majority, now) <= f.limit
}
