package vm

import (
	"sync"
	"time"
)

// newerConfiguration is what this VM has heard of configurations that it does not have yet.
// While it lacks one it cannot tell an unknown route or key from one that was added.
type newerConfiguration struct {
	mu sync.Mutex
	// revision is the store's of the newest one that another VM has in force, since is
	// when this VM began to be behind; zero if it is not.
	revision int64
	since    time.Time
}

// heard notes that another VM has a configuration in force that is newer than own.
func (n *newerConfiguration) heard(revision int64, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.revision = max(n.revision, revision)
	if n.since.IsZero() {
		n.since = now
	}
}

// applied notes that this VM has a configuration in force. While changes follow each other
// quickly a newer one may be known already, for no longer than since now.
func (n *newerConfiguration) applied(revision int64, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.since.IsZero() {
		return
	}
	n.since = now
	if revision >= n.revision {
		n.since = time.Time{}
	}
}

// behind returns for how long this VM has lacked a configuration that others have; zero if
// it has the newest one that it knows of.
func (n *newerConfiguration) behind(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.since.IsZero() {
		return 0
	}
	return max(now.Sub(n.since), time.Nanosecond)
}
