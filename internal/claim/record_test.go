package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzDecode decodes arbitrary values of the key-value service. A value that is accepted
// must decode again after it was encoded, with the same number of records.
func FuzzDecode(f *testing.F) {
	s := &segment{Generation: 3, Records: []Record{{Key: "k", BodyDigest: "b", VM: "v", Attempt: "a", Answer: &Answer{Status: 200, Body: []byte("x")}}}}
	f.Add(s.encode())
	f.Add([]byte(`{"g":0}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := decode(value)
		if err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
			return
		}
		again, err := decode(s.encode())
		require.NoError(t, err)
		require.Len(t, again.Records, len(s.Records))
	})
}

// A segment's value in the key-value service is corrupt. The shard's actions must be
// refused as not run, and the value must not be overwritten.
func TestDamagedSegmentStopsItsShard(t *testing.T) {
	l := NewLog(Options{Slots: 2})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l.Submit(Op{ID: 1, Record: Record{Key: "k", Attempt: "a", ClaimedAt: now}, Deadline: now.Add(time.Second)})
	call, _ := l.Next(now)
	require.False(t, call.Swap)
	verdicts := l.ReadDone(call.Slot, 9, []byte("{"))
	require.Len(t, verdicts, 1)
	require.ErrorIs(t, verdicts[0].Err, ErrCorrupt)
	call, _ = l.Next(now)
	require.Nil(t, call)
}

// Concurrent claims on a shard must be batched into one write; their answers cost another.
func TestClaimsAreWrittenTogether(t *testing.T) {
	l := NewLog(Options{Slots: 2})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range 100 {
		id := string(rune('A' + i))
		l.Submit(Op{ID: uint64(i), Record: Record{Key: Key(id), Attempt: id, ClaimedAt: now}, Deadline: now.Add(time.Second)})
	}
	writes, granted := 0, 0
	for range 10 {
		call, verdicts := l.Next(now)
		granted += len(verdicts)
		if call == nil {
			break
		}
		if call.Swap {
			writes++
			granted += len(l.SwapDone(call.Slot, TookEffect, int64(writes)))
			continue
		}
		l.ReadDone(call.Slot, 0, nil)
	}
	require.Equal(t, 1, writes)
	require.Equal(t, 100, granted)
}

// BenchmarkCommit measures a claim on a shard that holds 200 answered claims. Its swap does
// not take effect, so that the shard stays the same size.
func BenchmarkCommit(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := NewLog(Options{Slots: 2})
	answer := &Answer{Status: 200, Body: make([]byte, 300)}
	for i := range 200 {
		id := KeyOf("team", string(rune(i)))
		l.Submit(Op{ID: uint64(i), Record: Record{Key: id, BodyDigest: string(id), VM: "vm-1", Attempt: string(id), ClaimedAt: now, Answer: answer}, Deadline: now.Add(time.Second)})
	}
	for range 3 {
		call, _ := l.Next(now)
		if call.Swap {
			l.SwapDone(call.Slot, TookEffect, 1)
			continue
		}
		l.ReadDone(call.Slot, 0, nil)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Submit(Op{ID: 1000, Record: Record{Key: "k", Attempt: "a", ClaimedAt: now}, Deadline: now.Add(time.Second)})
		call, _ := l.Next(now)
		l.SwapDone(call.Slot, NoEffect, 0)
		l.Expire(now.Add(time.Hour))
		l.slots[call.Slot].loaded = true
	}
}
