package aggregate

import (
	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// Value is what is summed.
type Value[V any] interface {
	Add(V) V
	Sub(V) V
	IsZero() bool
}

// Count is a number as a Value.
type Count float64

// Add implements Value.
func (c Count) Add(other Count) Count { return c + other }

// Sub implements Value.
func (c Count) Sub(other Count) Count { return c - other }

// IsZero implements Value.
func (c Count) IsZero() bool { return c == 0 }

// Version numbers the changes of tables that are told of together. It is not safe for
// concurrent use.
type Version struct{ number uint64 }

// Number returns the number of the last change.
func (v *Version) Number() uint64 { return v.number }

// Next returns the number of a further change.
func (v *Version) Next() uint64 {
	v.number++
	return v.number
}

// scopes is how many scopes have sums of their own: topology.ScopeOwn, ScopeDomain and
// ScopeAll.
const scopes = 3

// sums adds up values by name for each scope.
type sums[V Value[V]] struct {
	version *Version
	cells   [scopes]map[string]cell[V]
	// forgotten is the number up to which names whose sum is zero are not remembered.
	forgotten uint64
}

type cell[V any] struct {
	sum     V
	changed uint64
}

func newSums[V Value[V]](version *Version) sums[V] {
	s := sums[V]{version: version}
	for scope := range s.cells {
		s.cells[scope] = make(map[string]cell[V])
	}
	return s
}

// add adds to a name's sums, in the narrowest scope that covers the source and all wider ones.
func (s *sums[V]) add(narrowest topology.Scope, name string, difference V) {
	if difference.IsZero() {
		return
	}
	number := s.version.Next()
	for scope := narrowest; scope < scopes; scope++ {
		c := s.cells[scope][name]
		c.sum, c.changed = c.sum.Add(difference), number
		s.cells[scope][name] = c
	}
}

// since returns the sums of a scope that have changed since a number, less one source's part;
// since zero, all that are not zero.
func (s *sums[V]) since(scope topology.Scope, number uint64, except map[string]V) map[string]V {
	changed := make(map[string]V)
	for name, c := range s.cells[scope] {
		if c.changed <= number {
			continue
		}
		sum := c.sum
		if part, ok := except[name]; ok {
			sum = sum.Sub(part)
		}
		if number > 0 || !sum.IsZero() {
			changed[name] = sum
		}
	}
	return changed
}

// maxZero is how many names may be remembered whose sum is zero, beyond as many as have one.
const maxZero = 256

// prune drops the names whose sum is zero once they are many.
func (s *sums[V]) prune() {
	zero := 0
	for _, c := range s.cells[topology.ScopeAll] {
		if c.sum.IsZero() {
			zero++
		}
	}
	if zero <= maxZero+len(s.cells[topology.ScopeAll])/2 {
		return
	}
	for _, cells := range s.cells {
		for name, c := range cells {
			if c.sum.IsZero() {
				delete(cells, name)
			}
		}
	}
	s.forgotten = s.version.Number()
}

// narrowest returns the narrowest scope that covers a source.
func narrowest(near bool) topology.Scope {
	if near {
		return topology.ScopeDomain
	}
	return topology.ScopeAll
}
