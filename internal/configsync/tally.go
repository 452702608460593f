package configsync

import (
	"sync/atomic"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/configstate"
)

// Tally counts one VM's requests since the document in force came into force. It
// is this VM's part of the evidence for a promotion. Counting never waits.
type Tally struct {
	clock   clock.Func
	current atomic.Pointer[tally]
}

type tally struct {
	environment string
	version     int64
	digest      string
	since       clock.Reading
	requests    atomic.Int64
	attained    atomic.Int64
	failed      atomic.Int64
}

// NewTally returns a tally that follows a keeper. It has to be made before the
// keeper runs.
func NewTally(k *Keeper) *Tally {
	t := &Tally{clock: k.options.Clock}
	t.current.Store(new(tally))
	k.OnChange(t.follow)
	return t
}

// follow starts anew with another document. A withdrawal makes a new version of
// the same one and changes nothing that is judged.
func (t *Tally) follow(s *configstate.Snapshot) {
	if t.current.Load().digest == s.Digest {
		return
	}
	t.current.Store(&tally{environment: s.Document.Environment, version: s.Version, digest: s.Digest, since: t.clock()})
}

// Request counts a request that has ended: whether it stayed within the latency
// objectives and whether it failed.
func (t *Tally) Request(attained, failed bool) {
	c := t.current.Load()
	c.requests.Add(1)
	if attained {
		c.attained.Add(1)
	}
	if failed {
		c.failed.Add(1)
	}
}

// Evidence returns what was counted.
func (t *Tally) Evidence() configstate.Evidence {
	c := t.current.Load()
	e := configstate.Evidence{
		Environment: c.environment,
		Digest:      c.digest,
		Version:     c.version,
		Requests:    c.requests.Load(),
		Attained:    c.attained.Load(),
		Failed:      c.failed.Load(),
		ObservedAt:  t.clock().Wall,
	}
	if c.digest != "" {
		e.InForceMS = inForce(c.since, t.clock()).Milliseconds()
	}
	return e
}

// inForce counts by the clock on which less has passed: a pause is no time in
// which a document proved itself.
func inForce(since, now clock.Reading) time.Duration {
	return max(0, min(now.Mono-since.Mono, now.Wall.Sub(since.Wall)))
}
