package changelog

import (
	"cmp"
	"slices"
)

// Log lists keys in the order of their last change. Changes are numbered by the caller, each with a
// higher number than those before.
type Log struct {
	// lastChange is the number of the last change by key, changes holds the changes in their order. A
	// change that is not the last one of its key is outdated.
	lastChange map[string]uint64
	changes    []change
}

type change struct {
	key    string
	number uint64
}

// minChanges is the number of changes from which outdated ones are removed.
const minChanges = 64

// New returns an empty log.
func New() *Log { return &Log{lastChange: make(map[string]uint64)} }

// Len returns the number of keys.
func (l *Log) Len() int { return len(l.lastChange) }

// Record records a change of a key.
func (l *Log) Record(key string, number uint64) {
	l.lastChange[key] = number
	l.changes = append(l.changes, change{key, number})
	if len(l.changes) > 2*len(l.lastChange)+minChanges {
		l.changes = slices.DeleteFunc(l.changes, l.outdated)
	}
}

// Remove removes a key.
func (l *Log) Remove(key string) { delete(l.lastChange, key) }

func (l *Log) outdated(c change) bool {
	last, ok := l.lastChange[c.key]
	return !ok || last != c.number
}

// Since calls each with the keys whose last change has a higher number than the given one, in the order
// of these changes, and with the number of the change. It ends when each returns false.
func (l *Log) Since(number uint64, each func(key string, number uint64) bool) {
	first, _ := slices.BinarySearchFunc(l.changes, number+1, func(c change, n uint64) int { return cmp.Compare(c.number, n) })
	for _, c := range l.changes[first:] {
		if !l.outdated(c) && !each(c.key, c.number) {
			return
		}
	}
}
