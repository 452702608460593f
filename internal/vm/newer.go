package vm

import (
	"sync"
	"time"
)

// newerConfiguration is what this VM has heard of configurations that it does not have yet.
// While it lacks one it cannot tell an unknown route or key from one that was added.
type newerConfiguration struct {
	mu sync.Mutex
	// own and newest are the store's revisions of the configuration in force here, and of
	// the newest one that is in force at any VM.
	own, newest int64
	// since is when this VM began to lack the newest one.
	since time.Time
}

// heard notes that another VM has a configuration in force.
func (n *newerConfiguration) heard(revision int64, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.own >= n.newest && revision > n.own {
		n.since = now
	}
	n.newest = max(n.newest, revision)
}

// applied notes that this VM has a configuration in force. While changes follow each other
// quickly a newer one may be known already, for no longer than since now.
func (n *newerConfiguration) applied(revision int64, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.own, n.since = revision, now
}

// behind returns for how long this VM has lacked a configuration that others have; zero if
// it has the newest one that it knows of.
func (n *newerConfiguration) behind(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.own >= n.newest {
		return 0
	}
	return max(now.Sub(n.since), time.Nanosecond)
}
