package vm

import (
	"github.com/chestnutarch/chestnutarch/internal/aggregate"
	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// roster is which VMs a hub vouches for: those that take callers, as it hears from themselves
// or from the hubs of their domains. Each report would else name all of the fleet.
type roster struct {
	version *aggregate.Version
	vms     map[string]rosterEntry
	// forgotten is the number up to which VMs that are silent are not remembered.
	forgotten uint64
}

type rosterEntry struct {
	// near VMs are of the own failure domain.
	near, alive bool
	changed     uint64
}

func newRoster(version *aggregate.Version) *roster {
	return &roster{version: version, vms: make(map[string]rosterEntry)}
}

// set notes whether a VM takes callers.
func (r *roster) set(vm string, near, alive bool) {
	e, known := r.vms[vm]
	if (known || alive) && (e.alive != alive || e.near != near) {
		r.vms[vm] = rosterEntry{near: near, alive: alive, changed: r.version.Next()}
	}
}

// maxSilent is how many VMs may be remembered that take no callers, beyond as many as do.
const maxSilent = 64

// keep notes that VMs that are not among the known ones take no callers, and forgets those
// that are silent once they are many.
func (r *roster) keep(known func(vm string) bool) {
	silent := 0
	for vm, e := range r.vms {
		if e.alive && known(vm) {
			continue
		}
		r.set(vm, e.near, false)
		silent++
	}
	if silent <= maxSilent+len(r.vms)/2 {
		return
	}
	for vm, e := range r.vms {
		if !e.alive {
			delete(r.vms, vm)
		}
	}
	r.forgotten = r.version.Number()
}

// remembers reports whether all changes since a number are remembered.
func (r *roster) remembers(number uint64) bool { return number >= r.forgotten }

// since names the VMs that take callers, or do so no more, as they have changed since a
// number; since zero, all that do.
func (r *roster) since(scope topology.Scope, number uint64, except string) (alive, silent []string) {
	for vm, e := range r.vms {
		if vm == except || e.changed <= number || (scope == topology.ScopeDomain && !e.near) {
			continue
		}
		if e.alive {
			alive = append(alive, vm)
		} else if number > 0 {
			silent = append(silent, vm)
		}
	}
	return alive, silent
}
