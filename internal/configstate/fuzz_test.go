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

// TestMain fixes the seed so that every run gives the same result. Flags of the
// command line, which long fuzzing runs use, override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	flag.Parse()
	os.Exit(m.Run())
}

// vm is one state machine with the version and the withdrawals that the oracle
// expects of it.
type vm struct {
	state     State
	version   int64
	withdrawn map[string]bool
}

// simulation holds a register of accepted envelopes and the VMs that receive them.
type simulation struct {
	accepted []*Envelope
	vms      []*vm
	keys     []string
}

const fuzzedKeys = 4

func newSimulation(faults faults) *simulation {
	sim := &simulation{}
	for i := range fuzzedKeys {
		sim.keys = append(sim.keys, DigestKey(fmt.Sprint(i)))
	}
	sim.accept(nil)
	for range 3 {
		sim.vms = append(sim.vms, newVM(faults))
	}
	return sim
}

func newVM(faults faults) *vm {
	return &vm{state: State{faults: faults}, withdrawn: make(map[string]bool)}
}

func (sim *simulation) accept(withdrawn []string) {
	version := int64(len(sim.accepted) + 1)
	sim.accepted = append(sim.accepted, envelope(version, textWithKeys(int(version), sim.keys...), withdrawn...))
}

// deliver offers an envelope to a VM and records the version and the withdrawals
// that the VM must have from then on.
func (sim *simulation) deliver(v *vm, e *Envelope) error {
	if _, err := v.state.Offer(e); err != nil {
		return err
	}
	v.version = max(v.version, e.Version)
	for _, digest := range e.Withdrawn {
		v.withdrawn[digest] = true
	}
	return nil
}

// pull updates a VM from a peer: by deltas if requested and available, and by the
// whole envelope if the deltas do not apply.
func (sim *simulation) pull(v, from *vm, deltas bool) error {
	if from.state.Envelope() == nil {
		return nil
	}
	if deltas && 0 < v.version && v.version < from.version {
		u := &Update{WithdrawnSum: from.state.Snapshot().WithdrawnSum()}
		for i := v.version; i < from.version; i++ {
			u.Deltas = append(u.Deltas, NewDelta(sim.accepted[i-1], sim.accepted[i]))
		}
		_, err := v.state.OfferUpdate(u)
		v.version = from.version
		maps.Copy(v.withdrawn, from.withdrawn)
		if !errors.Is(err, ErrGap) {
			return err
		}
	}
	maps.Copy(v.withdrawn, from.withdrawn)
	return sim.deliver(v, from.state.Envelope())
}

// check compares the VM's state with the register and the set of withdrawals.
func (sim *simulation) check(v *vm) error {
	s := v.state.Snapshot()
	if s == nil {
		return nil
	}
	if s.Version != v.version {
		return errors.Errorf("version %d in force, expected version %d", s.Version, v.version)
	}
	if rate := s.Document.Teams[0].Rate; rate != v.version {
		return errors.Errorf("document of version %d in force, expected version %d", rate, v.version)
	}
	for digest := range v.withdrawn {
		if _, err := s.Authenticate(digest); !errors.Is(err, ErrKeyWithdrawn) {
			return errors.Errorf("version %d: withdrawn key %.8s not refused as withdrawn: got %v", s.Version, digest, err)
		}
	}
	if !slices.Equal(v.state.Envelope().Withdrawn, Union(v.state.Envelope().Withdrawn, sim.accepted[s.Version-1].Withdrawn)) {
		return errors.Errorf("version %d: the envelope for peers lacks withdrawals of the accepted envelope", s.Version)
	}
	return nil
}

// stateTrial delivers accepted envelopes late, repeatedly, in any order and from
// peers, pushes withdrawals to VMs directly and restarts VMs.
func stateTrial(t *rapid.T, faults faults) error {
	sim := newSimulation(faults)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		v := rapid.SampledFrom(sim.vms).Draw(t, "vm")
		newest := sim.accepted[len(sim.accepted)-1]
		switch rapid.IntRange(0, 5).Draw(t, "step") {
		case 0:
			sim.accept(newest.Withdrawn)
		case 1:
			sim.accept(append([]string{rapid.SampledFrom(sim.keys).Draw(t, "key")}, newest.Withdrawn...))
		case 2:
			if err := sim.deliver(v, rapid.SampledFrom(sim.accepted).Draw(t, "envelope")); err != nil {
				return err
			}
		case 3:
			from := rapid.SampledFrom(sim.vms).Draw(t, "peer")
			if err := sim.pull(v, from, rapid.Bool().Draw(t, "deltas")); err != nil {
				return err
			}
		case 4:
			key := rapid.SampledFrom(sim.keys).Draw(t, "key")
			if _, err := v.state.Withdraw([]string{key}); err != nil {
				return err
			}
			v.withdrawn[key] = true
		case 5:
			*v = *newVM(faults)
		}
		for _, v := range sim.vms {
			if err := sim.check(v); err != nil {
				return err
			}
		}
	}
	return nil
}

func TestStateAgreesWithRegisterAndSet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { require.NoError(rt, stateTrial(rt, faults{})) })
}

// The oracle detects the omission of each rule of the state.
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
