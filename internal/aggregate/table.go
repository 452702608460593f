package aggregate

import (
	"github.com/chestnutarch/chestnutarch/internal/changelog"
	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// Value is a type whose values can be summed.
type Value[V any] interface {
	Add(V) V
	Sub(V) V
	IsZero() bool
}

// Count is a plain number that implements Value.
type Count float64

// Add implements Value.
func (c Count) Add(other Count) Count { return c + other }

// Sub implements Value.
func (c Count) Sub(other Count) Count { return c - other }

// IsZero implements Value.
func (c Count) IsZero() bool { return c == 0 }

// Version numbers the changes of tables that are reported together. It is not safe for
// concurrent use.
type Version struct{ number uint64 }

// Number returns the number of the last change, 0 before the first one.
func (v *Version) Number() uint64 { return v.number }

// Next increments the number for a further change and returns it.
func (v *Version) Next() uint64 {
	v.number++
	return v.number
}

// scopeCount is the number of scopes with separate sums: topology.ScopeOwn, ScopeFollowers and
// ScopeAll.
const scopeCount = 3

// sums holds the sums of values by name for each scope.
type sums[V Value[V]] struct {
	version *Version
	sums    [scopeCount]map[string]V
	// changes holds the changes of the sums.
	changes [scopeCount]*changelog.Log[string]
	// zeroNames is the number of names whose sum over all VMs is zero.
	zeroNames int
	// prunedUpTo is the version number up to which names whose sum is zero have been
	// removed.
	prunedUpTo uint64
}

func newSums[V Value[V]](version *Version) sums[V] {
	s := sums[V]{version: version}
	for scope := range s.sums {
		s.sums[scope], s.changes[scope] = make(map[string]V), changelog.New[string]()
	}
	return s
}

// add adds a difference to a name's sums in the scope from and all wider scopes.
func (s *sums[V]) add(from topology.Scope, name string, difference V) {
	if difference.IsZero() {
		return
	}
	number := s.version.Next()
	all := s.sums[topology.ScopeAll]
	before, known := all[name]
	for scope := from; scope < scopeCount; scope++ {
		s.sums[scope][name] = s.sums[scope][name].Add(difference)
		s.changes[scope].Record(name, number)
	}
	if known && before.IsZero() {
		s.zeroNames--
	}
	if all[name].IsZero() {
		s.zeroNames++
	}
}

// since returns the sums of a scope that have changed since a version number, less the
// excluded values. With number 0 it returns all sums that are not zero.
func (s *sums[V]) since(scope topology.Scope, number uint64, excluded ...map[string]V) map[string]V {
	changed := make(map[string]V)
	s.changes[scope].Since(number, func(name string, _ uint64) bool {
		sum := s.sums[scope][name]
		for _, part := range excluded {
			if value, ok := part[name]; ok {
				sum = sum.Sub(value)
			}
		}
		if number > 0 || !sum.IsZero() {
			changed[name] = sum
		}
		return true
	})
	return changed
}

// maxZeroNames is how many names whose sum is zero are kept beyond half of all names.
const maxZeroNames = 256

// prune removes all names whose sum is zero once they are more than maxZeroNames plus half
// of all names.
func (s *sums[V]) prune() {
	all := s.sums[topology.ScopeAll]
	if s.zeroNames <= maxZeroNames+len(all)/2 {
		return
	}
	for scope, sums := range s.sums {
		for name, sum := range sums {
			if sum.IsZero() {
				delete(sums, name)
				s.changes[scope].Remove(name)
			}
		}
	}
	s.zeroNames, s.prunedUpTo = 0, s.version.Number()
}

// narrowestScope returns the narrowest scope that covers another VM, which follows this one or not.
func narrowestScope(follows bool) topology.Scope {
	if follows {
		return topology.ScopeFollowers
	}
	return topology.ScopeAll
}
