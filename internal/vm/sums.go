package vm

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/aggregate"
	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// loadsLifetime is how long another VM's loads are passed on.
const loadsLifetime = time.Second

// sums adds up what other VMs report, for the reports in which this VM stands for them.
type sums struct {
	mu                       sync.Mutex
	admitted, work, requests *aggregate.Counters
	loads                    map[string]loadReport
	// told is what each VM was told last, so that demand that stands still is left out.
	told map[string]*told
}

// loadReport is what a VM has in flight.
type loadReport struct {
	at    time.Time
	near  bool
	loads map[string]assign.Load
	inUse []string
}

// work is what one VM does, or many.
type work struct {
	admitted map[string]float64
	demand   map[string]assign.Demand
	loads    map[string]assign.Load
	// inUse names adapters that requests in flight use.
	inUse []string
}

// told is what an incarnation of a VM was told.
type told struct {
	incarnation int64
	items       map[string]assign.Demand
}

func newSums(started int64) *sums {
	return &sums{
		admitted: aggregate.NewCounters(started), work: aggregate.NewCounters(started),
		requests: aggregate.NewCounters(started), loads: make(map[string]loadReport),
		told: make(map[string]*told),
	}
}

// take takes a report in. near says that its sender is of the own failure domain.
func (s *sums) take(r *peerpb.VMReport, near bool, now time.Time) {
	work, requests := make(map[string]float64, len(r.Demand)), make(map[string]float64, len(r.Demand))
	for item, d := range r.Demand {
		work[item], requests[item] = float64(d.GetWorkUs()), float64(d.GetRequests())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted.Take(r.Vm, r.Incarnation, near, r.Admitted, now)
	s.work.Take(r.Vm, r.Incarnation, near, work, now)
	s.requests.Take(r.Vm, r.Incarnation, near, requests, now)
	s.loads[r.Vm] = loadReport{at: now, near: near, loads: loadsOf(r.Engines), inUse: r.InUse}
}

// fill puts the counters and loads into a report, as far as its scope goes.
func (s *sums) fill(out *peerpb.VMReport, scope topology.Scope, receiver string, incarnation int64, w work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if scope != topology.ScopeOwn {
		near := scope == topology.ScopeDomain
		w.admitted = s.admitted.Sum(w.admitted, near, receiver)
		w.demand = s.demand(w.demand, near, receiver)
		w.loads, w.inUse = s.inFlight(w, near, receiver)
	}
	out.Admitted, out.InUse = w.admitted, w.inUse
	out.Demand = demandReport(s.changed(receiver, incarnation, w.demand))
	for id, l := range w.loads {
		out.Engines = append(out.Engines, engineLoad(id, l))
	}
}

func (s *sums) demand(own map[string]assign.Demand, near bool, except string) map[string]assign.Demand {
	work, requests := make(map[string]float64, len(own)), make(map[string]float64, len(own))
	for item, d := range own {
		work[item], requests[item] = float64(d.Work.Microseconds()), float64(d.Requests)
	}
	work, requests = s.work.Sum(work, near, except), s.requests.Sum(requests, near, except)
	out := make(map[string]assign.Demand, len(work))
	for item, n := range work {
		out[item] = assign.Demand{Work: time.Duration(n) * time.Microsecond, Requests: int64(requests[item])}
	}
	return out
}

// inFlight adds up what is in flight.
func (s *sums) inFlight(own work, near bool, except string) (map[string]assign.Load, []string) {
	now := time.Now()
	loads, inUse := maps.Clone(own.loads), slices.Clone(own.inUse)
	if loads == nil {
		loads = make(map[string]assign.Load)
	}
	for vm, r := range s.loads {
		if now.Sub(r.at) > loadsLifetime {
			delete(s.loads, vm)
			continue
		}
		if vm == except || (near && !r.near) {
			continue
		}
		inUse = append(inUse, r.inUse...)
		for id, l := range r.loads {
			loads[id] = loads[id].Add(l)
		}
	}
	slices.Sort(inUse)
	return loads, slices.Compact(inUse)
}

// forget makes the next report to a VM whole: it may not have got the last one.
func (s *sums) forget(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.told, vm)
}

// changed is the part of the demand that the receiver was not told yet.
func (s *sums) changed(receiver string, incarnation int64, demand map[string]assign.Demand) map[string]assign.Demand {
	t := s.told[receiver]
	if t == nil || t.incarnation != incarnation {
		t = &told{incarnation: incarnation, items: make(map[string]assign.Demand)}
		s.told[receiver] = t
	}
	out := make(map[string]assign.Demand)
	for item, d := range demand {
		if t.items[item] != d {
			out[item] = d
			t.items[item] = d
		}
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
