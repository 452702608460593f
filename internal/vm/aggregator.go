package vm

import (
	"slices"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/aggregate"
	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/topology"
)

const (
	// loadsLifetime is how long another VM's loads are passed on after they were reported.
	loadsLifetime = time.Second
	// ownWorkMaxAge is the largest age of this VM's own work in a report. It is not read for
	// every report, since a hub makes hundreds of reports a second.
	ownWorkMaxAge = 25 * time.Millisecond
)

// aggregator adds up the reports of other VMs, for the reports in which this VM represents
// them.
type aggregator struct {
	mu        sync.Mutex
	version   aggregate.Version
	admitted  *aggregate.Totals
	requested *aggregate.Counters[aggregate.Count]
	demand    *aggregate.Counters[assign.Demand]
	offered   *aggregate.Counters[aggregate.Count]
	loads     *aggregate.Levels[assign.Load]
	roster    *roster
	speeds    *speeds
	// inUse holds the adapters in use at other VMs, by VM.
	inUse map[string]adaptersInUse
	own   work
	ownAt time.Time
}

// adaptersInUse is one VM's report of the adapters used by its requests in flight.
type adaptersInUse struct {
	at      time.Time
	follows bool
	items   []string
}

// work is the work of one VM or the sum of several.
type work struct {
	admitted map[string]float64
	// requested is what each team requested, admitted or not.
	requested map[string]float64
	demand    map[string]assign.Demand
	// offered is what was asked for while room was short, as of admission.Controller.Offered.
	offered map[string]float64
	loads   map[string]assign.Load
	// inUse lists the adapters used by requests in flight.
	inUse []string
}

func newAggregator(own aggregate.Source, now time.Time) *aggregator {
	a := &aggregator{inUse: make(map[string]adaptersInUse)}
	a.admitted = aggregate.NewTotals(own, &a.version, now)
	a.requested = aggregate.NewCounters[aggregate.Count](&a.version)
	a.demand = aggregate.NewCounters[assign.Demand](&a.version)
	a.offered = aggregate.NewCounters[aggregate.Count](&a.version)
	a.loads = aggregate.NewLevels[assign.Load](loadsLifetime, &a.version)
	a.roster = newRoster(&a.version)
	a.speeds = newSpeeds()
	return a
}

// applyReport applies a report and returns the units by team that VMs have admitted beyond what was
// known. follows is set if its sender follows this VM. It returns false if the sender has to send a full
// report.
func (a *aggregator) applyReport(r *peerpb.VMReport, follows bool, now time.Time) (admitted map[string]float64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.loads.Record(r.Vm, follows, r.Since == 0, loadsFromProto(r.Engines), now) {
		return nil, false
	}
	covered := min(topology.Scope(r.Scope), topology.ScopeAll)
	admitted = make(map[string]float64)
	for _, u := range r.Usage {
		source := aggregate.Source{VM: u.Vm, Incarnation: int64(u.Incarnation)}
		a.admitted.Merge(source, follows && u.Vm == r.Vm, r.Since == 0, u.Admitted, admitted, now)
	}
	a.requested.Record(r.Vm, r.Incarnation, covered, follows, toCounts(r.Asked), now)
	a.demand.Record(r.Vm, r.Incarnation, covered, follows, demandFromProto(r.Demand), now)
	a.offered.Record(r.Vm, r.Incarnation, covered, follows, toCounts(r.Offered), now)
	a.inUse[r.Vm] = adaptersInUse{at: now, follows: follows, items: r.InUse}
	return admitted, true
}

// loadsFrom returns the work in flight that another VM has reported, for itself or for the
// VMs that it represents.
func (a *aggregator) loadsFrom(vm string) map[string]assign.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loads.Of(vm)
}

// setOwn updates this VM's own work if the last values are older than ownWorkMaxAge.
func (a *aggregator) setOwn(own func() work, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.ownAt) < ownWorkMaxAge {
		return
	}
	a.own, a.ownAt = own(), now
	a.admitted.SetOwn(a.own.admitted, now)
	a.requested.SetOwn(toCounts(a.own.requested))
	a.demand.SetOwn(a.own.demand)
	a.offered.SetOwn(toCounts(a.own.offered))
	a.loads.SetOwn(a.own.loads)
}

// removeUnknown removes what processes that have ended admitted long ago.
func (a *aggregator) removeUnknown(known func(aggregate.Source) bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admitted.RemoveUnknown(known, now)
}

// updateRoster updates the roster with the lock held.
func (a *aggregator) updateRoster(update func(*roster)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	update(a.roster)
}

// fillReport adds counters, loads and the roster to a report: those that its scope covers and
// that have changed since a version that the receiver has acknowledged. If the changes since
// that version are no longer known, it adds everything that the scope covers.
func (a *aggregator) fillReport(out *peerpb.VMReport, scope topology.Scope, receiver string, since uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if since > a.version.Number() || !a.loads.RetainsChangesSince(since) || !a.roster.covers(since) {
		since = 0
	}
	covered := min(scope, topology.ScopeAll)
	// Called before the version is read: loads that expire now increase it.
	loads := a.loads.Since(covered, since, receiver, now)
	out.Since, out.Version = since, a.version.Number()
	for source, admitted := range a.admitted.Since(covered, since, receiver) {
		out.Usage = append(out.Usage, &peerpb.Usage{Vm: source.VM, Incarnation: uint64(source.Incarnation), Admitted: admitted})
	}
	out.Asked = toFloats(a.requested.Since(covered, since, receiver))
	out.Offered = toFloats(a.offered.Since(covered, since, receiver))
	for id, l := range loads {
		out.Engines = append(out.Engines, loadToProto(id, loadForScope(l, scope)))
	}
	if scope != topology.ScopeOwn {
		out.Alive, out.Silent = a.roster.since(scope, since, receiver)
	}
	if scope != topology.ScopeAll {
		out.Demand = demandToProto(a.demand.Since(covered, since, receiver))
		out.InUse = a.adaptersInUse(scope, receiver, now)
	}
}

// loadForScope returns the part of a load that reports of a scope carry.
func loadForScope(l assign.Load, scope topology.Scope) assign.Load {
	if scope != topology.ScopeOwn {
		l.PrefillTotal = 0
	}
	if scope == topology.ScopeAll {
		l.Running = nil
	}
	return l
}

// adaptersInUse returns the adapters in use at the VMs that a scope covers, sorted, without
// those reported by one VM.
func (a *aggregator) adaptersInUse(scope topology.Scope, except string, now time.Time) []string {
	out := slices.Clone(a.own.inUse)
	if scope == topology.ScopeOwn {
		return out
	}
	for vm, r := range a.inUse {
		if now.Sub(r.at) > loadsLifetime {
			delete(a.inUse, vm)
			continue
		}
		if vm != except && (r.follows || scope != topology.ScopeFollowers) {
			out = append(out, r.items...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func toCounts(totals map[string]float64) map[string]aggregate.Count {
	out := make(map[string]aggregate.Count, len(totals))
	for name, n := range totals {
		out[name] = aggregate.Count(n)
	}
	return out
}

func toFloats(counts map[string]aggregate.Count) map[string]float64 {
	out := make(map[string]float64, len(counts))
	for name, n := range counts {
		out[name] = float64(n)
	}
	return out
}

func loadToProto(instance string, l assign.Load) *peerpb.EngineLoad {
	out := &peerpb.EngineLoad{
		Instance: instance, PrefillTokens: int64(l.PrefillTokens), KvTokens: int64(l.KVTokens), Requests: int32(l.Requests),
		ReadTotalUs: l.PrefillTotal.Microseconds(),
		Running:     make(map[string]int32, len(l.Running)),
	}
	for model, n := range l.Running {
		if model != "" {
			out.Running[model] = int32(n)
		}
	}
	return out
}

func loadsFromProto(engines []*peerpb.EngineLoad) map[string]assign.Load {
	out := make(map[string]assign.Load, len(engines))
	for _, e := range engines {
		l := assign.Load{
			Requests: int(e.Requests), PrefillTokens: int(e.PrefillTokens), KVTokens: int(e.KvTokens),
			PrefillTotal: time.Duration(e.ReadTotalUs) * time.Microsecond,
			Running:      make(map[string]int, len(e.Running)),
		}
		for model, n := range e.Running {
			l.Running[model] = int(n)
		}
		out[e.Instance] = l
	}
	return out
}

func demandToProto(demand map[string]assign.Demand) map[string]*peerpb.Demand {
	out := make(map[string]*peerpb.Demand, len(demand))
	for item, d := range demand {
		out[item] = &peerpb.Demand{WorkUs: d.Work.Microseconds(), Requests: d.Requests}
	}
	return out
}

func demandFromProto(report map[string]*peerpb.Demand) map[string]assign.Demand {
	out := make(map[string]assign.Demand, len(report))
	for item, d := range report {
		out[item] = assign.Demand{Work: time.Duration(d.GetWorkUs()) * time.Microsecond, Requests: d.GetRequests()}
	}
	return out
}
