package aggregate

import (
	"maps"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// Levels adds up what is the case at VMs now, such as work in flight. It is not safe for
// concurrent use.
type Levels[V Value[V]] struct {
	lifetime time.Duration
	sums     sums[V]
	own      map[string]V
	sources  map[string]*levelSource[V]
}

type levelSource[V any] struct {
	near   bool
	heard  time.Time
	values map[string]V
}

// NewLevels returns levels of sources that count for a lifetime after they were last heard.
func NewLevels[V Value[V]](lifetime time.Duration, version *Version) *Levels[V] {
	return &Levels[V]{lifetime: lifetime, sums: newSums[V](version), own: make(map[string]V), sources: make(map[string]*levelSource[V])}
}

// SetOwn takes this VM's levels: all that are not zero.
func (l *Levels[V]) SetOwn(values map[string]V) {
	l.replace(topology.ScopeOwn, l.own, values)
	l.sums.prune()
}

// replace makes values the whole of what a source has.
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

// Take takes the levels of a VM that have changed, or all of them. It returns false if the VM
// has not been heard for too long for changes to be of use.
func (l *Levels[V]) Take(vm string, near, whole bool, changed map[string]V, now time.Time) bool {
	l.expire(now)
	s := l.sources[vm]
	if s == nil && !whole {
		return false
	}
	if s == nil {
		s = &levelSource[V]{near: near, values: make(map[string]V)}
		l.sources[vm] = s
	}
	s.heard = now
	if whole {
		l.replace(narrowest(s.near), s.values, changed)
		return true
	}
	for name, v := range changed {
		l.set(narrowest(s.near), s.values, name, v)
	}
	return true
}

// expire drops the VMs that have not been heard.
func (l *Levels[V]) expire(now time.Time) {
	for vm, s := range l.sources {
		if now.Sub(s.heard) > l.lifetime {
			l.replace(narrowest(s.near), s.values, nil)
			delete(l.sources, vm)
		}
	}
}

// Of returns the levels of a VM.
func (l *Levels[V]) Of(vm string) map[string]V {
	if s := l.sources[vm]; s != nil {
		return maps.Clone(s.values)
	}
	return nil
}

// Known reports whether all changes since a number are remembered.
func (l *Levels[V]) Known(number uint64) bool { return number >= l.sums.forgotten }

// Since returns the sums of a scope that have changed since a number, without those of one
// VM; since zero, all that are not zero.
func (l *Levels[V]) Since(scope topology.Scope, number uint64, except string, now time.Time) map[string]V {
	l.expire(now)
	var part map[string]V
	if s := l.sources[except]; s != nil && narrowest(s.near) <= scope {
		part = s.values
	}
	return l.sums.since(scope, number, part)
}
