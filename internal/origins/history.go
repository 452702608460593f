package origins

import (
	"sync"
	"time"
)

// History remembers which software versions have left a service, to tell whether one version has served alone for so
// long that every stream which callers may still resume began there. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	startAt time.Time
	// leftAt holds, by service and version, when an upstream of the version was last known that is gone.
	leftAt map[string]map[string]time.Time
}

// NewHistory returns the history of a VM that knows of no upstream before now.
func NewHistory(now time.Time) *History {
	return &History{startAt: now, leftAt: make(map[string]map[string]time.Time)}
}

// Restart records that versions may have come and gone unseen until now.
func (h *History) Restart(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startAt = now
}

// RecordLeft records that an upstream is gone.
func (h *History) RecordLeft(service, version string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leftAt[service] == nil {
		h.leftAt[service] = make(map[string]time.Time)
	}
	h.leftAt[service][version] = now
}

// ServedAlone reports whether a version, which is that of all upstreams of a service, has served alone for Lifetime.
func (h *History) ServedAlone(service, version string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for other, at := range h.leftAt[service] {
		if other != version && now.Sub(at) < Lifetime {
			return false
		}
	}
	return version != "" && now.Sub(h.startAt) >= Lifetime
}
