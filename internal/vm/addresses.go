package vm

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Addresses implements platform.Directory. VMs of all failure domains of the caller's region are
// returned, not only those of its domain: callers choose an address at random, and every VM has to
// get its share of the load. VMs of other regions are returned only if the caller's region has none:
// requests are longer on their way there, and may not be sent to every region. Of these VMs, the ones that
// reach the upstreams of most services are returned.
func (f *fleet) Addresses(region, domain string) ([]string, time.Duration) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	regions := f.process.settings.Regions
	var near, far bestReach
	add := func(vmDomain, address string, cut int) {
		if regions[vmDomain] == region {
			near.add(address, cut)
		} else {
			far.add(address, cut)
		}
	}
	if f.process.ready() {
		add(f.process.settings.FailureDomain, f.process.settings.Callers, f.countCut(f.process.settings.VM, f.process.unreachable(), now))
	}
	for vm, m := range f.members {
		if f.isReady(vm, m, later(m.lastReport, m.firstSeen), peerTimeout, now) {
			add(m.Domain, m.Callers, f.countCut(vm, m.unreachable, now))
		}
	}
	if len(near.addresses) == 0 {
		near = far
	}
	return selectAddresses(near.addresses, domain), min(addressLifetime, f.process.settings.Bounds.AddressLifetime)
}

// bestReach holds the addresses of the VMs that lack the fewest services.
type bestReach struct {
	addresses []string
	// cut is the number of services that each of them lacks.
	cut int
}

// add adds the address of a VM that does not reach the upstreams of some services.
func (b *bestReach) add(address string, cut int) {
	if cut < b.cut {
		b.addresses = nil
	}
	if len(b.addresses) == 0 {
		b.cut = cut
	}
	if cut == b.cut {
		b.addresses = append(b.addresses, address)
	}
}

// selectAddresses returns at most maxAddresses addresses, sorted. If there are more, callers
// of each failure domain get a different selection: with one selection for all, the VMs left
// out would get no callers at all. A domain's selection changes only with the VMs that join
// or leave, since callers close connections to addresses that are no longer returned.
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
