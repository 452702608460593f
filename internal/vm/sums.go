package vm

import (
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
	mu                         sync.Mutex
	admitted, tokens, requests *aggregate.Counters
	loads                      map[string]loadReport
	// told is what each VM was told last, so that demand that stands still is left out.
	told map[string]*told
}

type loadReport struct {
	at    time.Time
	near  bool
	loads map[string]assign.Load
}

// told is what an incarnation of a VM was told.
type told struct {
	incarnation int64
	items       map[string]assign.Demand
}

func newSums(started int64) *sums {
	return &sums{
		admitted: aggregate.NewCounters(started), tokens: aggregate.NewCounters(started),
		requests: aggregate.NewCounters(started), loads: make(map[string]loadReport),
		told: make(map[string]*told),
	}
}

// take takes a report in. near says that its sender is of the own failure domain.
func (s *sums) take(r *peerpb.VMReport, near bool, now time.Time) {
	tokens, requests := make(map[string]float64, len(r.Demand)), make(map[string]float64, len(r.Demand))
	for item, d := range r.Demand {
		tokens[item], requests[item] = float64(d.GetTokens()), float64(d.GetRequests())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted.Take(r.Vm, r.Incarnation, near, r.Admitted)
	s.tokens.Take(r.Vm, r.Incarnation, near, tokens)
	s.requests.Take(r.Vm, r.Incarnation, near, requests)
	s.loads[r.Vm] = loadReport{at: now, near: near, loads: loadsOf(r)}
}

// fill puts the counters and loads into a report, as far as its scope goes.
func (s *sums) fill(out *peerpb.VMReport, scope topology.Scope, receiver string, incarnation int64, admitted map[string]float64, demand map[string]assign.Demand, loads map[string]assign.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if scope != topology.ScopeOwn {
		near := scope == topology.ScopeDomain
		admitted = s.admitted.Sum(admitted, near, receiver)
		demand = s.demand(demand, near, receiver)
		loads = s.load(loads, near, receiver)
	}
	out.Admitted = admitted
	out.Demand = demandReport(s.changed(receiver, incarnation, demand))
	for id, l := range loads {
		out.Engines = append(out.Engines, &peerpb.EngineLoad{
			Instance: id, PrefillTokens: int64(l.PrefillTokens), KvTokens: int64(l.KVTokens), Requests: int32(l.Requests),
		})
	}
}

func (s *sums) demand(own map[string]assign.Demand, near bool, except string) map[string]assign.Demand {
	tokens, requests := make(map[string]float64, len(own)), make(map[string]float64, len(own))
	for item, d := range own {
		tokens[item], requests[item] = float64(d.Tokens), float64(d.Requests)
	}
	tokens, requests = s.tokens.Sum(tokens, near, except), s.requests.Sum(requests, near, except)
	out := make(map[string]assign.Demand, len(tokens))
	for item, n := range tokens {
		out[item] = assign.Demand{Tokens: int64(n), Requests: int64(requests[item])}
	}
	return out
}

func (s *sums) load(own map[string]assign.Load, near bool, except string) map[string]assign.Load {
	now := time.Now()
	out := make(map[string]assign.Load, len(own))
	for id, l := range own {
		out[id] = l
	}
	for vm, r := range s.loads {
		if now.Sub(r.at) > loadsLifetime {
			delete(s.loads, vm)
			continue
		}
		if vm == except || (near && !r.near) {
			continue
		}
		for id, l := range r.loads {
			sum := out[id]
			out[id] = assign.Load{
				Requests: sum.Requests + l.Requests, PrefillTokens: sum.PrefillTokens + l.PrefillTokens, KVTokens: sum.KVTokens + l.KVTokens,
			}
		}
	}
	return out
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

func loadsOf(r *peerpb.VMReport) map[string]assign.Load {
	out := make(map[string]assign.Load, len(r.Engines))
	for _, e := range r.Engines {
		out[e.Instance] = assign.Load{Requests: int(e.Requests), PrefillTokens: int(e.PrefillTokens), KVTokens: int(e.KvTokens)}
	}
	return out
}

func demandReport(demand map[string]assign.Demand) map[string]*peerpb.Demand {
	out := make(map[string]*peerpb.Demand, len(demand))
	for item, d := range demand {
		out[item] = &peerpb.Demand{Tokens: d.Tokens, Requests: d.Requests}
	}
	return out
}

func demandOf(report map[string]*peerpb.Demand) map[string]assign.Demand {
	out := make(map[string]assign.Demand, len(report))
	for item, d := range report {
		out[item] = assign.Demand{Tokens: d.GetTokens(), Requests: d.GetRequests()}
	}
	return out
}
