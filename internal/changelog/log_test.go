package changelog

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func (l *Log[string]) keysSince(number uint64) []string {
	var out []string
	l.Since(number, func(key string, _ uint64) bool {
		out = append(out, key)
		return true
	})
	return out
}

// Since must list each key once, at its last change, whatever was recorded and removed before.
func TestSinceListsEachKeyAtItsLastChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, last, number := New[string](), make(map[string]uint64), uint64(0)
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "key"))
			if rapid.IntRange(0, 4).Draw(t, "removes") == 0 {
				l.Remove(key)
				delete(last, key)
				continue
			}
			number++
			l.Record(key, number)
			last[key] = number
		}
		since := rapid.Uint64Range(0, number).Draw(t, "since")
		var want []string
		for key, at := range last {
			if at > since {
				want = append(want, key)
			}
		}
		require.ElementsMatch(t, want, l.keysSince(since))
		require.Equal(t, len(last), l.Len())
	})
}

// A hub records thousands of changes a second of the same few keys.
func TestLogDoesNotGrowWithTheChanges(t *testing.T) {
	l := New[string]()
	for number := range uint64(100_000) {
		l.Record(fmt.Sprint(number%10), number+1)
	}
	require.LessOrEqual(t, len(l.changes), 2*l.Len()+minChanges)
}
