package aggregate

import (
	"maps"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// Levels sums current values of VMs, such as work in flight. It is not safe for concurrent
// use.
type Levels[V Value[V]] struct {
	lifetime time.Duration
	sums     sums[V]
	own      map[string]V
	sources  map[string]*levelSource[V]
}

type levelSource[V any] struct {
	follows      bool
	lastReportAt time.Time
	values       map[string]V
}

// NewLevels returns empty levels. A source's values count for lifetime after its last
// report. Changes are numbered by version.
func NewLevels[V Value[V]](lifetime time.Duration, version *Version) *Levels[V] {
	return &Levels[V]{lifetime: lifetime, sums: newSums[V](version), own: make(map[string]V), sources: make(map[string]*levelSource[V])}
}

// SetOwn replaces this VM's levels by values, which hold all that are not zero.
func (l *Levels[V]) SetOwn(values map[string]V) {
	l.replace(topology.ScopeOwn, l.own, values)
	l.sums.prune()
}

// replace sets a source's levels to values and removes those that values does not hold.
func (l *Levels[V]) replace(scope topology.Scope, held, values map[string]V) {
	for name := range held {
		if _, ok := values[name]; !ok {
			l.set(scope, held, name, *new(V))
		}
	}
	for name, v := range values {
		l.set(scope, held, name, v)
	}
}

func (l *Levels[V]) set(scope topology.Scope, held map[string]V, name string, v V) {
	l.sums.add(scope, name, v.Sub(held[name]))
	if v.IsZero() {
		delete(held, name)
		return
	}
	held[name] = v
}

// Record records a VM's levels: all of them if complete, else those that have changed. It
// returns false if only changes are given and the VM has no levels here, because it is new
// or has not reported for longer than the lifetime.
func (l *Levels[V]) Record(vm string, follows, complete bool, changed map[string]V, now time.Time) bool {
	l.expire(now)
	s := l.sources[vm]
	if s == nil && !complete {
		return false
	}
	if s == nil {
		s = &levelSource[V]{follows: follows, values: make(map[string]V)}
		l.sources[vm] = s
	}
	s.lastReportAt = now
	if s.follows != follows {
		l.replace(narrowestScope(s.follows), s.values, nil)
		s.follows = follows
		if !complete {
			delete(l.sources, vm)
			return false
		}
	}
	if complete {
		l.replace(narrowestScope(s.follows), s.values, changed)
		return true
	}
	for name, v := range changed {
		l.set(narrowestScope(s.follows), s.values, name, v)
	}
	return true
}

// expire drops the levels of VMs that have not reported for longer than the lifetime.
func (l *Levels[V]) expire(now time.Time) {
	for vm, s := range l.sources {
		if now.Sub(s.lastReportAt) > l.lifetime {
			l.replace(narrowestScope(s.follows), s.values, nil)
			delete(l.sources, vm)
		}
	}
}

// Of returns a copy of the levels of a VM, nil if it has none.
func (l *Levels[V]) Of(vm string) map[string]V {
	if s := l.sources[vm]; s != nil {
		return maps.Clone(s.values)
	}
	return nil
}

// RetainsChangesSince reports whether all changes since a version number are kept.
func (l *Levels[V]) RetainsChangesSince(number uint64) bool { return number >= l.sums.prunedUpTo }

// Since returns the sums of a scope that have changed since a version number, without the
// levels of one VM. With number 0 it returns all sums that are not zero.
func (l *Levels[V]) Since(scope topology.Scope, number uint64, excludedVM string, now time.Time) map[string]V {
	l.expire(now)
	if s := l.sources[excludedVM]; s != nil && narrowestScope(s.follows) <= scope {
		return l.sums.since(scope, number, s.values)
	}
	return l.sums.since(scope, number)
}
