package vm

import (
	"strconv"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

const (
	// departureRetention is how long an incarnation that left is remembered: longer than an
	// instance goes on serving after it has left.
	departureRetention = 30 * time.Second
	// minWritesToReadmit is the number of new entries after which an incarnation that was
	// gone is used again. A single one may be a delayed heartbeat; a live instance keeps
	// writing.
	minWritesToReadmit = 2
)

// departures remembers incarnations that were seen draining or gone. A draining one never
// comes back. One whose entry was removed may only have been cut off from the store, and is
// used again once it keeps writing.
type departures struct {
	mu            sync.Mutex
	byIncarnation map[string]*departure
}

type departure struct {
	recorded time.Time
	draining bool
	// writes is the number of entries seen since the departure, revision that of the newest
	// one.
	writes   int
	revision int64
}

func newDepartures() *departures { return &departures{byIncarnation: make(map[string]*departure)} }

func incarnationOf(i *upstream.Instance) string {
	return i.ID + "@" + strconv.FormatInt(i.Incarnation, 10) + "@" + i.Address
}

// record notes that an incarnation is draining or gone.
func (d *departures) record(name string, draining bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.byIncarnation[name]; old != nil {
		old.draining = old.draining || draining
		return
	}
	d.byIncarnation[name] = &departure{recorded: now, draining: draining}
	for n, e := range d.byIncarnation {
		if now.Sub(e.recorded) > departureRetention {
			delete(d.byIncarnation, n)
		}
	}
}

// excluded reports whether an incarnation must get no work although its entry says that it is
// ready. storeDown says that the store was unavailable a moment ago, so that leases of live
// instances may have lapsed.
func (d *departures) excluded(name string, revision int64, storeDown bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.byIncarnation[name]
	if e == nil {
		return false
	}
	if e.draining {
		return true
	}
	if revision != e.revision {
		e.revision = revision
		e.writes++
	}
	if storeDown || e.writes >= minWritesToReadmit {
		delete(d.byIncarnation, name)
		return false
	}
	return true
}

// names returns the incarnations that are remembered as draining or gone.
func (d *departures) names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]string, 0, len(d.byIncarnation))
	for n := range d.byIncarnation {
		out = append(out, n)
	}
	return out
}
