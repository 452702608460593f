package configsync

import (
	"sync/atomic"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/configstate"
)

// Tally counts the requests of one VM since the document in force came into force.
// The counts are this VM's part of the evidence for a promotion. Counting never
// blocks.
type Tally struct {
	clock   clock.Func
	current atomic.Pointer[counters]
}

type counters struct {
	environment string
	version     int64
	digest      string
	since       clock.Reading
	requests    atomic.Int64
	attained    atomic.Int64
	failed      atomic.Int64
}

// NewTally returns a tally for the configuration that a syncer puts in force. It has
// to be created before the syncer's Run.
func NewTally(s *Syncer) *Tally {
	t := &Tally{clock: s.options.Clock}
	t.current.Store(new(counters))
	s.OnChange(t.handleSnapshot)
	return t
}

// handleSnapshot resets the counters if the document changed. A withdrawal creates
// a new version with the same document and does not reset them.
func (t *Tally) handleSnapshot(s *configstate.Snapshot) {
	if t.current.Load().digest == s.Digest {
		return
	}
	t.current.Store(&counters{environment: s.Document.Environment, version: s.Version, digest: s.Digest, since: t.clock()})
}

// RecordRequest counts a finished request. attained means that it stayed within the
// latency objectives.
func (t *Tally) RecordRequest(attained, failed bool) {
	c := t.current.Load()
	c.requests.Add(1)
	if attained {
		c.attained.Add(1)
	}
	if failed {
		c.failed.Add(1)
	}
}

// Evidence returns the counts for the document in force.
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
		e.InForceMS = timeInForce(c.since, t.clock()).Milliseconds()
	}
	return e
}

// timeInForce returns the elapsed time by the clock on which less has passed,
// because a document yields no evidence while the VM is paused.
func timeInForce(since, now clock.Reading) time.Duration {
	return max(0, min(now.Mono-since.Mono, now.Wall.Sub(since.Wall)))
}
