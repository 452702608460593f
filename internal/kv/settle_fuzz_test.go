package kv_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
	"github.com/chestnutarch/chestnutarch/internal/oracle"
)

// The seed is fixed so that every run gives the same verdict; the flags of the
// command line, which long fuzzing uses, come after it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	flag.Parse()
	os.Exit(m.Run())
}

// interfered lets something happen before each call, as other writers do and as
// writes that were on their way arrive.
type interfered struct {
	*kvtest.Memory
	happen func()
}

func (s interfered) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.happen()
	return s.Memory.Get(ctx, key)
}

func (s interfered) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease kv.LeaseID) (kv.Result, error) {
	s.happen()
	return s.Memory.CompareAndSwap(ctx, key, expected, value, lease)
}

// settleTrial lets writers add a mark each to one key under drawn faults, and
// compares what each was told with what the key holds in the end. Since every
// write builds on the one before, the key holds exactly the marks that took
// effect.
func settleTrial(t *rapid.T, faults kv.SettleFaults) error {
	ctx := context.Background()
	store := kvtest.NewMemory(nil)
	marks := 0
	nextMark := func() []byte { marks++; return fmt.Appendf(nil, "<%d>", marks) }
	happen := func() {
		switch rapid.IntRange(0, 9).Draw(t, "happening") {
		case 0:
			store.Release(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "arrives") })
		case 1:
			entry, _ := store.Get(ctx, "/k")
			_, _ = store.CompareAndSwap(ctx, "/k", entry.Revision, append(entry.Value, nextMark()...), kv.NoLease)
		case 2:
			store.Change(func(f *kvtest.Faults) { f.Outage = !f.Outage })
		}
	}
	outcomes := make(map[string]kv.Outcome)
	for range rapid.IntRange(1, 12).Draw(t, "attempts") {
		entry, err := store.Get(ctx, "/k")
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			store.Change(func(f *kvtest.Faults) { f.Outage = false })
			continue
		}
		store.Change(func(f *kvtest.Faults) {
			f.LoseAnswers = rapid.IntRange(0, 2).Draw(t, "lose answers")
			f.LoseRequests = rapid.IntRange(0, 2).Draw(t, "lose requests")
			f.HoldRequests = rapid.IntRange(0, 2).Draw(t, "hold requests")
		})
		mark := nextMark()
		looks := rapid.IntRange(0, 6).Draw(t, "looks")
		attempt := kv.Attempt{
			Key: "/k", Expected: entry.Revision, Value: append(entry.Value, mark...),
			Resend: rapid.Bool().Draw(t, "resend"),
			Sleep:  func(context.Context, time.Duration) bool { looks--; return looks >= 0 },
			Mine: func(value []byte) kv.Verdict {
				if bytes.Contains(value, mark) {
					return kv.Shows
				}
				return kv.ShowsNot
			},
		}
		result, _ := kv.Settle(ctx, interfered{store, happen}, attempt.WithFaults(faults))
		outcomes[string(mark)] = result.Outcome
	}
	store.Change(func(f *kvtest.Faults) { *f = kvtest.Faults{} })
	store.Release(nil)
	final, _ := store.Get(ctx, "/k")
	for mark, outcome := range outcomes {
		times := bytes.Count(final.Value, []byte(mark))
		if times > 1 || outcome == kv.TookEffect && times != 1 || outcome == kv.DidNot && times != 0 {
			return errors.Errorf("%s was told %q and stands %d times in %s", mark, outcome, times, final.Value)
		}
	}
	return nil
}

// Answers are lost, requests arrive late and others write in between. Whatever a
// writer is told has to be true in the end.
func TestSettledOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		require.NoError(rt, settleTrial(rt, kv.SettleFaults{}))
	})
}

// Each rule that Settle follows, left out, is noticed by the oracle.
func TestSettleFaultsAreFound(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults kv.SettleFaults
		seed   int
	}{
		{"unknown taken for not done", kv.UnknownIsFailure, 1},
		{"unmoved key taken for not done", kv.UnmovedIsFailure, 6},
		{"own value in the way taken for another's", kv.RefusalIsFailure, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.seed, oracle.FirstSeed(2*c.seed+1, func(rt *rapid.T, o require.TestingT) { require.NoError(o, settleTrial(rt, c.faults)) }))
		})
	}
}
