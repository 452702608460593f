package configstate

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/oracle"
)

// The seed is fixed so that every run gives the same verdict; the flags of the
// command line, which long fuzzing uses, come after it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	flag.Parse()
	os.Exit(m.Run())
}

// vm is one state machine with what its oracle expects of it.
type vm struct {
	state   State
	version int64
	heard   map[string]bool
}

// world is a register of accepted envelopes and the VMs that hear of them.
type world struct {
	accepted []*Envelope
	vms      []*vm
	keys     []string
}

const fuzzedKeys = 4

func newWorld(faults faults) *world {
	w := &world{}
	for i := range fuzzedKeys {
		w.keys = append(w.keys, DigestKey(fmt.Sprint(i)))
	}
	w.accept(nil)
	for range 3 {
		w.vms = append(w.vms, newVM(faults))
	}
	return w
}

func newVM(faults faults) *vm {
	return &vm{state: State{faults: faults}, heard: make(map[string]bool)}
}

func (w *world) accept(withdrawn []string) {
	version := int64(len(w.accepted) + 1)
	w.accepted = append(w.accepted, envelope(version, textWithKeys(int(version), w.keys...), withdrawn...))
}

// deliver brings an envelope to a VM and notes what it has to know from now on.
func (w *world) deliver(v *vm, e *Envelope) error {
	if _, err := v.state.Offer(e); err != nil {
		return err
	}
	v.version = max(v.version, e.Version)
	for _, digest := range e.Withdrawn {
		v.heard[digest] = true
	}
	return nil
}

// pull brings a VM what a peer has, as deltas if they are wanted and there are
// any, and whole if those do not connect.
func (w *world) pull(v, from *vm, deltas bool) error {
	if from.state.Envelope() == nil {
		return nil
	}
	if deltas && 0 < v.version && v.version < from.version {
		u := &Update{WithdrawnSum: from.state.Snapshot().WithdrawnSum()}
		for i := v.version; i < from.version; i++ {
			u.Deltas = append(u.Deltas, NewDelta(w.accepted[i-1], w.accepted[i]))
		}
		_, err := v.state.OfferUpdate(u)
		v.version = from.version
		maps.Copy(v.heard, from.heard)
		if !errors.Is(err, ErrGap) {
			return err
		}
	}
	maps.Copy(v.heard, from.heard)
	return w.deliver(v, from.state.Envelope())
}

// check compares a VM with the register and the set of withdrawals.
func (w *world) check(v *vm) error {
	s := v.state.Snapshot()
	if s == nil {
		return nil
	}
	if s.Version != v.version {
		return errors.Errorf("version %d in force after version %d", s.Version, v.version)
	}
	if rate := s.Document.Teams[0].Rate; rate != v.version {
		return errors.Errorf("document %d in force as version %d", rate, v.version)
	}
	for digest := range v.heard {
		if _, err := s.Authenticate(digest); !errors.Is(err, ErrKeyWithdrawn) {
			return errors.Errorf("version %d: withdrawn key %.8s: %v", s.Version, digest, err)
		}
	}
	if !slices.Equal(v.state.Envelope().Withdrawn, Union(v.state.Envelope().Withdrawn, w.accepted[s.Version-1].Withdrawn)) {
		return errors.Errorf("version %d passed on without its withdrawals", s.Version)
	}
	return nil
}

// stateTrial delivers accepted envelopes late, twice, in any order and from
// peers, pushes withdrawals past the service and restarts VMs.
func stateTrial(t *rapid.T, faults faults) error {
	w := newWorld(faults)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		v := rapid.SampledFrom(w.vms).Draw(t, "vm")
		newest := w.accepted[len(w.accepted)-1]
		switch rapid.IntRange(0, 5).Draw(t, "step") {
		case 0:
			w.accept(newest.Withdrawn)
		case 1:
			w.accept(append([]string{rapid.SampledFrom(w.keys).Draw(t, "key")}, newest.Withdrawn...))
		case 2:
			if err := w.deliver(v, rapid.SampledFrom(w.accepted).Draw(t, "envelope")); err != nil {
				return err
			}
		case 3:
			from := rapid.SampledFrom(w.vms).Draw(t, "peer")
			if err := w.pull(v, from, rapid.Bool().Draw(t, "deltas")); err != nil {
				return err
			}
		case 4:
			key := rapid.SampledFrom(w.keys).Draw(t, "key")
			if _, err := v.state.Withdraw([]string{key}); err != nil {
				return err
			}
			v.heard[key] = true
		case 5:
			*v = *newVM(faults)
		}
		for _, v := range w.vms {
			if err := w.check(v); err != nil {
				return err
			}
		}
	}
	return nil
}

func TestStateAgreesWithRegisterAndSet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { require.NoError(rt, stateTrial(rt, faults{})) })
}

// Each rule of the state, left out, is noticed by the oracle.
func TestStateFaultsAreFound(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults faults
		seed   int
	}{
		{"accepts a lower version", faults{acceptLower: true}, 1},
		{"forgets withdrawals on a change", faults{forgetWithdrawals: true}, 1},
		{"ignores that a peer knows of other withdrawals", faults{ignoreSum: true}, 188},
		{"ignores withdrawals of late envelopes", faults{ignoreLate: true}, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.seed, oracle.FirstSeed(2*c.seed+1, func(rt *rapid.T, o require.TestingT) { require.NoError(o, stateTrial(rt, c.faults)) }))
		})
	}
}
