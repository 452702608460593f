package configsync

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
	"github.com/chestnutarch/chestnutarch/internal/oracle"
)

// The seed is fixed so that every run gives the same verdict; the flags of the
// command line, which long fuzzing uses, come after it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
	flag.Parse()
	os.Exit(m.Run())
}

// planned are the faults that a trial plants.
type planned struct {
	keeper   faults
	writer   writerFaults
	monoOnly bool
}

// world is a fleet of keepers over one store, stepped one action at a time, and
// what its oracles know: a register of accepted envelopes and the time of each.
type world struct {
	t        *rapid.T
	ctx      context.Context
	planned  planned
	store    *kvtest.Memory
	observed []kv.Entry
	now      time.Duration
	vms      []*machine
	accepted []*configstate.Envelope
	at       []time.Duration
	told     map[string]kv.Outcome
	changes  int
	settling bool
}

// machine is one VM: its keeper, the watch's entries that were not delivered,
// and what the oracle expects of it.
type machine struct {
	*Keeper
	stop    context.CancelFunc
	watch   <-chan kv.Entry
	queue   []kv.Entry
	behind  int64
	paused  time.Duration
	setBack time.Duration
	version int64
	known   map[string]bool
}

var keys = []string{keyA, keyB, configstate.DigestKey("c"), configstate.DigestKey("d")}

// late is a store whose polls take time to answer.
type late struct {
	*kvtest.Memory
	w *world
}

func (s late) Revision(ctx context.Context, key string) (int64, error) {
	revision, err := s.Memory.Revision(ctx, key)
	if s.w.settling {
		return revision, err
	}
	if rapid.IntRange(0, 4).Draw(s.w.t, "meanwhile") == 0 {
		s.w.withdrawElsewhere()
	}
	s.w.now += time.Duration(rapid.IntRange(0, 5).Draw(s.w.t, "answer takes")) * time.Second
	return revision, err
}

func newWorld(t *rapid.T, ctx context.Context, p planned) *world {
	w := &world{t: t, ctx: ctx, planned: p, store: kvtest.NewMemory(nil), told: make(map[string]kv.Outcome)}
	w.store.Observe(func(e kv.Entry) {
		if e.Key == Key("test") {
			w.observed = append(w.observed, e)
			w.at = append(w.at, w.now)
		}
	})
	for range 3 {
		w.vms = append(w.vms, w.start())
	}
	return w
}

func (w *world) start() *machine {
	m := &machine{known: make(map[string]bool)}
	m.Keeper = NewKeeper(Options{
		Store:       late{w.store, w},
		Environment: "test",
		Clock: func() clock.Reading {
			wall := w.now - m.setBack
			if w.planned.monoOnly {
				wall = w.now - m.paused
			}
			return clock.Reading{Mono: w.now - m.paused, Wall: time.Unix(0, 0).Add(wall)}
		},
		Sleep: func(context.Context, time.Duration) bool { return rapid.IntRange(0, 3).Draw(w.t, "gives up") > 0 },
	})
	m.faults = w.planned.keeper
	var ctx context.Context
	ctx, m.stop = context.WithCancel(w.ctx)
	go m.own(ctx)
	return m
}

// observe records what the store has accepted since the last look.
func (w *world) observe() error {
	for _, entry := range w.observed {
		e, err := configstate.Decode(entry.Value)
		if err != nil {
			return err
		}
		if n := len(w.accepted); n > 0 {
			last := w.accepted[n-1]
			if e.Version != last.Version+1 {
				return errors.Errorf("version %d accepted after %d", e.Version, last.Version)
			}
			if lost := configstate.Missing(e.Withdrawn, last.Withdrawn); len(lost) > 0 {
				return errors.Errorf("version %d lost withdrawals %.8s", e.Version, lost)
			}
		}
		w.accepted = append(w.accepted, e)
	}
	w.observed = nil
	return nil
}

func (w *world) writerOf(m *machine) *Writer {
	writer := m.Writer()
	writer.faults = w.planned.writer
	return writer
}

// note keeps what an operator was told of a change.
func (w *world) note(nonce string, err error) {
	switch {
	case err == nil:
		w.told[nonce] = kv.TookEffect
	case errors.Is(err, ErrUnknown):
		w.told[nonce] = kv.Unknown
	default:
		w.told[nonce] = kv.DidNot
	}
}

// apply offers a document that may list withdrawn keys, from a version that may
// be old.
func (w *world) apply(m *machine) error {
	w.changes++
	c := Change{ID: fmt.Sprint(w.changes), Nonce: fmt.Sprint("n", w.changes)}
	base := int64(max(0, len(w.accepted)-rapid.IntRange(0, 1).Draw(w.t, "bases back")))
	listed := rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 0, 2, rapid.ID).Draw(w.t, "keys")
	accepted, err := w.writerOf(m).Apply(w.ctx, c, base, text(w.changes, listed...))
	w.note(c.Nonce, err)
	if err == nil && accepted.Envelope.Version != base+1 {
		return errors.Errorf("version %d accepted from base %d", accepted.Envelope.Version, base)
	}
	return nil
}

func (w *world) withdraw(m *machine) {
	w.changes++
	c := Change{ID: fmt.Sprint(w.changes), Nonce: fmt.Sprint("n", w.changes)}
	key := rapid.SampledFrom(keys).Draw(w.t, "key")
	if accepted, err := w.writerOf(m).Withdraw(w.ctx, c, []string{key}); err == nil && accepted.Envelope.Nonce == c.Nonce {
		w.told[c.Nonce] = kv.TookEffect
	}
}

// withdrawElsewhere is a withdrawal through a VM of which nothing else is seen.
func (w *world) withdrawElsewhere() {
	w.changes++
	elsewhere := &Writer{Store: w.store, Environment: "test", Sleep: func(context.Context, time.Duration) bool { return false }}
	_, _ = elsewhere.Withdraw(w.ctx, Change{ID: fmt.Sprint(w.changes)}, []string{rapid.SampledFrom(keys).Draw(w.t, "key")})
}

func (w *world) hold(m *machine) {
	key := rapid.SampledFrom(keys).Draw(w.t, "key")
	if m.Withdraw(w.ctx, []string{key}) == nil {
		m.known[key] = true
	}
}

// watchSome opens the watch if there is none and delivers any of its entries,
// in any order, perhaps twice.
func (w *world) watchSome(m *machine) {
	if m.watch == nil {
		m.watch, _ = w.store.Watch(w.ctx, m.key, m.revision)
		return
	}
	for {
		select {
		case entry, open := <-m.watch:
			if open {
				m.queue = append(m.queue, entry)
				continue
			}
			m.watch = nil
		default:
		}
		break
	}
	if len(m.queue) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.queue)-1).Draw(w.t, "entry")
	_ = m.takeEntry(w.ctx, m.queue[i], "watch")
	if rapid.Bool().Draw(w.t, "only once") {
		m.queue = slices.Delete(m.queue, i, i+1)
	}
}

// offer brings what a peer has, as deltas from a version that this VM has or
// had, and whole if they do not connect. Whatever the peer knows is known here
// afterwards.
func (w *world) offer(m *machine) error {
	from := rapid.SampledFrom(w.vms).Draw(w.t, "peer")
	have := max(0, m.Version()-int64(rapid.IntRange(0, 3).Draw(w.t, "older")))
	_, update := from.UpdateSince(have)
	if update == nil {
		return nil
	}
	err := m.Offer(w.ctx, update)
	if errors.Is(err, configstate.ErrGap) {
		_, whole := from.Envelope()
		err = m.Offer(w.ctx, whole)
	}
	for digest := range from.known {
		m.known[digest] = true
	}
	return err
}

func (w *world) poll(m *machine) { m.behind, _ = m.pollOnce(w.ctx, m.behind) }

// disturb changes faults, clocks and processes.
func (w *world) disturb(i int, m *machine) {
	some := rapid.IntRange(0, 2)
	switch rapid.IntRange(0, 5).Draw(w.t, "disturbance") {
	case 0:
		w.store.Change(func(f *kvtest.Faults) { f.Outage = !f.Outage })
	case 1:
		w.store.Change(func(f *kvtest.Faults) {
			f.LoseAnswers, f.LoseRequests, f.HoldRequests = some.Draw(w.t, "answers"), some.Draw(w.t, "requests"), some.Draw(w.t, "held")
		})
	case 2:
		w.store.Release(func(n int) int { return rapid.IntRange(0, n-1).Draw(w.t, "arrives") })
	case 3:
		m.stop()
		w.vms[i] = w.start()
	case 4:
		pause := time.Duration(rapid.IntRange(1, 60).Draw(w.t, "paused")) * time.Second
		w.now += pause
		// Either clock may be wrong, but not both.
		if i == 0 {
			m.paused += pause
		} else {
			m.setBack += pause
		}
	case 5:
		w.store.Change(func(f *kvtest.Faults) { f.SilentWatch = !f.SilentWatch })
	}
}

func fleetTrial(t *rapid.T, p planned) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := newWorld(t, ctx, p)
	for range rapid.IntRange(1, 50).Draw(t, "steps") {
		i := rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")
		m := w.vms[i]
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1:
			if err := w.apply(m); err != nil {
				return err
			}
		case 2:
			w.withdraw(m)
		case 3:
			w.hold(m)
		case 4, 5:
			w.poll(m)
		case 6:
			w.watchSome(m)
		case 7:
			if err := w.offer(m); err != nil {
				return err
			}
		case 8:
			m.mergeOnce(ctx)
		case 9:
			w.disturb(i, m)
		}
		if err := w.observe(); err != nil {
			return err
		}
		for _, m := range w.vms {
			if err := w.check(m); err != nil {
				return err
			}
		}
	}
	return w.settle()
}

// Answers, requests and watch events are lost, late, doubled and out of order;
// VMs pause, restart and are cut off; operators race. The register and the set
// of withdrawals hold at every step.
func TestFleetAgreesWithRegisterAndSet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { require.NoError(rt, fleetTrial(rt, planned{})) })
}

// Each rule of keeper and writer, left out, is noticed by an oracle.
func TestFleetFaultsAreFound(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults planned
		seed   int
	}{
		{"fresh although behind", planned{keeper: faults{freshWhileBehind: true}}, 1},
		{"fresh since the answer, not since the question", planned{keeper: faults{freshFromAnswer: true}}, 29},
		{"forgets withdrawals on apply", planned{writer: writerFaults{forgetWithdrawals: true}}, 1},
		{"unknown told as a conflict", planned{writer: writerFaults{unknownIsFailure: true}}, 154},
		{"takes a document from any version", planned{writer: writerFaults{takeAnyBase: true}}, 1},
		{"reads the monotonic clock only", planned{monoOnly: true}, 218},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.seed, oracle.FirstSeed(2*c.seed+1, func(rt *rapid.T, o require.TestingT) { require.NoError(o, fleetTrial(rt, c.faults)) }))
		})
	}
}
