package vm

import (
	"sync"
	"time"
)

// configurationLag tracks whether other VMs have a newer configuration in force than this
// one. While it lags, this VM cannot tell an unknown route or key from one that was just
// added.
type configurationLag struct {
	mu sync.Mutex
	// applied is the configuration in force here, newest the newest one in force at any VM.
	applied, newest configurationOrder
	// behindSince is when this VM began to lack the newest one.
	behindSince time.Time
}

// recordPeer records the configuration in force at another VM.
func (l *configurationLag) recordPeer(order configurationOrder, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.newest.newerThan(l.applied) && order.newerThan(l.applied) {
		l.behindSince = now
	}
	if order.newerThan(l.newest) {
		l.newest = order
	}
}

// apply records the configuration now in force here. If changes follow each
// other quickly and a newer one is already known, the lag starts again from now.
func (l *configurationLag) apply(order configurationOrder, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applied, l.behindSince = order, now
}

// behind returns for how long this VM has lacked a configuration that others have; zero if it
// has the newest one known to it.
func (l *configurationLag) behind(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.newest.newerThan(l.applied) {
		return 0
	}
	return max(now.Sub(l.behindSince), time.Nanosecond)
}
