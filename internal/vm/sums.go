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
	// loadsLifetime is how long another VM's loads are passed on.
	loadsLifetime = time.Second
	// ownLifetime is how old this VM's own work may be in a report. A hub makes hundreds of
	// reports a second.
	ownLifetime = 25 * time.Millisecond
)

// sums adds up what other VMs report, for the reports in which this VM stands for them.
type sums struct {
	mu       sync.Mutex
	version  aggregate.Version
	admitted *aggregate.Counters[aggregate.Count]
	asked    *aggregate.Counters[aggregate.Count]
	demand   *aggregate.Counters[assign.Demand]
	loads    *aggregate.Levels[assign.Load]
	roster   *roster
	// inUse names the adapters that other VMs use.
	inUse map[string]adaptersInUse
	own   work
	ownAt time.Time
}

// adaptersInUse is what a VM told of adapters that its requests in flight use.
type adaptersInUse struct {
	at    time.Time
	near  bool
	items []string
}

// work is what one VM does, or many.
type work struct {
	admitted map[string]float64
	// asked is what teams asked for, admitted or not.
	asked  map[string]float64
	demand map[string]assign.Demand
	loads  map[string]assign.Load
	// inUse names adapters that requests in flight use.
	inUse []string
}

func newSums(started int64) *sums {
	s := &sums{inUse: make(map[string]adaptersInUse)}
	s.admitted = aggregate.NewCounters[aggregate.Count](started, &s.version)
	s.asked = aggregate.NewCounters[aggregate.Count](started, &s.version)
	s.demand = aggregate.NewCounters[assign.Demand](started, &s.version)
	s.loads = aggregate.NewLevels[assign.Load](loadsLifetime, &s.version)
	s.roster = newRoster(&s.version)
	return s
}

// take takes a report in. near says that its sender is of the own failure domain. It returns
// false if the sender has to tell everything anew.
func (s *sums) take(r *peerpb.VMReport, near bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loads.Take(r.Vm, near, r.Since == 0, loadsOf(r.Engines), now) {
		return false
	}
	s.admitted.Take(r.Vm, r.Incarnation, near, countsOf(r.Admitted), now)
	s.asked.Take(r.Vm, r.Incarnation, near, countsOf(r.Asked), now)
	s.demand.Take(r.Vm, r.Incarnation, near, demandOf(r.Demand), now)
	s.inUse[r.Vm] = adaptersInUse{at: now, near: near, items: r.InUse}
	return true
}

// loadsAt returns the work in flight of another VM, or of those for which it reports.
func (s *sums) loadsAt(vm string) map[string]assign.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads.Of(vm)
}

// setOwn takes this VM's own work if what is known of it is old.
func (s *sums) setOwn(own func() work, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.ownAt) < ownLifetime {
		return
	}
	s.own, s.ownAt = own(), now
	s.admitted.SetOwn(countsOf(s.own.admitted))
	s.asked.SetOwn(countsOf(s.own.asked))
	s.demand.SetOwn(s.own.demand)
	s.loads.SetOwn(s.own.loads)
}

// setRoster notes which VMs take callers.
func (s *sums) setRoster(note func(*roster)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	note(s.roster)
}

// fill puts the counters and loads into a report, as far as its scope goes and as they have
// changed since a number that the receiver has acknowledged.
func (s *sums) fill(out *peerpb.VMReport, scope topology.Scope, receiver string, since uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since > s.version.Number() || !s.loads.Known(since) || !s.roster.remembers(since) {
		since = 0
	}
	covered := min(scope, topology.ScopeAll)
	// The changes that expire now are part of the version that is told.
	loads := s.loads.Since(covered, since, receiver, now)
	out.Since, out.Version = since, s.version.Number()
	out.Admitted = floatsOf(s.admitted.Since(covered, since, receiver))
	out.Asked = floatsOf(s.asked.Since(covered, since, receiver))
	for id, l := range loads {
		out.Engines = append(out.Engines, engineLoad(id, reported(l, scope)))
	}
	if scope != topology.ScopeOwn {
		out.Alive, out.Silent = s.roster.since(scope, since, receiver)
	}
	if scope != topology.ScopeAll {
		out.Demand = demandReport(s.demand.Since(covered, since, receiver))
		out.InUse = s.adaptersInUse(scope, receiver, now)
	}
}

// reported is the part of a load that a report of a scope tells.
func reported(l assign.Load, scope topology.Scope) assign.Load {
	if scope != topology.ScopeOwn {
		l.ReadTotal = 0
	}
	if scope == topology.ScopeAll {
		l.Running = nil
	}
	return l
}

// adaptersInUse names the adapters in use as far as a scope goes.
func (s *sums) adaptersInUse(scope topology.Scope, except string, now time.Time) []string {
	out := slices.Clone(s.own.inUse)
	if scope == topology.ScopeOwn {
		return out
	}
	for vm, r := range s.inUse {
		if now.Sub(r.at) > loadsLifetime {
			delete(s.inUse, vm)
			continue
		}
		if vm != except && (r.near || scope != topology.ScopeDomain) {
			out = append(out, r.items...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func countsOf(totals map[string]float64) map[string]aggregate.Count {
	out := make(map[string]aggregate.Count, len(totals))
	for name, n := range totals {
		out[name] = aggregate.Count(n)
	}
	return out
}

func floatsOf(counts map[string]aggregate.Count) map[string]float64 {
	out := make(map[string]float64, len(counts))
	for name, n := range counts {
		out[name] = float64(n)
	}
	return out
}

func engineLoad(instance string, l assign.Load) *peerpb.EngineLoad {
	out := &peerpb.EngineLoad{
		Instance: instance, PrefillTokens: int64(l.PrefillTokens), KvTokens: int64(l.KVTokens), Requests: int32(l.Requests),
		ReadTotalUs: l.ReadTotal.Microseconds(),
		Running:     make(map[string]int32, len(l.Running)),
	}
	for model, n := range l.Running {
		if model != "" {
			out.Running[model] = int32(n)
		}
	}
	return out
}

func loadsOf(engines []*peerpb.EngineLoad) map[string]assign.Load {
	out := make(map[string]assign.Load, len(engines))
	for _, e := range engines {
		l := assign.Load{
			Requests: int(e.Requests), PrefillTokens: int(e.PrefillTokens), KVTokens: int(e.KvTokens),
			ReadTotal: time.Duration(e.ReadTotalUs) * time.Microsecond,
			Running:   make(map[string]int, len(e.Running)),
		}
		for model, n := range e.Running {
			l.Running[model] = int(n)
		}
		out[e.Instance] = l
	}
	return out
}

func demandReport(demand map[string]assign.Demand) map[string]*peerpb.Demand {
	out := make(map[string]*peerpb.Demand, len(demand))
	for item, d := range demand {
		out[item] = &peerpb.Demand{WorkUs: d.Work.Microseconds(), Requests: d.Requests}
	}
	return out
}

func demandOf(report map[string]*peerpb.Demand) map[string]assign.Demand {
	out := make(map[string]assign.Demand, len(report))
	for item, d := range report {
		out[item] = assign.Demand{Work: time.Duration(d.GetWorkUs()) * time.Microsecond, Requests: d.GetRequests()}
	}
	return out
}
