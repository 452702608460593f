package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ringSlot is a VM's place: its rank in its failure domain as a fraction of the
// domain's size, so that a walk along the ring passes through all domains in turn.
type ringSlot struct {
	vm       string
	domain   string
	hash     uint64
	position float64
}

// ringOrder arranges the VMs, the local one included, so that neighbours are in
// different failure domains wherever the domains' sizes allow it. VMs that know
// the same fleet compute the same ring.
func ringOrder(domains map[string]string) []string {
	byDomain := make(map[string][]ringSlot)
	for vm, domain := range domains {
		byDomain[domain] = append(byDomain[domain], ringSlot{vm: vm, domain: domain, hash: xxhash.Sum64String(vm)})
	}
	all := make([]ringSlot, 0, len(domains))
	for _, slots := range byDomain {
		slices.SortFunc(slots, func(a, b ringSlot) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.vm, b.vm))
		})
		for rank := range slots {
			slots[rank].position = (float64(rank) + 0.5) / float64(len(slots))
		}
		all = append(all, slots...)
	}
	slices.SortFunc(all, func(a, b ringSlot) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.domain, b.domain), cmp.Compare(a.hash, b.hash), cmp.Compare(a.vm, b.vm))
	})
	order := make([]string, len(all))
	for i, slot := range all {
		order[i] = slot.vm
	}
	return order
}

func (s *State) ringNow() []string {
	if s.ringStale {
		domains := map[string]string{s.self.VM: s.self.FailureDomain}
		for vm, m := range s.members {
			domains[vm] = m.node.FailureDomain
		}
		s.ring = ringOrder(domains)
		s.names = slices.Sorted(maps.Keys(s.members))
		s.ringStale = false
	}
	return s.ring
}

// neighbours returns up to count VMs at growing distances along the ring, or
// against it if step is -1. The first is next to the local VM, the others stand
// at powers of the ring's size, so that news crosses the ring in a few hops. A
// VM to be skipped gives its place to the next one.
func (s *State) neighbours(step, count int, skip func(vm string) bool) []string {
	ring := s.ringNow()
	at := slices.Index(ring, s.self.VM)
	var found []string
	for i := range count {
		distance := int(math.Round(math.Pow(float64(len(ring)), float64(i)/float64(count))))
		for ; distance < len(ring); distance++ {
			vm := ring[(at+step*distance+len(ring))%len(ring)]
			if !skip(vm) && !slices.Contains(found, vm) {
				found = append(found, vm)
				break
			}
		}
	}
	return found
}

// partnerSet holds the VMs that the local one sends heartbeats to, and those
// that send theirs to it. It counts VMs that fell silent, because the question
// of how many partners are heard must not forget those that are not.
func (s *State) partnerSet() map[string]struct{} {
	none := func(string) bool { return false }
	set := make(map[string]struct{}, 2*s.cfg.Partners)
	for _, step := range []int{1, -1} {
		for _, vm := range s.neighbours(step, s.cfg.Partners, none) {
			set[vm] = struct{}{}
		}
	}
	return set
}

// Targets returns the peer addresses to send the next round of heartbeats to:
// the next VMs on the ring, passing over those that are gone, and a bounded
// number of seeds and gone VMs in turn, so that a fleet that fell apart finds
// itself again.
func (s *State) Targets(now time.Time) []string {
	gone := func(vm string) bool {
		m := s.members[vm]
		return m.silent || now.Sub(m.lastHeard) > s.cfg.IndirectAfter
	}
	targets := make([]string, 0, s.cfg.Partners+extraTargets)
	for _, vm := range s.neighbours(1, s.cfg.Partners, gone) {
		targets = append(targets, s.members[vm].node.PeerAddress)
	}
	extra := s.unheard(now)
	for range min(extraTargets, len(extra)) {
		targets = append(targets, extra[s.cursor%len(extra)])
		s.cursor++
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// unheard lists addresses that may belong to a VM which is not heard.
func (s *State) unheard(now time.Time) []string {
	heard := map[string]struct{}{s.self.PeerAddress: {}}
	var addresses []string
	for _, m := range s.members {
		if !m.silent && now.Sub(m.lastHeard) <= s.cfg.IndirectAfter {
			heard[m.node.PeerAddress] = struct{}{}
			continue
		}
		addresses = append(addresses, m.node.PeerAddress)
	}
	for _, seed := range s.seeds {
		if _, ok := heard[seed]; !ok {
			addresses = append(addresses, seed)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
