package topology

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MeshLimit is the number of VMs up to which all exchange with all: 66 pairs, each four
// times a second, cost a VM under a hundredth of a core.
const MeshLimit = 12

// VM is one VM as another one knows it.
type VM struct {
	Name, Domain string
	// Capacity is the bandwidth of the VM's link in Mbit/s. The widest is the hub.
	Capacity float64
	// Silent VMs have not been heard for so long that they cannot serve as hubs.
	Silent bool
	// Leads says that the VM gives orders to engines.
	Leads bool
}

// Partner is a VM to exchange reports with.
type Partner struct {
	Name string
	// Weight is how many VMs it reports for; zero for a standby, which only has to be
	// known to be there.
	Weight int
	// Call says that this side starts the exchanges.
	Call bool
}

// Scope is what a report to another VM covers.
type Scope int

// The scopes. ScopeOwn is this VM alone, ScopeDomain the VMs that report to it, and
// ScopeAll everyone it knows of but the receiver. ScopeAllForLeader is the same with what only
// a leader needs. ScopePresence says no more than that the sender is there.
const (
	ScopeOwn Scope = iota
	ScopeDomain
	ScopeAll
	ScopeAllForLeader
	ScopePresence
)

// Plan is the place of one VM among the others.
type Plan struct {
	self VM
	hubs map[string]string
	// Mesh says that all exchange with all.
	Mesh     bool
	Partners []Partner
}

// New works out the place of self among the others.
func New(self VM, others []VM) *Plan {
	p := &Plan{self: self, Mesh: len(others)+1 <= MeshLimit, hubs: make(map[string]string)}
	if p.Mesh {
		for _, vm := range others {
			p.Partners = append(p.Partners, Partner{Name: vm.Name, Weight: 1, Call: self.Name < vm.Name})
		}
		return p
	}
	sizes, best := make(map[string]int), make(map[string]VM)
	for _, vm := range append([]VM{self}, others...) {
		sizes[vm.Domain]++
		if hub, ok := best[vm.Domain]; !vm.Silent && (!ok || vm.goesBefore(hub)) {
			best[vm.Domain] = vm
			p.hubs[vm.Domain] = vm.Name
		}
	}
	if !p.IsHub() {
		p.Partners = []Partner{{Name: p.hubs[self.Domain], Weight: len(others), Call: true}}
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
			p.Partners = append(p.Partners, Partner{Name: hub, Weight: sizes[domain], Call: self.Name < hub})
		}
	}
	slices.SortFunc(p.Partners, func(a, b Partner) int { return strings.Compare(a.Name, b.Name) })
	return p
}

// standbys is how many VMs after its hub a VM keeps in touch with.
const standbys = 2

// addStandbys adds the VMs that would take the hub's place, so that it is known which of
// them can be reached when that is needed. Where many VMs are cut off at once, trying one
// after the other would take seconds.
func (p *Plan) addStandbys(others []VM) {
	var next []VM
	for _, vm := range others {
		if vm.Domain == p.self.Domain && !vm.Silent && vm.Name != p.hubs[p.self.Domain] {
			next = append(next, vm)
		}
	}
	slices.SortFunc(next, func(a, b VM) int {
		if a.goesBefore(b) {
			return -1
		}
		return 1
	})
	for _, vm := range next[:min(standbys, len(next))] {
		p.Partners = append(p.Partners, Partner{Name: vm.Name, Call: true})
	}
}

// goesBefore orders the VMs of a domain by how well they serve as its hub.
func (vm VM) goesBefore(other VM) bool {
	if vm.Capacity != other.Capacity {
		return vm.Capacity > other.Capacity
	}
	return vm.Name < other.Name
}

// IsHub reports whether the VM is the hub of its domain. In a mesh nobody is.
func (p *Plan) IsHub() bool { return !p.Mesh && p.hubs[p.self.Domain] == p.self.Name }

// Hub returns the hub of the VM's domain, "" in a mesh or if the VM is the hub itself.
func (p *Plan) Hub() string {
	if p.Mesh || p.IsHub() {
		return ""
	}
	return p.hubs[p.self.Domain]
}

// OtherHubs names the hubs of the other domains, in an order of this VM's own: VMs whose hub
// fails turn to different ones.
func (p *Plan) OtherHubs() []string {
	var out []string
	for domain, hub := range p.hubs {
		if domain != p.self.Domain {
			out = append(out, hub)
		}
	}
	draw := func(hub string) uint64 { return xxhash.Sum64String(p.self.Name + " " + hub) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(draw(a), draw(b)) })
	return out
}

// ScopeFor returns what a report to another VM has to cover: a hub tells its own VMs of
// everyone, and other hubs of its domain. A VM that is no hub tells only its hub what it does.
func (p *Plan) ScopeFor(receiver VM) Scope {
	switch {
	case p.Mesh || p.Hub() == receiver.Name:
		return ScopeOwn
	case !p.IsHub():
		return ScopePresence
	case receiver.Domain == p.self.Domain && receiver.Leads:
		return ScopeAllForLeader
	case receiver.Domain == p.self.Domain:
		return ScopeAll
	}
	return ScopeDomain
}

// Accepts reports whether the sums of a report count here. VMs do not always agree on who
// is a hub: where links are cut, a domain may have two. A report that covers more than its
// sender's place allows would come back to where it was summed, and grow with each turn.
func (p *Plan) Accepts(sender VM, scope Scope) bool {
	near := sender.Domain == p.self.Domain
	switch {
	case p.Mesh:
		return scope == ScopeOwn
	case p.IsHub() && near:
		return scope == ScopeOwn
	case p.IsHub():
		return scope == ScopeDomain
	}
	return (scope == ScopeAll || scope == ScopeAllForLeader) && sender.Name == p.hubs[p.self.Domain]
}
