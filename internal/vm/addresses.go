package vm

import (
	"slices"
	"time"
)

// Addresses implements platform.Directory. The VMs of the caller's failure domain
// come with the others: every one carries its share, and callers choose at random.
func (f *fleet) Addresses(string) ([]string, time.Duration) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	if f.p.ready() {
		out = append(out, f.p.settings.Callers)
	}
	for _, m := range f.members {
		if m.ready && now.Sub(later(m.heard, m.started)) < unheardAfter {
			out = append(out, m.Callers)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxAddresses)], min(addressLifetime, f.p.settings.Bounds.AddressLifetime)
}
