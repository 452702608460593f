package topology

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MeshLimit is the largest number of VMs that form a full mesh: 66 pairs, each with four
// exchanges a second, cost a VM less than a hundredth of a core.
const MeshLimit = 12

// VM describes a VM for the computation of a Plan.
type VM struct {
	Name, Domain string
	// Capacity is the bandwidth of the VM's link in Mbit/s. The VM with the widest link of
	// a failure domain is its hub.
	Capacity float64
	// Silent means that the VM has not reported for so long that it cannot be a hub.
	Silent bool
	// Leader means that the VM is the leader, which sends orders to engines.
	Leader bool
}

// Partner is a VM to exchange reports with.
type Partner struct {
	Name string
	// Weight is the number of VMs that the partner reports for; zero for a standby, which
	// is only checked to be reachable.
	Weight int
	// Initiate means that this VM starts the exchanges.
	Initiate bool
}

// Scope is what a report to another VM covers.
type Scope int

// The scopes. ScopeOwn covers the sender alone, ScopeDomain also the VMs that report to it,
// and ScopeAll all VMs that the sender knows except the receiver. ScopeAllForLeader is
// ScopeAll with the data that only a leader needs. ScopePresence covers no data: it shows
// that the sender is alive.
const (
	ScopeOwn Scope = iota
	ScopeDomain
	ScopeAll
	ScopeAllForLeader
	ScopePresence
)

// Plan holds the exchange partners of one VM and the hubs of all failure domains.
type Plan struct {
	self VM
	// hubs holds the name of each failure domain's hub. It is empty in a mesh.
	hubs map[string]string
	// Mesh means that every VM exchanges with every other one.
	Mesh     bool
	Partners []Partner
}

// New computes the plan of self among the other VMs.
func New(self VM, others []VM) *Plan {
	p := &Plan{self: self, Mesh: len(others)+1 <= MeshLimit, hubs: make(map[string]string)}
	if p.Mesh {
		for _, vm := range others {
			p.Partners = append(p.Partners, Partner{Name: vm.Name, Weight: 1, Initiate: self.Name < vm.Name})
		}
		return p
	}
	sizes, hubs := make(map[string]int), make(map[string]VM)
	for _, vm := range append([]VM{self}, others...) {
		sizes[vm.Domain]++
		if current, ok := hubs[vm.Domain]; !vm.Silent && (!ok || vm.preferredOver(current)) {
			hubs[vm.Domain] = vm
			p.hubs[vm.Domain] = vm.Name
		}
	}
	if !p.IsHub() {
		p.Partners = []Partner{{Name: p.hubs[self.Domain], Weight: len(others), Initiate: true}}
		p.addStandbys(others)
		return p
	}
	for _, vm := range others {
		if vm.Domain == self.Domain {
			p.Partners = append(p.Partners, Partner{Name: vm.Name, Weight: 1})
		}
	}
	for domain, hub := range p.hubs {
		if domain != self.Domain {
			p.Partners = append(p.Partners, Partner{Name: hub, Weight: sizes[domain], Initiate: self.Name < hub})
		}
	}
	slices.SortFunc(p.Partners, func(a, b Partner) int { return strings.Compare(a.Name, b.Name) })
	return p
}

// maxStandbys is the number of standby hubs that a VM exchanges with beside its hub.
const maxStandbys = 2

// addStandbys adds the VMs that would replace the hub, so that this VM knows which of them
// are reachable before it needs them. If many VMs are unreachable at once, trying one after
// the other would take seconds.
func (p *Plan) addStandbys(others []VM) {
	var candidates []VM
	for _, vm := range others {
		if vm.Domain == p.self.Domain && !vm.Silent && vm.Name != p.hubs[p.self.Domain] {
			candidates = append(candidates, vm)
		}
	}
	slices.SortFunc(candidates, func(a, b VM) int {
		if a.preferredOver(b) {
			return -1
		}
		return 1
	})
	for _, vm := range candidates[:min(maxStandbys, len(candidates))] {
		p.Partners = append(p.Partners, Partner{Name: vm.Name, Initiate: true})
	}
}

// preferredOver orders the VMs of a domain by their suitability as its hub: by capacity,
// then by name.
func (vm VM) preferredOver(other VM) bool {
	if vm.Capacity != other.Capacity {
		return vm.Capacity > other.Capacity
	}
	return vm.Name < other.Name
}

// IsHub reports whether the VM is the hub of its domain. A mesh has no hubs.
func (p *Plan) IsHub() bool { return !p.Mesh && p.hubs[p.self.Domain] == p.self.Name }

// Hub returns the hub of the VM's domain, "" in a mesh or if the VM is the hub itself.
func (p *Plan) Hub() string {
	if p.Mesh || p.IsHub() {
		return ""
	}
	return p.hubs[p.self.Domain]
}

// OtherHubs returns the names of the hubs of the other domains in a pseudo-random order that
// is stable for this VM, so that VMs whose hub fails fall back to different ones.
func (p *Plan) OtherHubs() []string {
	var out []string
	for domain, hub := range p.hubs {
		if domain != p.self.Domain {
			out = append(out, hub)
		}
	}
	rank := func(hub string) uint64 { return xxhash.Sum64String(p.self.Name + " " + hub) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return out
}

// ScopeFor returns the scope of reports to another VM. A hub reports on all VMs to those of
// its own domain, and on its domain to other hubs. A VM that is not a hub reports on itself,
// to its hub only; other VMs get ScopePresence from it. In a mesh, every VM reports on
// itself.
func (p *Plan) ScopeFor(receiver VM) Scope {
	switch {
	case p.Mesh || p.Hub() == receiver.Name:
		return ScopeOwn
	case !p.IsHub():
		return ScopePresence
	case receiver.Domain == p.self.Domain && receiver.Leader:
		return ScopeAllForLeader
	case receiver.Domain == p.self.Domain:
		return ScopeAll
	}
	return ScopeDomain
}

// Accepts reports whether this VM may add the sums of a report with a scope. VMs do not
// always agree on the hubs: while links are down, a domain may have two. Sums with a wider
// scope than the sender's role allows could return to the VM that computed them and would
// then grow with every round.
func (p *Plan) Accepts(sender VM, scope Scope) bool {
	sameDomain := sender.Domain == p.self.Domain
	switch {
	case p.Mesh:
		return scope == ScopeOwn
	case p.IsHub() && sameDomain:
		return scope == ScopeOwn
	case p.IsHub():
		return scope == ScopeDomain
	}
	return (scope == ScopeAll || scope == ScopeAllForLeader) && sender.Name == p.hubs[p.self.Domain]
}
