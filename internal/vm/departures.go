package vm

import (
	"strconv"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

const (
	// departureLifetime is how long an incarnation that left is remembered: longer
	// than an instance serves after it has left.
	departureLifetime = 30 * time.Second
	// revivingWrites is how many new entries make an incarnation that was gone count
	// again. A single one may be a heartbeat that was held up; a living instance
	// writes on.
	revivingWrites = 2
)

// departures remembers incarnations that were seen draining or gone. A draining one
// never comes back. One whose entry was removed may only have been cut off from the
// store, and counts again once it writes on.
type departures struct {
	mu   sync.Mutex
	seen map[string]*departure
}

type departure struct {
	at       time.Time
	draining bool
	// writes counts the entries seen since, the newest with this revision.
	writes   int
	revision int64
}

func newDepartures() *departures { return &departures{seen: make(map[string]*departure)} }

func incarnationOf(i *upstream.Instance) string {
	return i.ID + "@" + strconv.FormatInt(i.Born, 10) + "@" + i.Address
}

// left notes that an incarnation is draining or gone.
func (d *departures) left(name string, draining bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.seen[name]; old != nil {
		old.draining = old.draining || draining
		return
	}
	d.seen[name] = &departure{at: now, draining: draining}
	for n, e := range d.seen {
		if now.Sub(e.at) > departureLifetime {
			delete(d.seen, n)
		}
	}
}

// barred reports whether an incarnation must get no work although its entry says
// that it is ready. away says that the store was away just now, so that leases may
// have lapsed of instances that live.
func (d *departures) barred(name string, revision int64, away bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.seen[name]
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
	if away || e.writes >= revivingWrites {
		delete(d.seen, name)
		return false
	}
	return true
}

// names returns the incarnations that get no work.
func (d *departures) names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]string, 0, len(d.seen))
	for n := range d.seen {
		out = append(out, n)
	}
	return out
}
