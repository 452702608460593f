package vm

import (
	"context"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// report is what this VM tells another one.
func (f *fleet) report(receiver string) *peerpb.VMReport {
	_, leads := f.p.candidate.Authority()
	out := &peerpb.VMReport{
		Vm: f.p.settings.VM, Incarnation: f.incarnation, Sequence: f.sequence.Add(1),
		CallerAddress: f.p.settings.Callers, PeerAddress: f.p.peerAddress(), Ready: f.p.ready(), Leads: leads,
		ConfigurationRevision: f.p.configuration().Revision, ViewRevision: f.p.tracker.at(),
		Leaving: f.p.gone.names(),
	}
	scope, since := f.address(out, receiver)
	out.Scope = int32(scope)
	if scope != topology.ScopePresence {
		now := time.Now()
		f.sums.setOwn(f.own, now)
		f.sums.fill(out, scope, receiver, since, now)
	}
	if leads || (scope != topology.ScopeOwn && scope != topology.ScopePresence) {
		f.p.planner.contents.describe(out, receiver)
	}
	return out
}

// address puts into a report what was taken in of the receiver's reports. It returns the
// report's scope, and the version that the receiver has acknowledged in that scope.
func (f *fleet) address(out *peerpb.VMReport, receiver string) (scope topology.Scope, since uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[receiver]
	if m == nil || f.plan == nil {
		return topology.ScopePresence, 0
	}
	out.AcknowledgedIncarnation = m.Incarnation
	out.Acknowledged, out.AcknowledgedScope = m.taken.version, int32(m.taken.scope)
	scope = f.plan.ScopeFor(topology.VM{Name: receiver, Domain: m.Domain, Leads: m.leads})
	if m.acknowledged.scope == scope {
		since = m.acknowledged.version
	}
	return scope, since
}

// own is the work of this VM.
func (f *fleet) own() work {
	return work{
		admitted: f.p.limiter.Admitted(), asked: f.p.limiter.Asked(), demand: f.p.assigner.Demand(), loads: f.p.assigner.Loads(), inUse: f.p.assigner.InUse(),
	}
}

// noteRoster notes on a hub which VMs take callers. It must be called with the lock held.
func (f *fleet) noteRoster(now time.Time) {
	if !f.plan.IsHub() {
		return
	}
	f.sums.setRoster(func(r *roster) {
		for vm, m := range f.members {
			near := m.Domain == f.p.settings.FailureDomain
			r.set(vm, near, f.takesCallers(vm, m, m.heard, unheardAfter/2, now))
		}
		r.keep(func(vm string) bool { return f.members[vm] != nil })
	})
}

// take takes in what another VM tells.
func (f *fleet) take(ctx context.Context, r *peerpb.VMReport) {
	now := time.Now()
	// What two reports of a VM tell has to be taken in in the order of their acceptance.
	f.taking.Lock()
	defer f.taking.Unlock()
	f.mu.Lock()
	m := f.members[r.Vm]
	if m != nil && r.Incarnation > m.Incarnation {
		m = f.startedAgain(m, r, now)
	}
	if m == nil || m.Incarnation != r.Incarnation || r.Sequence <= m.sequence {
		f.mu.Unlock()
		return
	}
	m.sequence, m.heard, m.ready, m.leads = r.Sequence, now, r.Ready, r.Leads
	m.acknowledged = progress{}
	if r.AcknowledgedIncarnation == f.incarnation {
		m.acknowledged = progress{topology.Scope(r.AcknowledgedScope), r.Acknowledged}
	}
	accepted := f.accepts(m, r)
	if accepted {
		f.takeRoster(r)
	}
	address := m.Peers
	near := m.Domain == f.p.settings.FailureDomain
	f.mu.Unlock()
	if accepted {
		f.takeWork(r, near, now)
	}
	f.p.planner.hearContents(r)
	if r.ViewRevision > f.p.tracker.at() {
		f.p.peerDepartures(r.Leaving)
	}
	f.p.newer.heard(r.ConfigurationRevision, now)
	// A hub tells this VM of the same configuration in its next answer.
	if r.ConfigurationRevision > f.p.configuration().Revision && !f.p.tracker.followsHub() {
		go f.fetchConfiguration(context.WithoutCancel(ctx), address)
	}
}

// accepts reports whether what a report covers counts here, and notes that it is taken in. A
// report that builds on what was not taken in is of no use. It must be called with the lock
// held.
func (f *fleet) accepts(m *member, r *peerpb.VMReport) bool {
	scope := topology.Scope(r.Scope)
	if f.plan == nil || !f.plan.Accepts(topology.VM{Name: r.Vm, Domain: m.Domain}, scope) {
		return false
	}
	if r.Since > 0 && (m.taken.scope != scope || r.Since > m.taken.version) {
		return false
	}
	m.taken = progress{scope, r.Version}
	return true
}

// takeRoster takes in which VMs a hub vouches for. It must be called with the lock held.
func (f *fleet) takeRoster(r *peerpb.VMReport) {
	if r.Since == 0 || f.vouched[r.Vm] == nil {
		f.vouched[r.Vm] = make(map[string]bool)
	}
	for _, vm := range r.Alive {
		f.vouched[r.Vm][vm] = true
	}
	for _, vm := range r.Silent {
		delete(f.vouched[r.Vm], vm)
		if other := f.members[vm]; other != nil {
			other.ready = false
		}
	}
}

// startedAgain notes that a VM has started anew, from its own report. The store tells it up
// to two seconds later in a large fleet, and when all VMs start at once, each would until
// then count nothing of what the others admit: a team got three times its rate for 1.5 s.
// It must be called with the lock held.
func (f *fleet) startedAgain(m *member, r *peerpb.VMReport, now time.Time) *member {
	next := &member{registration: m.registration, registered: m.registered, revision: m.revision, started: now, calling: m.calling}
	next.Incarnation, next.Callers, next.Peers = r.Incarnation, r.CallerAddress, r.PeerAddress
	f.members[r.Vm] = next
	f.rearrange = true
	f.p.planner.contents.forget(r.Vm)
	return next
}

// takeWork takes in what the VMs do that a report covers.
func (f *fleet) takeWork(r *peerpb.VMReport, near bool, now time.Time) {
	if !f.sums.take(r, near, now) {
		f.askForAll(r.Vm)
		return
	}
	f.p.assigner.SetOthers(r.Vm, f.sums.loadsAt(r.Vm), now)
	f.p.limiter.Report(r.Vm, r.Incarnation, r.Admitted, r.Asked, now)
	f.p.planner.heardDemand(r.Vm, r.Incarnation, demandOf(r.Demand), now)
	f.p.planner.heardUse(r.InUse, now)
}

// askForAll makes a VM tell everything in its next report.
func (f *fleet) askForAll(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[vm]; m != nil {
		m.taken = progress{}
	}
}
