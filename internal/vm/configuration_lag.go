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
	// applied and newest are the store revisions of the configuration in force here, and of
	// the newest one in force at any VM.
	applied, newest int64
	// behindSince is when this VM began to lack the newest one.
	behindSince time.Time
}

// recordPeerRevision records the revision of the configuration in force at another VM.
func (l *configurationLag) recordPeerRevision(revision int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.applied >= l.newest && revision > l.applied {
		l.behindSince = now
	}
	l.newest = max(l.newest, revision)
}

// apply records the revision of the configuration now in force here. If changes follow each
// other quickly and a newer one is already known, the lag starts again from now.
func (l *configurationLag) apply(revision int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applied, l.behindSince = revision, now
}

// behind returns for how long this VM has lacked a configuration that others have; zero if it
// has the newest one known to it.
func (l *configurationLag) behind(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.applied >= l.newest {
		return 0
	}
	return max(now.Sub(l.behindSince), time.Nanosecond)
}
