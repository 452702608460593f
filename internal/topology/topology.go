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

// MaxFollowers is the largest number of VMs of a failure domain for one hub. A larger domain has several
// hubs, so that what a hub sends and adds up does not grow with the fleet.
const MaxFollowers = 48

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

// The scopes. ScopeOwn covers the sender alone, ScopeFollowers also the VMs that follow it,
// and ScopeAll all VMs that the sender knows except the receiver. ScopeAllForLeader is
// ScopeAll with the data that only a leader needs. ScopePresence covers no data: it shows
// that the sender is alive.
const (
	ScopeOwn Scope = iota
	ScopeFollowers
	ScopeAll
	ScopeAllForLeader
	ScopePresence
)

// Plan holds the exchange partners of one VM and the hubs of all failure domains.
type Plan struct {
	self VM
	// hubs holds the hubs of each failure domain, the first one being its primary. It is empty in a
	// mesh.
	hubs map[string][]string
	// hubOf holds the hub of each VM. A hub is its own.
	hubOf map[string]string
	// Mesh means that every VM exchanges with every other one.
	Mesh     bool
	Partners []Partner
}

// New computes the plan of self among the other VMs.
func New(self VM, others []VM) *Plan {
	p := &Plan{self: self, Mesh: len(others)+1 <= MeshLimit, hubs: make(map[string][]string), hubOf: make(map[string]string)}
	if p.Mesh {
		for _, vm := range others {
			p.Partners = append(p.Partners, Partner{Name: vm.Name, Weight: 1, Initiate: self.Name < vm.Name})
		}
		return p
	}
	domains := make(map[string][]VM)
	for _, vm := range append([]VM{self}, others...) {
		domains[vm.Domain] = append(domains[vm.Domain], vm)
	}
	for domain, vms := range domains {
		p.divide(domain, vms)
	}
	if p.IsHub() {
		p.addHubPartners(others)
		return p
	}
	p.Partners = []Partner{{Name: p.hubOf[self.Name], Weight: len(others), Initiate: true}}
	p.addStandbys(domains[self.Domain])
	return p
}

// divide chooses the hubs of a failure domain and divides its VMs among them by rendezvous hash: when a
// hub fails, only the VMs that followed it turn to others.
func (p *Plan) divide(domain string, vms []VM) {
	candidates := hubCandidates(vms)
	count := min((len(vms)+MaxFollowers-1)/MaxFollowers, len(candidates))
	for _, vm := range candidates[:count] {
		p.hubs[domain] = append(p.hubs[domain], vm.Name)
	}
	for _, vm := range vms {
		p.hubOf[vm.Name] = highestRank(vm.Name, p.hubs[domain])
	}
	for _, hub := range p.hubs[domain] {
		p.hubOf[hub] = hub
	}
}

// hubCandidates returns the VMs that may be hubs, the best one first.
func hubCandidates(vms []VM) []VM {
	out := slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return vm.Silent })
	slices.SortFunc(out, func(a, b VM) int {
		if a.preferredOver(b) {
			return -1
		}
		return 1
	})
	return out
}

// rank is the weight of a hub for a VM in the rendezvous hash.
func rank(vm, hub string) uint64 { return xxhash.Sum64String(vm + " " + hub) }

// highestRank returns the hub with the highest rank for a VM, "" if there is none.
func highestRank(vm string, hubs []string) string {
	if len(hubs) == 0 {
		return ""
	}
	return slices.MaxFunc(hubs, func(a, b string) int { return cmp.Compare(rank(vm, a), rank(vm, b)) })
}

// addHubPartners adds the VMs that follow this hub, and all other hubs.
func (p *Plan) addHubPartners(others []VM) {
	followers := make(map[string]int)
	for _, hub := range p.hubOf {
		followers[hub]++
	}
	for _, vm := range others {
		switch {
		case p.isHub(vm.Name):
			p.Partners = append(p.Partners, Partner{Name: vm.Name, Weight: followers[vm.Name], Initiate: p.self.Name < vm.Name})
		case p.Follows(vm.Name):
			p.Partners = append(p.Partners, Partner{Name: vm.Name, Weight: 1})
		}
	}
	slices.SortFunc(p.Partners, func(a, b Partner) int { return strings.Compare(a.Name, b.Name) })
}

// maxStandbys is the number of standby hubs that a VM exchanges with beside its hub.
const maxStandbys = 2

// addStandbys adds the VMs that would replace the hub, so that this VM knows which of them
// are reachable before it needs them. If many VMs are unreachable at once, trying one after
// the other would take seconds.
//
// Of the candidates, it takes those that this VM would follow by the rendezvous hash, so that the
// standbys of a large domain are checked by a part of its VMs each.
func (p *Plan) addStandbys(domain []VM) {
	var candidates []string
	for _, vm := range hubCandidates(domain) {
		if vm.Name != p.hubOf[p.self.Name] && vm.Name != p.self.Name && len(candidates) < len(p.hubs[p.self.Domain])-1+maxStandbys {
			candidates = append(candidates, vm.Name)
		}
	}
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(rank(p.self.Name, b), rank(p.self.Name, a)) })
	for _, vm := range candidates[:min(maxStandbys, len(candidates))] {
		p.Partners = append(p.Partners, Partner{Name: vm, Initiate: true})
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

// IsHub reports whether the VM is a hub of its domain. A mesh has no hubs.
func (p *Plan) IsHub() bool { return p.isHub(p.self.Name) }

func (p *Plan) isHub(vm string) bool { return vm != "" && p.hubOf[vm] == vm }

// Follows reports whether another VM reports to this one, which is its hub.
func (p *Plan) Follows(vm string) bool { return vm != p.self.Name && p.hubOf[vm] == p.self.Name }

// Hub returns the VM's hub, "" in a mesh or if the VM is a hub itself.
func (p *Plan) Hub() string {
	if p.IsHub() {
		return ""
	}
	return p.hubOf[p.self.Name]
}

// Source returns the hub through which the VM follows the store, "" if it watches the store itself: the
// primary of a domain does, its other hubs follow the primary.
func (p *Plan) Source() string {
	if !p.IsHub() {
		return p.Hub()
	}
	if primary := p.hubs[p.self.Domain][0]; primary != p.self.Name {
		return primary
	}
	return ""
}

// Hubs returns the names of all hubs but this VM.
func (p *Plan) Hubs() []string {
	var out []string
	for _, hubs := range p.hubs {
		for _, hub := range hubs {
			if hub != p.self.Name {
				out = append(out, hub)
			}
		}
	}
	return out
}

// FallbackSources returns the hubs through which the VM may follow the store when its source fails: those
// of its own domain before those of others, and primaries only for a hub. Among equals the order is
// pseudo-random and stable for this VM, so that VMs whose hub fails fall back to different ones.
func (p *Plan) FallbackSources() []string {
	var out []string
	for domain, hubs := range p.hubs {
		if p.IsHub() {
			hubs = hubs[:1]
		}
		for _, hub := range hubs {
			if hub != p.self.Name && hub != p.Source() && (domain != p.self.Domain || !p.IsHub()) {
				out = append(out, hub)
			}
		}
	}
	own := p.hubs[p.self.Domain]
	slices.SortFunc(out, func(a, b string) int {
		if near := slices.Contains(own, a); near != slices.Contains(own, b) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Compare(rank(p.self.Name, a), rank(p.self.Name, b))
	})
	return out
}

// ScopeFor returns the scope of reports to another VM. A hub reports on all VMs to those that
// follow it, and on itself and these to other hubs. A VM that is not a hub reports on itself,
// to its hub only; other VMs get ScopePresence from it. In a mesh, every VM reports on
// itself.
func (p *Plan) ScopeFor(receiver VM) Scope {
	switch {
	case p.Mesh || p.Hub() == receiver.Name:
		return ScopeOwn
	case !p.IsHub():
		return ScopePresence
	case p.Follows(receiver.Name) && receiver.Leader:
		return ScopeAllForLeader
	case p.Follows(receiver.Name):
		return ScopeAll
	case p.isHub(receiver.Name):
		return ScopeFollowers
	}
	return ScopePresence
}

// Accepts reports whether this VM may add the sums of a report with a scope. VMs do not
// always agree on the hubs: while links are down, two hubs may each count the other as a VM
// that follows it. Sums with a wider scope than the sender's role allows could return to the
// VM that computed them and would then grow with every round.
func (p *Plan) Accepts(sender VM, scope Scope) bool {
	switch {
	case p.Mesh:
		return scope == ScopeOwn
	case p.Follows(sender.Name):
		return scope == ScopeOwn
	case p.IsHub():
		return scope == ScopeFollowers && p.isHub(sender.Name)
	}
	return (scope == ScopeAll || scope == ScopeAllForLeader) && sender.Name == p.Hub()
}
