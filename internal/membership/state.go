package membership

import (
	"cmp"
	"slices"
	"time"
)

// Default values of Config.
const (
	DefaultPartners      = 3
	DefaultSuspectAfter  = 3 * time.Second
	DefaultGoneAfter     = 10 * time.Second
	DefaultIndirectAfter = 5 * time.Minute
	DefaultForgetAfter   = 10 * time.Minute
	DefaultRumors        = 8
	// extraTargets is the number of additional heartbeat targets in each round: seeds
	// whose VM is not alive and VMs that are gone.
	extraTargets = 2
)

// Config holds the settings of the state machine. Zero fields take their defaults.
type Config struct {
	// Partners is the number of VMs that this one sends heartbeats to. About as
	// many others send heartbeats to it, so it exchanges reports directly with twice
	// this number. The default is 3.
	Partners int
	// SuspectAfter is the time without a newer report after which a partner is
	// suspected. The default is 3s.
	SuspectAfter time.Duration
	// GoneAfter is the time without a newer report after which a partner is gone. The
	// default is 10s.
	GoneAfter time.Duration
	// IndirectAfter is the time without a newer report after which a VM that is not a
	// partner is gone. The default is 5m.
	IndirectAfter time.Duration
	// ForgetAfter is how long a VM that is gone stays listed. The default is 10m.
	ForgetAfter time.Duration
	// Rumors is the number of other VMs' reports relayed with each heartbeat. The
	// default is 8.
	Rumors int
}

func (c Config) withDefaults() Config {
	c.Partners = cmp.Or(c.Partners, DefaultPartners)
	c.SuspectAfter = cmp.Or(c.SuspectAfter, DefaultSuspectAfter)
	c.GoneAfter = cmp.Or(c.GoneAfter, DefaultGoneAfter)
	c.IndirectAfter = cmp.Or(c.IndirectAfter, DefaultIndirectAfter)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, DefaultForgetAfter)
	c.Rumors = cmp.Or(c.Rumors, DefaultRumors)
	return c
}

// member is the local state for one other VM.
type member struct {
	node         Node
	lastReportAt time.Time
	lastDirectAt time.Time
	// silent means that a partner of the member, either this VM or one whose finding
	// was relayed to it, has received no newer report of it for GoneAfter.
	silent bool
}

// urgentReport is a changed report that is still to be relayed with the next remaining
// heartbeats.
type urgentReport struct {
	vm        string
	remaining int
}

// State is the membership state machine of one VM. It is not safe for concurrent use.
type State struct {
	cfg             Config
	self            Node
	members         map[string]*member
	seeds           []string
	nextExtraTarget int
	// rotation holds the VMs in the order in which their reports are relayed, and
	// urgent those whose reports have changed, which are relayed first.
	rotation []string
	urgent   []urgentReport
	counters counterSelector
	// ring caches ringOrder. ringStale is set when a VM joins, is removed or
	// reports a change.
	ring []string
	// sortedVMs holds the members' IDs in order. It is computed together with ring.
	sortedVMs []string
	ringStale bool
}

// New returns the state of a VM that has no members but itself.
func New(cfg Config, self Node) *State {
	return &State{cfg: cfg.withDefaults(), self: self, members: make(map[string]*member), ringStale: true}
}

// Self returns the local VM's latest report.
func (s *State) Self() Node {
	return s.self
}

// Report returns the report to send to partners now: the local VM's latest report with
// the recently changed counters, or all counters in every fullReportInterval-th round.
func (s *State) Report() Node {
	n := s.self
	n.ServedTokens = s.counters.forReport(n.ServedTokens)
	return n
}

// UpdateSelf applies change to the local VM's report and increments its sequence
// number. The ID and the incarnation cannot be changed.
func (s *State) UpdateSelf(change func(n *Node)) {
	vm, incarnation, sequence := s.self.VM, s.self.Incarnation, s.self.Sequence
	change(&s.self)
	s.self.VM, s.self.Incarnation, s.self.Sequence = vm, incarnation, sequence+1
}

// SetSeeds replaces the addresses at which other VMs may be found, which come from the
// settings and the VM list. The list lags, so a seed does not imply that a VM exists
// there.
func (s *State) SetSeeds(addresses []string) {
	s.seeds = slices.Compact(slices.Sorted(slices.Values(addresses)))
}

// Receive processes a heartbeat or a heartbeat response: the sender's own report and
// the reports of other VMs that it relayed.
func (s *State) Receive(now time.Time, sender Node, relayed []Node) {
	s.applyReport(now, sender, true)
	for _, n := range relayed {
		if n.Silent {
			s.applySilence(n)
			continue
		}
		s.applyReport(now, n, false)
	}
}

func (s *State) applyReport(now time.Time, n Node, direct bool) {
	if n.VM == "" || n.VM == s.self.VM {
		return
	}
	m, known := s.members[n.VM]
	if known && !n.newerThan(&m.node) {
		// An old report is no evidence that the VM is alive now, even if the VM sent it
		// itself: the network may have delayed it until after the VM died.
		return
	}
	if !known {
		m = &member{}
		s.members[n.VM] = m
	}
	changed := !known || m.silent || m.node.FailureDomain != n.FailureDomain || m.node.Leaving != n.Leaving || m.node.Ready != n.Ready
	served := m.node.ServedTokens
	sameProcess := m.node.Incarnation == n.Incarnation
	m.node = n.clone()
	// Reports omit counters to stay small: direct reports the unchanged ones, relayed
	// reports all of them.
	if sameProcess {
		m.node.ServedTokens = mergeCounters(served, n.ServedTokens)
	}
	m.lastReportAt = now
	m.silent = false
	if direct {
		m.lastDirectAt = now
	}
	if !known {
		s.rotation = append(s.rotation, n.VM)
	}
	if changed {
		s.ringStale = true
		s.markUrgent(n.VM)
	}
}

// applySilence processes a relayed finding that a VM's partners no longer receive its
// reports. Any newer report of the VM itself refutes the finding. A finding about a newer
// report replaces one about an older report; otherwise a report in between that is still
// being relayed would seem to refute both.
func (s *State) applySilence(n Node) {
	m, known := s.members[n.VM]
	if !known || m.node.newerThan(&n) {
		return
	}
	if m.silent && !n.newerThan(&m.node) {
		return
	}
	served := m.node.ServedTokens
	m.node = n
	m.node.Silent = false
	m.node.ServedTokens = served
	m.silent = true
	s.markUrgent(n.VM)
}

// markUrgent schedules a VM's report to be relayed to every partner before all other
// reports, so that all VMs learn within a few rounds that a VM leaves.
func (s *State) markUrgent(vm string) {
	s.urgent = slices.DeleteFunc(s.urgent, func(r urgentReport) bool { return r.vm == vm })
	s.urgent = append(s.urgent, urgentReport{vm: vm, remaining: 2 * s.cfg.Partners})
}

// Tick marks partners that have been silent for GoneAfter. It removes VMs without a newer
// report for GoneAfter plus ForgetAfter, and VMs that had announced that they were leaving
// already after GoneAfter.
func (s *State) Tick(now time.Time) {
	s.counters.startRound(s.self.ServedTokens)
	for vm := range s.partnerSet() {
		m := s.members[vm]
		if !m.silent && now.Sub(m.lastReportAt) > s.cfg.GoneAfter {
			m.silent = true
			s.markUrgent(vm)
		}
	}
	for vm, m := range s.members {
		removeAfter := s.cfg.GoneAfter
		if !m.node.Leaving {
			removeAfter += s.cfg.ForgetAfter
		}
		if now.Sub(m.lastReportAt) > removeAfter {
			delete(s.members, vm)
			s.rotation = slices.DeleteFunc(s.rotation, func(other string) bool { return other == vm })
			s.ringStale = true
		}
	}
}

// Rumors returns the reports to relay with the next heartbeat, at most Config.Rumors:
// changed reports first, then all others in turn.
func (s *State) Rumors() []Node {
	nodes := make([]Node, 0, s.cfg.Rumors)
	for i := range s.urgent[:min(len(s.urgent), s.cfg.Rumors)] {
		s.urgent[i].remaining--
		nodes = s.appendReport(nodes, s.urgent[i].vm)
	}
	s.urgent = slices.DeleteFunc(s.urgent, func(r urgentReport) bool { return r.remaining == 0 })
	for range len(s.rotation) {
		if len(nodes) >= s.cfg.Rumors {
			break
		}
		vm := s.rotation[0]
		s.rotation = s.rotation[1:]
		if m, known := s.members[vm]; !known {
			continue
		} else if !m.silent {
			nodes = s.appendReport(nodes, vm)
		}
		s.rotation = append(s.rotation, vm)
	}
	return nodes
}

func (s *State) appendReport(nodes []Node, vm string) []Node {
	m, known := s.members[vm]
	if !known {
		return nodes
	}
	n := m.node
	n.ServedTokens = nil
	n.Silent = m.silent
	return append(nodes, n)
}

// status returns the status of a member. A partner reports every period, so its silence
// is detected quickly; reports of other members are relayed by several VMs and take
// longer.
func (s *State) status(now time.Time, m *member, partner bool) Status {
	sinceReport := now.Sub(m.lastReportAt)
	if m.silent {
		return Gone
	}
	if !partner {
		if sinceReport > s.cfg.IndirectAfter {
			return Gone
		}
		return Alive
	}
	switch {
	case sinceReport <= s.cfg.SuspectAfter:
		return Alive
	case sinceReport <= s.cfg.GoneAfter:
		return Suspected
	default:
		return Gone
	}
}

// View returns a snapshot of the fleet at the given time. It shares the maps of the
// reports, which are not modified after they were received.
func (s *State) View(now time.Time) *View {
	v := &View{At: now, Self: s.self, Members: make([]Member, 0, len(s.members))}
	partners := s.partnerSet()
	for _, vm := range s.sortedVMs {
		m := s.members[vm]
		_, partner := partners[vm]
		v.Members = append(v.Members, Member{
			Node:         m.node,
			Status:       s.status(now, m, partner),
			Partner:      partner,
			LastReportAt: m.lastReportAt,
		})
		if !partner {
			continue
		}
		v.PartnersTotal++
		if !m.lastDirectAt.IsZero() && now.Sub(m.lastDirectAt) <= s.cfg.SuspectAfter {
			v.PartnersAlive++
		}
	}
	return v
}
