package vm

import (
	"slices"
	"time"
)

// eligibleToLead reports whether this VM stands for election: hubs do, or all VMs of a small
// fleet. If all VMs of a large fleet did, each vacancy would cost three store calls per VM.
func (f *fleet) eligibleToLead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan != nil && f.plan.Hub() == "" && !f.defersToEarlierBuild(time.Now())
}

// defersToEarlierBuild reports whether a VM of a build that knows no eras of the store may lead. Its tokens are lower than
// those of this build, so that the lead passes to this build once, after the last such VM is gone. It must be called with
// the lock held.
func (f *fleet) defersToEarlierBuild(now time.Time) bool {
	if f.process.store.Era() == 0 {
		return false
	}
	hubs := f.plan.Hubs()
	for vm, m := range f.members {
		if m.ignoresEras && m.registered && now.Sub(m.lastReport) < peerTimeout && (len(hubs) == 0 || slices.Contains(hubs, vm)) {
			return true
		}
	}
	return false
}
