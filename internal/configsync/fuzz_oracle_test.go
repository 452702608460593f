package configsync

import (
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
)

// check holds a VM against the register and the set of withdrawals.
func (w *world) check(m *machine) error {
	s := m.Snapshot()
	if s == nil {
		return nil
	}
	if s.Version < m.version {
		return errors.Errorf("version %d in force after %d", s.Version, m.version)
	}
	m.version = s.Version
	e := w.accepted[s.Version-1]
	if s.Digest != e.Digest {
		return errors.Errorf("version %d holds another document than was accepted", s.Version)
	}
	for _, digest := range e.Withdrawn {
		m.known[digest] = true
	}
	for digest := range m.known {
		if _, err := s.Authenticate(digest); !errors.Is(err, configstate.ErrKeyWithdrawn) {
			return errors.Errorf("version %d: withdrawn key %.8s: %v", s.Version, digest, err)
		}
	}
	if !m.HearsService() {
		return nil
	}
	for i, e := range w.accepted {
		if w.at[i] < w.now-configstate.DefaultFreshFor && e.Version > s.Version {
			return errors.Errorf("fresh at %s with version %d, although version %d was accepted at %s", w.now, s.Version, e.Version, w.at[i])
		}
	}
	return nil
}

// settle ends the faults, lets all that is on its way arrive, and compares what
// operators were told, and what is in force everywhere, with what was accepted.
func (w *world) settle() error {
	w.settling = true
	w.store.Change(func(f *kvtest.Faults) { *f = kvtest.Faults{} })
	w.store.Release(nil)
	for range 2 {
		for _, m := range w.vms {
			for range 3 {
				w.poll(m)
			}
			m.mergeOnce(w.ctx)
		}
	}
	if err := w.observe(); err != nil {
		return err
	}
	for _, m := range w.vms {
		if err := w.check(m); err != nil {
			return err
		}
		if s := m.Snapshot(); s != nil && (int(s.Version) != len(w.accepted) || m.PendingWithdrawals() > 0) {
			return errors.Errorf("in the end version %d of %d, %d withdrawals pending", s.Version, len(w.accepted), m.PendingWithdrawals())
		}
	}
	return w.checkTold()
}

func (w *world) checkTold() error {
	times := make(map[string]int)
	for _, e := range w.accepted {
		times[e.Nonce]++
	}
	for nonce, outcome := range w.told {
		if outcome == kv.TookEffect && times[nonce] != 1 || outcome == kv.DidNot && times[nonce] != 0 {
			return errors.Errorf("change %s was told %q and accepted %d times", nonce, outcome, times[nonce])
		}
	}
	return nil
}
