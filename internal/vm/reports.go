package vm

import (
	"context"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/aggregate"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/teamrate"
	"github.com/chestnutarch/chestnutarch/internal/topology"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

// buildReport returns this VM's report to another VM.
func (f *fleet) buildReport(receiver string) *peerpb.VMReport {
	leads := f.process.leads()
	_, configuration := f.process.configuration()
	out := &peerpb.VMReport{
		Vm: f.process.settings.VM, Incarnation: f.incarnation, Sequence: f.sequence.Add(1),
		CallerAddress: f.process.settings.Callers, PeerAddress: f.process.peerAddress(), Ready: f.process.ready(), Leads: leads,
		ConfigurationRevision: int64(configuration.revision), ConfigurationVersion: configuration.version, KnowsEras: true,
		ViewRevision: int64(f.process.tracker.viewRevision()),
	}
	evacuated, evacuatedRevision := f.process.evacuations.current()
	out.Evacuated, out.EvacuatedRevision = evacuated, int64(evacuatedRevision)
	out.Unreachable = f.process.unreachable()
	out.Ends = endsToProto(f.process.quarantine.Suspects(time.Now()), time.Now())
	limits := f.process.assigner.RateLimits()
	scope, since := f.addMemberState(out, receiver, limits)
	out.Scope = int32(scope)
	if scope != topology.ScopePresence {
		now := time.Now()
		f.aggregator.setOwn(f.ownWork, now)
		f.aggregator.fillReport(out, scope, receiver, since, now)
		f.addSpeeds(out, receiver, scope, now)
	}
	out.LateVms = lateVMs(f.process.limiter, scope, time.Now())
	if leads || (scope != topology.ScopeOwn && scope != topology.ScopePresence) {
		f.process.planner.contents.addUnsent(out, receiver)
	}
	return out
}

// lateVMs returns how many of the VMs that a report of a scope covers do not report to this VM.
func lateVMs(l *teamrate.Limiter, scope topology.Scope, now time.Time) int32 {
	single, all := l.LateVMs(now)
	switch scope {
	case topology.ScopeFollowers:
		return int32(single)
	case topology.ScopeAll, topology.ScopeAllForLeader:
		return int32(all)
	}
	return 0
}

// addMemberState acknowledges in a report what was applied of the receiver's reports, and adds the rate
// limits and departures of upstreams that the receiver may lack. It returns the report's scope, and the
// version that the receiver has acknowledged in that scope.
func (f *fleet) addMemberState(out *peerpb.VMReport, receiver string, limits *upstreamrate.Snapshot) (scope topology.Scope, since uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[receiver]
	if m == nil || f.plan == nil {
		return topology.ScopePresence, 0
	}
	m.addRateLimits(out, limits)
	m.addDepartures(out, f.process.departures)
	out.AcknowledgedIncarnation = m.Incarnation
	out.Acknowledged, out.AcknowledgedScope = m.applied.version, int32(m.applied.scope)
	scope = f.plan.ScopeFor(topology.VM{Name: receiver, Domain: m.Domain, Leader: m.leads})
	if m.acknowledged.scope == scope {
		since = m.acknowledged.version
	}
	return scope, since
}

// ownWork returns the work of this VM itself.
func (f *fleet) ownWork() work {
	return work{
		admitted: f.process.limiter.Admitted(), requested: f.process.limiter.Demand(), demand: f.process.assigner.Demand(), loads: f.process.assigner.Loads(), inUse: f.process.assigner.InUse(),
		offered: f.process.offered(),
	}
}

// updateRoster records which VMs take callers if this VM is a hub. It must be called with the
// lock held.
func (f *fleet) updateRoster(now time.Time) {
	if !f.plan.IsHub() {
		return
	}
	f.aggregator.updateRoster(func(r *roster) {
		for vm, m := range f.members {
			r.set(vm, f.plan.Follows(vm), f.takesCallers(vm, m, m.lastReport, peerTimeout/2, now))
		}
		r.removeUnknown(func(vm string) bool { return f.members[vm] != nil })
	})
}

// removeOldUsage removes what processes that have ended admitted. It must be called with the lock held.
func (f *fleet) removeOldUsage(now time.Time) {
	f.aggregator.removeUnknown(func(s aggregate.Source) bool {
		m := f.members[s.VM]
		return m != nil && m.Incarnation <= s.Incarnation
	}, now)
}

// applyReport applies a report of another VM. Reports of unknown VMs, those of earlier
// incarnations, and those that are older than the last one are ignored.
func (f *fleet) applyReport(ctx context.Context, r *peerpb.VMReport) {
	now := time.Now()
	// Two reports of a VM have to be applied in the order in which they are accepted.
	f.reportMu.Lock()
	defer f.reportMu.Unlock()
	f.mu.Lock()
	m := f.members[r.Vm]
	if m != nil && r.Incarnation > m.Incarnation {
		m = f.recordRestart(m, r, now)
	}
	if m == nil || m.Incarnation != r.Incarnation || r.Sequence <= m.sequence {
		f.mu.Unlock()
		return
	}
	m.sequence, m.lastReport, m.ready, m.leads = r.Sequence, now, r.Ready, r.Leads
	m.rateLimitsDigest = r.RateLimitsDigest
	m.unreachable = r.Unreachable
	m.ignoresEras = !r.KnowsEras
	m.acknowledged, m.departuresAcknowledged = progress{}, 0
	if r.AcknowledgedIncarnation == f.incarnation {
		m.acknowledged, m.departuresAcknowledged = progress{topology.Scope(r.AcknowledgedScope), r.Acknowledged}, r.DeparturesAcknowledged
	}
	accepted := f.acceptReport(m, r)
	if accepted {
		f.applyRoster(r)
	}
	address := m.Peers
	follows := f.plan != nil && f.plan.Follows(r.Vm)
	f.mu.Unlock()
	if accepted {
		f.applyWork(r, follows, now)
	}
	f.process.planner.applyContents(r)
	f.applyDepartures(m, r, now)
	f.process.applyPeerEvacuations(r)
	if lacking := f.ends.merge(r.Ends); len(lacking) > 0 {
		f.ends.shareWith([]string{address}, lacking)
	}
	f.applyRateLimits(r.RateLimits, r.Vm)
	f.process.store.RaiseEra(store.Revision(r.ViewRevision).Era())
	f.applyConfigurationOrder(ctx, configurationOrder{r.ConfigurationVersion, store.Revision(r.ConfigurationRevision)}, address, now)
}

// applyConfigurationOrder fetches the configuration that another VM reports to have in force, if it is newer. A VM that
// follows a hub gets the same configuration in the hub's next answer, unless a store that came back from a copy does not
// have it yet.
func (f *fleet) applyConfigurationOrder(ctx context.Context, reported configurationOrder, address string, now time.Time) {
	f.process.configurationLag.recordPeer(reported, now)
	_, own := f.process.configuration()
	if !reported.newerThan(own) {
		return
	}
	if f.process.tracker.followsHub() && reported.revision.Era() >= f.process.store.Era() {
		return
	}
	go f.fetchConfiguration(context.WithoutCancel(ctx), address)
}

// acceptReport reports whether the counters and loads of a report may be applied, and if so
// records them as applied. A report that is based on a version that was not applied here
// cannot be used. It must be called with the lock held.
func (f *fleet) acceptReport(m *member, r *peerpb.VMReport) bool {
	scope := topology.Scope(r.Scope)
	if f.plan == nil || !f.plan.Accepts(topology.VM{Name: r.Vm, Domain: m.Domain}, scope) {
		return false
	}
	if r.Since > 0 && (m.applied.scope != scope || r.Since > m.applied.version) {
		return false
	}
	m.applied = progress{scope, r.Version}
	return true
}

// applyRoster applies the changes of the VMs that a hub lists as taking callers. It must be
// called with the lock held.
func (f *fleet) applyRoster(r *peerpb.VMReport) {
	if r.Since == 0 || f.rosters[r.Vm] == nil {
		f.rosters[r.Vm] = make(map[string]bool)
	}
	for _, vm := range r.Alive {
		f.rosters[r.Vm][vm] = true
	}
	for _, vm := range r.Silent {
		delete(f.rosters[r.Vm], vm)
		if other := f.members[vm]; other != nil {
			other.ready = false
		}
	}
}

// recordRestart replaces a member whose report shows that it has restarted. In a large fleet
// the store delivers the new registration up to two seconds later. If all VMs restart at
// once, each would ignore until then what the others admit: a team got three times its rate
// for 1.5 s. It must be called with the lock held.
func (f *fleet) recordRestart(m *member, r *peerpb.VMReport, now time.Time) *member {
	next := &member{registration: m.registration, registered: m.registered, revision: m.revision, firstSeen: now, exchanging: m.exchanging}
	next.Incarnation, next.Callers, next.Peers = r.Incarnation, r.CallerAddress, r.PeerAddress
	f.members[r.Vm] = next
	f.planOutdated = true
	f.process.planner.contents.forgetSent(r.Vm)
	return next
}

// applyWork applies the counters and loads of a report.
func (f *fleet) applyWork(r *peerpb.VMReport, follows bool, now time.Time) {
	admitted, ok := f.aggregator.applyReport(r, follows, now)
	if !ok {
		f.requestFullReport(r.Vm)
		return
	}
	f.aggregator.applySpeeds(r, follows, now)
	f.process.assigner.SetPeerLoads(r.Vm, f.aggregator.loadsFrom(r.Vm), now)
	f.process.applyOffered(r, f.size(), now)
	f.process.limiter.ApplyReport(rateReport(r, admitted), now)
	f.process.planner.recordDemand(r.Vm, r.Incarnation, demandFromProto(r.Demand), now)
	f.process.planner.recordAdapterUse(r.InUse, now)
}

// rateReport returns the part of a report that concerns rates.
func rateReport(r *peerpb.VMReport, admitted map[string]float64) teamrate.Report {
	return teamrate.Report{VM: r.Vm, Incarnation: r.Incarnation, Admitted: admitted, Demand: r.Asked, LateVMs: int(r.LateVms)}
}

// requestFullReport makes a VM's next report complete instead of incremental.
func (f *fleet) requestFullReport(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[vm]; m != nil {
		m.applied = progress{}
	}
}
