package upstreamrate

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var engine = Key{Instance: "engine-1", Incarnation: 7}

func named(perSecond float64) upstream.RateLimit {
	return upstream.RateLimit{Named: true, PerSecond: perSecond}
}

func TestAnswersSetChangeAndEndALimit(t *testing.T) {
	table, now := NewTable(), time.Now()
	require.False(t, table.Observe(engine, upstream.RateLimit{}, now, now))
	require.True(t, table.Observe(engine, named(1.5), now, now))
	require.False(t, table.Observe(engine, named(1.5), now, now))
	require.True(t, table.Observe(engine, named(0), now, now))
	l, ok := table.Limit(engine)
	require.True(t, ok)
	require.Zero(t, l.PerSecond)
	require.True(t, table.Observe(engine, upstream.RateLimit{}, now.Add(time.Second), now.Add(time.Second)))
	_, ok = table.Limit(engine)
	require.False(t, ok)
}

// An answer that was made before the upstream named its limit arrives after one that names it.
func TestAnswerToAnEarlierRequestDoesNotEndALimit(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.Observe(engine, named(1), now, now.Add(time.Second))
	require.False(t, table.Observe(engine, upstream.RateLimit{}, now.Add(time.Second/2), now.Add(2*time.Second)))
	_, ok := table.Limit(engine)
	require.True(t, ok)
}

// An answer on another connection overtakes one to a later request: it ended what the later one had named.
func TestAnswerToAnEarlierRequestEndsNoPartOfALimit(t *testing.T) {
	both := upstream.RateLimit{Named: true, PerSecond: 2, Brittle: true, MaxRejections: 3}
	for name, early := range map[string]upstream.RateLimit{"rate only": named(2), "brittle only": {Brittle: true, MaxRejections: 3}} {
		t.Run(name, func(t *testing.T) {
			table, now := NewTable(), time.Now()
			table.Observe(engine, both, now, now.Add(time.Second))
			table.Observe(engine, early, now.Add(time.Second/2), now.Add(2*time.Second))
			l, _ := table.Limit(engine)
			require.Equal(t, Limit{PerSecond: 2, Brittle: true, MaxRejections: 3, Revision: 1}, l)
			table.Observe(engine, early, now.Add(3*time.Second), now.Add(4*time.Second))
			l, _ = table.Limit(engine)
			require.NotEqual(t, early.Named, l.Brittle)
			require.Equal(t, early.Named, l.Rated())
		})
	}
}

// An upstream that starts again under its ID names its limits anew.
func TestLimitBelongsToOneIncarnation(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.Observe(engine, named(1), now, now)
	_, ok := table.Limit(Key{Instance: engine.Instance, Incarnation: engine.Incarnation + 1})
	require.False(t, ok)
}

// VMs that have told each other what they observed, in any order, must hold the same limit.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Second)
			vm := tables[rapid.IntRange(0, 2).Draw(t, "vm")]
			if rapid.Bool().Draw(t, "merges") {
				mergeAll(vm, tables[rapid.IntRange(0, 2).Draw(t, "peer")], now)
				continue
			}
			limit := upstream.RateLimit{Named: rapid.Bool().Draw(t, "named"), PerSecond: float64(rapid.IntRange(0, 3).Draw(t, "perSecond"))}
			vm.Observe(engine, limit, now, now)
		}
		for range 2 {
			for _, to := range tables {
				for _, from := range tables {
					mergeAll(to, from, now)
				}
			}
		}
		for _, other := range tables[1:] {
			require.Equal(t, tables[0].Snapshot(all).Digest, other.Snapshot(all).Digest)
			first, _ := tables[0].Limit(engine)
			limit, _ := other.Limit(engine)
			require.Equal(t, first, limit)
		}
	})
}

func all(Key) bool { return true }

func mergeAll(to, from *Table, now time.Time) {
	for _, e := range from.Snapshot(all).Entries {
		to.Merge(e.Key, e.Limit, now)
	}
}

// Entries of upstreams disappear while the platform's store is away, and return with their limits.
func TestLimitOutlivesAShortAbsenceOfItsUpstream(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.Observe(engine, named(1), now, now)
	table.Retain(func(Key) bool { return false }, now)
	table.Retain(func(Key) bool { return true }, now.Add(retention/2))
	table.Retain(func(Key) bool { return false }, now.Add(2*retention))
	_, ok := table.Limit(engine)
	require.True(t, ok)
	table.Retain(func(Key) bool { return false }, now.Add(4*retention))
	_, ok = table.Limit(engine)
	require.False(t, ok)
}
