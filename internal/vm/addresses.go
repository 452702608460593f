package vm

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Addresses implements platform.Directory. The VMs of the caller's failure domain
// come with the others: every one carries its share, and callers choose at random.
func (f *fleet) Addresses(domain string) ([]string, time.Duration) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	if f.p.ready() {
		out = append(out, f.p.settings.Callers)
	}
	for vm, m := range f.members {
		if f.takesCallers(vm, m, later(m.heard, m.started), unheardAfter, now) {
			out = append(out, m.Callers)
		}
	}
	return selectAddresses(out, domain), min(addressLifetime, f.p.settings.Bounds.AddressLifetime)
}

// selectAddresses returns at most maxAddresses, in order. Where there are more, callers of
// each failure domain are told of others of them: with the same selection for all, the VMs
// that it leaves out would get no callers at all. A domain's selection changes only by the
// VMs that come and go, since callers give up connections to addresses that are not named
// any more.
func selectAddresses(all []string, domain string) []string {
	if len(all) > maxAddresses {
		slices.SortFunc(all, func(a, b string) int {
			x, y := xxhash.Sum64String(domain+" "+a), xxhash.Sum64String(domain+" "+b)
			if x != y && x < y {
				return -1
			}
			if x != y {
				return 1
			}
			return strings.Compare(a, b)
		})
		all = all[:maxAddresses]
	}
	slices.Sort(all)
	return all
}
