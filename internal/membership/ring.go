package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ringSlot is a VM's place on the ring. The position is its rank in its failure domain
// as a fraction of the domain's size, so that a walk along the ring visits all domains
// in turn.
type ringSlot struct {
	vm       string
	domain   string
	hash     uint64
	position float64
}

// ringOrder returns the VMs, including the local one, in the order of the ring.
// Neighbours are in different failure domains if there are several domains of equal size.
// With other sizes they may share one even where another order would separate them: with
// domains of 2, 1 and 1 VMs the two VMs of the first are the ends of the order, and so
// neighbours. VMs with the same view of the fleet compute the same ring.
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

func (s *State) currentRing() []string {
	if s.ringStale {
		domains := map[string]string{s.self.VM: s.self.FailureDomain}
		for vm, m := range s.members {
			domains[vm] = m.node.FailureDomain
		}
		s.ring = ringOrder(domains)
		s.sortedVMs = slices.Sorted(maps.Keys(s.members))
		s.ringStale = false
	}
	return s.ring
}

// neighbours returns up to count VMs at growing distances on the ring, in its order if
// direction is 1 and in reverse order if it is -1. The first is next to the local VM. The
// distances of the others are fractional powers of the ring's size, so that gossip crosses
// the ring in a few hops. A VM that was already selected, or for which skip returns true,
// is replaced by the next one in the same direction.
func (s *State) neighbours(direction, count int, skip func(vm string) bool) []string {
	ring := s.currentRing()
	at := slices.Index(ring, s.self.VM)
	var found []string
	for i := range count {
		distance := int(math.Round(math.Pow(float64(len(ring)), float64(i)/float64(count))))
		for ; distance < len(ring); distance++ {
			vm := ring[(at+direction*distance+len(ring))%len(ring)]
			if !skip(vm) && !slices.Contains(found, vm) {
				found = append(found, vm)
				break
			}
		}
	}
	return found
}

// partnerSet returns the VMs that the local one sends heartbeats to and those that send
// heartbeats to it. It includes silent VMs, because View.PartnersTotal must count the
// partners that are not alive: otherwise a VM that has lost most of its partners would
// still count a majority of them as alive.
func (s *State) partnerSet() map[string]struct{} {
	skipNone := func(string) bool { return false }
	set := make(map[string]struct{}, 2*s.cfg.Partners)
	for _, direction := range []int{1, -1} {
		for _, vm := range s.neighbours(direction, s.cfg.Partners, skipNone) {
			set[vm] = struct{}{}
		}
	}
	return set
}

// Targets returns the peer addresses for the next round of heartbeats: the neighbours on
// the ring, with gone VMs replaced, and up to extraTargets seeds and gone VMs in rotation,
// so that a partitioned fleet merges again.
func (s *State) Targets(now time.Time) []string {
	gone := func(vm string) bool {
		m := s.members[vm]
		return m.silent || now.Sub(m.lastReportAt) > s.cfg.IndirectAfter
	}
	targets := make([]string, 0, s.cfg.Partners+extraTargets)
	for _, vm := range s.neighbours(1, s.cfg.Partners, gone) {
		targets = append(targets, s.members[vm].node.PeerAddress)
	}
	extra := s.extraAddresses(now)
	for range min(extraTargets, len(extra)) {
		targets = append(targets, extra[s.nextExtraTarget%len(extra)])
		s.nextExtraTarget++
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// extraAddresses returns the addresses of gone VMs, and those seeds that belong neither to
// the local VM nor to a VM that is not gone.
func (s *State) extraAddresses(now time.Time) []string {
	notGone := map[string]struct{}{s.self.PeerAddress: {}}
	var addresses []string
	for _, m := range s.members {
		if !m.silent && now.Sub(m.lastReportAt) <= s.cfg.IndirectAfter {
			notGone[m.node.PeerAddress] = struct{}{}
			continue
		}
		addresses = append(addresses, m.node.PeerAddress)
	}
	for _, seed := range s.seeds {
		if _, ok := notGone[seed]; !ok {
			addresses = append(addresses, seed)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
