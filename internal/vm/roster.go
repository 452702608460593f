package vm

import (
	"github.com/chestnutarch/chestnutarch/internal/aggregate"
	"github.com/chestnutarch/chestnutarch/internal/changelog"
	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// roster records the VMs that a hub lists as taking callers, from their own reports or those
// of other hubs. It numbers the changes, since otherwise each report would have to list all
// VMs of the fleet.
type roster struct {
	version *aggregate.Version
	vms     map[string]rosterEntry
	// changes holds the changes of vms.
	changes *changelog.Log[string]
	// compactedVersion is the version up to which removals are no longer known.
	compactedVersion uint64
}

type rosterEntry struct {
	// follows is set for VMs that follow this one.
	follows, takesCallers bool
}

func newRoster(version *aggregate.Version) *roster {
	return &roster{version: version, vms: make(map[string]rosterEntry), changes: changelog.New[string]()}
}

// set records whether a VM takes callers.
func (r *roster) set(vm string, follows, takesCallers bool) {
	e, known := r.vms[vm]
	if (known || takesCallers) && (e.takesCallers != takesCallers || e.follows != follows) {
		r.vms[vm] = rosterEntry{follows: follows, takesCallers: takesCallers}
		r.changes.Record(vm, r.version.Next())
	}
}

// maxRemovedEntries is the number of entries kept for VMs that take no callers, in addition
// to half the size of the roster.
const maxRemovedEntries = 64

// removeUnknown records that VMs for which known returns false take no callers. Once there
// are too many entries of VMs that take no callers, it drops them all.
func (r *roster) removeUnknown(known func(vm string) bool) {
	inactive := 0
	for vm, e := range r.vms {
		if e.takesCallers && known(vm) {
			continue
		}
		r.set(vm, e.follows, false)
		inactive++
	}
	if inactive <= maxRemovedEntries+len(r.vms)/2 {
		return
	}
	for vm, e := range r.vms {
		if !e.takesCallers {
			delete(r.vms, vm)
			r.changes.Remove(vm)
		}
	}
	r.compactedVersion = r.version.Number()
}

// covers reports whether all changes since a version are still known.
func (r *roster) covers(version uint64) bool { return version >= r.compactedVersion }

// since returns the VMs that have started (alive) and stopped (silent) taking callers since a
// version. For version zero it returns all VMs that take callers.
func (r *roster) since(scope topology.Scope, version uint64, except string) (alive, silent []string) {
	r.changes.Since(version, func(vm string, _ uint64) bool {
		e := r.vms[vm]
		switch {
		case vm == except || (scope == topology.ScopeFollowers && !e.follows):
		case e.takesCallers:
			alive = append(alive, vm)
		case version > 0:
			silent = append(silent, vm)
		}
		return true
	})
	return alive, silent
}
