package membership

import (
	"cmp"
	"slices"
	"time"
)

// The default settings.
const (
	DefaultPartners      = 3
	DefaultSuspectAfter  = 3 * time.Second
	DefaultGoneAfter     = 10 * time.Second
	DefaultIndirectAfter = 5 * time.Minute
	DefaultForgetAfter   = 10 * time.Minute
	DefaultRumors        = 8
	// extraTargets is the number of addresses tried in each round beside the
	// partners: seeds not heard from yet and VMs believed gone.
	extraTargets = 2
)

// Config holds the settings of the state machine. Zero values take defaults.
type Config struct {
	// Partners is the number of VMs that this one sends heartbeats to. About as
	// many others send theirs to it, so it hears twice this number directly.
	Partners int
	// SuspectAfter is how long a partner may be silent before it is suspected.
	SuspectAfter time.Duration
	// GoneAfter is how long a partner may be silent before it counts as gone.
	GoneAfter time.Duration
	// IndirectAfter is how long a VM that is no partner may be without news
	// before it counts as gone.
	IndirectAfter time.Duration
	// ForgetAfter is how long a VM that is gone stays listed.
	ForgetAfter time.Duration
	// Rumors is the number of other VMs' reports that ride on each heartbeat.
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

type member struct {
	node       Node
	lastHeard  time.Time
	lastDirect time.Time
	// silent means that this VM or one that passed the word on was a partner of
	// the member and has heard nothing of it for GoneAfter.
	silent bool
}

// pass is a changed report that waits to be passed on.
type pass struct {
	vm   string
	left int
}

// State is the membership state machine of one VM. It is not safe for
// concurrent use.
type State struct {
	cfg     Config
	self    Node
	members map[string]*member
	seeds   []string
	cursor  int
	// rotation holds the VMs in the order in which their reports are passed on,
	// and urgent those that changed, with the number of passes left.
	rotation []string
	urgent   []pass
	counters counters
	// ring caches ringOrder until a VM joins, goes or changes its domain.
	ring []string
	// names holds the members in order, made with the ring.
	names     []string
	ringStale bool
}

// New returns the state of a VM that knows only itself.
func New(cfg Config, self Node) *State {
	return &State{cfg: cfg.withDefaults(), self: self, members: make(map[string]*member), ringStale: true}
}

// Self returns the local VM's latest report.
func (s *State) Self() Node {
	return s.self
}

// Report returns what to tell partners now: the local VM's latest report with
// the counters that changed of late.
func (s *State) Report() Node {
	n := s.self
	n.ServedTokens = s.counters.selected(n.ServedTokens)
	return n
}

// UpdateSelf changes the local VM's report and counts a new sequence number.
// The ID and the incarnation stay as they were.
func (s *State) UpdateSelf(change func(n *Node)) {
	vm, incarnation, sequence := s.self.VM, s.self.Incarnation, s.self.Sequence
	change(&s.self)
	s.self.VM, s.self.Incarnation, s.self.Sequence = vm, incarnation, sequence+1
}

// SetSeeds replaces the addresses at which other VMs may be found, from the
// settings and the VM list. The list lags, so a seed proves nothing.
func (s *State) SetSeeds(addresses []string) {
	s.seeds = slices.Compact(slices.Sorted(slices.Values(addresses)))
}

// Receive takes in a heartbeat or its answer: the sender's own report, heard
// directly, and the reports that it passed on.
func (s *State) Receive(now time.Time, sender Node, passedOn []Node) {
	s.learn(now, sender, true)
	for _, n := range passedOn {
		if n.Silent {
			s.learnSilence(n)
			continue
		}
		s.learn(now, n, false)
	}
}

func (s *State) learn(now time.Time, n Node, direct bool) {
	if n.VM == "" || n.VM == s.self.VM {
		return
	}
	m, known := s.members[n.VM]
	if known && !n.newerThan(&m.node) {
		// An old report tells nothing about the present, even from the VM itself:
		// it may have been held up on the way for longer than the VM lived.
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
	// Reports leave counters out to stay small: those that stand still, and all
	// of them when they are passed on.
	if sameProcess {
		m.node.ServedTokens = merged(served, n.ServedTokens)
	}
	m.lastHeard = now
	m.silent = false
	if direct {
		m.lastDirect = now
	}
	if !known {
		s.rotation = append(s.rotation, n.VM)
	}
	if changed {
		s.ringStale = true
		s.hurry(n.VM)
	}
}

// learnSilence takes in the word that a VM's partners no longer hear it. Any
// newer report of the VM itself refutes it. The word about a newer report
// replaces that about an older one, or a report in between that is still being
// passed on would seem to refute both.
func (s *State) learnSilence(n Node) {
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
	s.hurry(n.VM)
}

// hurry has a change passed on to every partner before anything else, so that a
// VM that leaves is known everywhere in a few rounds.
func (s *State) hurry(vm string) {
	s.urgent = slices.DeleteFunc(s.urgent, func(p pass) bool { return p.vm == vm })
	s.urgent = append(s.urgent, pass{vm: vm, left: 2 * s.cfg.Partners})
}

// Tick looks for partners that fell silent and forgets VMs that have been gone
// for long, and sooner those that had said that they were leaving.
func (s *State) Tick(now time.Time) {
	s.counters.tick(s.self.ServedTokens)
	for vm := range s.partnerSet() {
		m := s.members[vm]
		if !m.silent && now.Sub(m.lastHeard) > s.cfg.GoneAfter {
			m.silent = true
			s.hurry(vm)
		}
	}
	for vm, m := range s.members {
		keep := s.cfg.GoneAfter
		if !m.node.Leaving {
			keep += s.cfg.ForgetAfter
		}
		if now.Sub(m.lastHeard) > keep {
			delete(s.members, vm)
			s.rotation = slices.DeleteFunc(s.rotation, func(other string) bool { return other == vm })
			s.ringStale = true
		}
	}
}

// Rumors returns the reports to pass on with the next heartbeat, a bounded
// number: changes first, then all others in turn.
func (s *State) Rumors() []Node {
	nodes := make([]Node, 0, s.cfg.Rumors)
	for i := range s.urgent[:min(len(s.urgent), s.cfg.Rumors)] {
		s.urgent[i].left--
		nodes = s.appendReport(nodes, s.urgent[i].vm)
	}
	s.urgent = slices.DeleteFunc(s.urgent, func(p pass) bool { return p.left == 0 })
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

// status judges a member. A partner reports every period, so its silence shows
// fast; news of the others comes through several VMs and takes longer.
func (s *State) status(now time.Time, m *member, partner bool) Status {
	silent := now.Sub(m.lastHeard)
	if m.silent {
		return Gone
	}
	if !partner {
		if silent > s.cfg.IndirectAfter {
			return Gone
		}
		return Heard
	}
	switch {
	case silent <= s.cfg.SuspectAfter:
		return Heard
	case silent <= s.cfg.GoneAfter:
		return Suspected
	default:
		return Gone
	}
}

// View returns the picture of the fleet at this time. It shares the maps of the
// reports, which nobody changes after they were received.
func (s *State) View(now time.Time) *View {
	v := &View{At: now, Self: s.self, Members: make([]Member, 0, len(s.members))}
	partners := s.partnerSet()
	for _, vm := range s.names {
		m := s.members[vm]
		_, partner := partners[vm]
		v.Members = append(v.Members, Member{
			Node:      m.node,
			Status:    s.status(now, m, partner),
			Partner:   partner,
			LastHeard: m.lastHeard,
		})
		if !partner {
			continue
		}
		v.PartnersKnown++
		if !m.lastDirect.IsZero() && now.Sub(m.lastDirect) <= s.cfg.SuspectAfter {
			v.PartnersHeard++
		}
	}
	return v
}
