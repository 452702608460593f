package configsync

import (
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
)

// check compares a VM with the register and the set of withdrawals.
func (sim *simulation) check(vm *simulatedVM) error {
	s := vm.Snapshot()
	if s == nil {
		return nil
	}
	if s.Version < vm.version {
		return errors.Errorf("version %d in force after newer version %d", s.Version, vm.version)
	}
	vm.version = s.Version
	e := sim.accepted[s.Version-1]
	if s.Digest != e.Digest {
		return errors.Errorf("version %d: the document in force is not the accepted one", s.Version)
	}
	for _, digest := range e.Withdrawn {
		vm.withdrawn[digest] = true
	}
	for digest := range vm.withdrawn {
		if _, err := s.Authenticate(digest); !errors.Is(err, configstate.ErrKeyWithdrawn) {
			return errors.Errorf("version %d: withdrawn key %.8s not refused as withdrawn: got %v", s.Version, digest, err)
		}
	}
	if !vm.ServiceFresh() {
		return nil
	}
	for i, e := range sim.accepted {
		if sim.acceptedAt[i] < sim.now-configstate.DefaultFreshFor && e.Version > s.Version {
			return errors.Errorf("fresh at %s with version %d, although version %d was accepted at %s", sim.now, s.Version, e.Version, sim.acceptedAt[i])
		}
	}
	return nil
}

// settle ends the faults, delivers all messages in transit, and compares the
// outcomes reported to operators and the configuration in force at every VM with
// the accepted envelopes.
func (sim *simulation) settle() error {
	sim.settling = true
	sim.store.UpdateFaults(func(f *kvtest.Faults) { *f = kvtest.Faults{} })
	sim.store.Release(nil)
	for range 2 {
		for _, vm := range sim.vms {
			for range 3 {
				sim.poll(vm)
			}
			vm.mergeOnce(sim.ctx)
		}
	}
	if err := sim.observe(); err != nil {
		return err
	}
	for _, vm := range sim.vms {
		if err := sim.check(vm); err != nil {
			return err
		}
		if s := vm.Snapshot(); s != nil && (int(s.Version) != len(sim.accepted) || vm.PendingWithdrawals() > 0) {
			return errors.Errorf("after settling: version %d in force of %d accepted, %d withdrawals pending, expected the last version and none pending", s.Version, len(sim.accepted), vm.PendingWithdrawals())
		}
	}
	return sim.checkReported()
}

func (sim *simulation) checkReported() error {
	times := make(map[string]int)
	for _, e := range sim.accepted {
		times[e.Nonce]++
	}
	for nonce, outcome := range sim.reported {
		if outcome == kv.TookEffect && times[nonce] != 1 || outcome == kv.NoEffect && times[nonce] != 0 {
			return errors.Errorf("change %s: outcome %q reported, but accepted %d times", nonce, outcome, times[nonce])
		}
	}
	return nil
}
