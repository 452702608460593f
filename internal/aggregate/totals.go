package aggregate

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/changelog"
	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// Source is one process of a VM. Its incarnation is its start, in nanoseconds since 1970.
type Source struct {
	VM          string
	Incarnation int64
}

// Totals holds what each source has counted since its start, by name. A source's totals never
// decrease, so the larger of two is the newer one: totals that arrive late, twice, out of order or
// through several VMs are counted once, and a total that is lost is made up for by the next one. It is
// not safe for concurrent use.
type Totals struct {
	version *Version
	own     Source
	started time.Time
	sources map[Source]*sourceTotals
	changes [scopeCount]*changelog.Log[totalKey]
}

type sourceTotals struct {
	// scope is the narrowest scope in which the source was reported.
	scope       topology.Scope
	lastChanged time.Time
	totals      map[string]float64
}

type totalKey struct {
	source Source
	name   string
}

const (
	// joinPeriod is the time after its start in which a VM receives the totals of the others for the
	// first time. What these counted before it started is not counted here.
	joinPeriod = 10 * time.Second
	// startSpread is how much earlier than this VM another one may have started and still count from
	// zero: VMs start together, and their clocks differ.
	startSpread = 3 * time.Second
	// totalsRetention is how long the totals of a process that has ended are kept. All VMs must have
	// received them by then.
	totalsRetention = time.Minute
)

// NewTotals returns empty totals of a VM that starts now. Changes are numbered by version.
func NewTotals(own Source, version *Version, now time.Time) *Totals {
	t := &Totals{version: version, own: own, started: now, sources: make(map[Source]*sourceTotals)}
	for scope := range t.changes {
		t.changes[scope] = changelog.New[totalKey]()
	}
	return t
}

// SetOwn sets what this VM has counted since its start. Names that are missing have not changed.
func (t *Totals) SetOwn(totals map[string]float64, now time.Time) {
	t.merge(t.own, topology.ScopeOwn, totals, now)
}

// Merge merges the totals of another VM and adds to increase what they hold beyond what was known.
// follows is set if that VM itself reports them and follows this one. complete is set if they are part
// of a report that holds all totals.
func (t *Totals) Merge(source Source, follows, complete bool, totals map[string]float64, increase map[string]float64, now time.Time) {
	if source == t.own {
		return
	}
	countsBefore := !complete || now.Sub(t.started) > joinPeriod || source.Incarnation > t.own.Incarnation-int64(startSpread)
	known := t.sources[source]
	for name, total := range totals {
		before, ok := 0.0, false
		if known != nil {
			before, ok = known.totals[name]
		}
		if total > before && (ok || countsBefore) {
			increase[name] += total - before
		}
	}
	t.merge(source, narrowestScope(follows), totals, now)
}

func (t *Totals) merge(source Source, scope topology.Scope, totals map[string]float64, now time.Time) {
	s := t.sources[source]
	if s == nil {
		s = &sourceTotals{scope: scope, totals: make(map[string]float64)}
		t.sources[source] = s
	}
	if scope < s.scope {
		s.scope = scope
		for name := range s.totals {
			t.recordChange(source, s.scope, name)
		}
	}
	for name, total := range totals {
		if total > s.totals[name] {
			s.totals[name], s.lastChanged = total, now
			t.recordChange(source, s.scope, name)
		}
	}
}

func (t *Totals) recordChange(source Source, from topology.Scope, name string) {
	number := t.version.Next()
	for scope := from; scope < scopeCount; scope++ {
		t.changes[scope].Record(totalKey{source, name}, number)
	}
}

// Since returns the totals of the sources that a scope covers and that have changed since a version
// number, without those of one VM. With number 0 it returns all.
func (t *Totals) Since(scope topology.Scope, number uint64, excludedVM string) map[Source]map[string]float64 {
	out := make(map[Source]map[string]float64)
	t.changes[scope].Since(number, func(key totalKey, _ uint64) bool {
		if key.source.VM == excludedVM {
			return true
		}
		if out[key.source] == nil {
			out[key.source] = make(map[string]float64)
		}
		out[key.source][key.name] = t.sources[key.source].totals[key.name]
		return true
	})
	return out
}

// RemoveUnknown removes the totals of processes of VMs for which known returns false, once they have not
// changed for totalsRetention.
func (t *Totals) RemoveUnknown(known func(Source) bool, now time.Time) {
	for source, s := range t.sources {
		if source == t.own || now.Sub(s.lastChanged) <= totalsRetention || known(source) {
			continue
		}
		for name := range s.totals {
			for _, changes := range t.changes {
				changes.Remove(totalKey{source, name})
			}
		}
		delete(t.sources, source)
	}
}
