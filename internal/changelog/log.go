package changelog

import (
	"cmp"
	"slices"
)

// Log lists keys in the order of their last change. Changes are numbered by the caller, each with a
// higher number than those before.
type Log[K comparable] struct {
	// lastChange is the number of the last change by key, changes holds the changes in their order. A
	// change that is not the last one of its key is outdated.
	lastChange map[K]uint64
	changes    []change[K]
}

type change[K comparable] struct {
	key    K
	number uint64
}

// minChanges is the number of changes from which outdated ones are removed.
const minChanges = 64

// New returns an empty log.
func New[K comparable]() *Log[K] { return &Log[K]{lastChange: make(map[K]uint64)} }

// Len returns the number of keys.
func (l *Log[K]) Len() int { return len(l.lastChange) }

// Record records a change of a key.
func (l *Log[K]) Record(key K, number uint64) {
	l.lastChange[key] = number
	l.changes = append(l.changes, change[K]{key, number})
	if len(l.changes) > 2*len(l.lastChange)+minChanges {
		l.changes = slices.DeleteFunc(l.changes, l.outdated)
	}
}

// Remove removes a key.
func (l *Log[K]) Remove(key K) { delete(l.lastChange, key) }

func (l *Log[K]) outdated(c change[K]) bool {
	last, ok := l.lastChange[c.key]
	return !ok || last != c.number
}

// Since calls each with the keys whose last change has a higher number than the given one, in the order
// of these changes, and with the number of the change. It ends when each returns false.
func (l *Log[K]) Since(number uint64, each func(key K, number uint64) bool) {
	first, _ := slices.BinarySearchFunc(l.changes, number+1, func(c change[K], n uint64) int { return cmp.Compare(c.number, n) })
	for _, c := range l.changes[first:] {
		if !l.outdated(c) && !each(c.key, c.number) {
			return
		}
	}
}
