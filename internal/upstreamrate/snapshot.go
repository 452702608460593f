package upstreamrate

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Entry is the limit of one upstream, as VMs tell it each other.
type Entry struct {
	Key
	Limit
	// changedAt is the version of the table at which the limit last changed.
	changedAt uint64
	// confirmedAt is the version at which the limit was last known to be in force.
	confirmedAt uint64
}

// Snapshot is the content of a table. It must not be modified.
type Snapshot struct {
	// Digest is the same for two snapshots only if they hold the same limits. It is zero without limits.
	Digest uint64
	// Version is the version of the table.
	Version uint64
	Entries []Entry
}

// Snapshot returns the limits of the upstreams that are known.
func (t *Table) Snapshot(known func(Key) bool) *Snapshot {
	s := &Snapshot{Version: t.version}
	for k, e := range t.entries {
		if known(k) {
			entry := Entry{Key: k, Limit: e.limit, changedAt: e.changedAt, confirmedAt: e.confirmedAt}
			s.Entries = append(s.Entries, entry)
			s.Digest ^= entry.digest()
		}
	}
	return s
}

// InForce returns the rate limits that have not ended, in requests per second by instance.
func (s *Snapshot) InForce() map[string]float64 {
	out := make(map[string]float64)
	for _, e := range s.Entries {
		if e.Rated() {
			out[e.Instance] = e.PerSecond
		}
	}
	return out
}

// Brittle returns the instances that are brittle, with the number of requests that each may reject in a second.
func (s *Snapshot) Brittle() map[string]int {
	out := make(map[string]int)
	for _, e := range s.Entries {
		if e.Brittle && !e.Ended {
			out[e.Instance] = e.MaxRejections
		}
	}
	return out
}

// Unconfirmed returns the instances that count as brittle although another one of their service has ceased to be since they
// last said so.
func (s *Snapshot) Unconfirmed(serviceOf func(instance string) string) map[string]bool {
	endedAt := make(map[string]uint64)
	for _, e := range s.Entries {
		if e.Ended {
			service := serviceOf(e.Instance)
			endedAt[service] = max(endedAt[service], e.changedAt)
		}
	}
	out := make(map[string]bool)
	for _, e := range s.Entries {
		if e.Brittle && !e.Ended && e.confirmedAt < endedAt[serviceOf(e.Instance)] {
			out[e.Instance] = true
		}
	}
	return out
}

// Since returns the entries that have changed since a version of the table, or all if none has.
func (s *Snapshot) Since(version uint64) []Entry {
	var changed []Entry
	for _, e := range s.Entries {
		if e.changedAt > version {
			changed = append(changed, e)
		}
	}
	if len(changed) == 0 {
		return s.Entries
	}
	return changed
}

func (e *Entry) digest() uint64 {
	b := append([]byte(e.Instance), 0)
	b = binary.LittleEndian.AppendUint64(b, uint64(e.Incarnation))
	b = binary.LittleEndian.AppendUint64(b, e.Revision)
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(e.PerSecond))
	if e.Ended {
		b = append(b, 1)
	}
	if e.Brittle {
		b = binary.LittleEndian.AppendUint64(append(b, 2), uint64(e.MaxRejections))
	}
	return xxhash.Sum64(b)
}
