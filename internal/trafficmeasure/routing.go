package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/route"
)

// The workload: most requests are questions about one of several long texts, of which
// each engine's prefix cache holds a few. The others are short questions without a
// text.
const (
	engineCount           = 20
	entryVMCount          = 7
	manualCount           = 80
	manualTokens          = 6000
	questionTokens        = 150
	shortRequestShare     = 0.3
	manualsPerCache       = 8
	promptTokensPerSecond = 8000.0
	reportInterval        = 500 * time.Millisecond
	firstTokenObjective   = 760 * time.Millisecond
	routingRunDuration    = 120 * time.Second
)

// simulatedEngine is an engine that processes prompts one after the other.
type simulatedEngine struct {
	name          string
	idleAt        time.Time
	finishTimes   []time.Time
	cachedManuals []int
}

// enqueue adds a request to the end of the engine's queue and returns the time at which
// its prompt has been processed. If the text is cached, only the question is processed.
func (r *simulatedEngine) enqueue(now time.Time, manual int) (end time.Time, hit bool) {
	tokens := questionTokens
	if manual >= 0 {
		index := slices.Index(r.cachedManuals, manual)
		if hit = index >= 0; hit {
			r.cachedManuals = slices.Delete(r.cachedManuals, index, index+1)
		} else {
			tokens += manualTokens
		}
		r.cachedManuals = append(r.cachedManuals, manual)
		if len(r.cachedManuals) > manualsPerCache {
			r.cachedManuals = r.cachedManuals[1:]
		}
	}
	if r.idleAt.Before(now) {
		r.idleAt = now
	}
	r.idleAt = r.idleAt.Add(time.Duration(float64(tokens) / promptTokensPerSecond * float64(time.Second)))
	r.finishTimes = append(r.finishTimes, r.idleAt)
	return r.idleAt, hit
}

// inFlight returns the number of requests that are not finished at the given time.
func (r *simulatedEngine) inFlight(now time.Time) int {
	r.finishTimes = slices.DeleteFunc(r.finishTimes, func(t time.Time) bool { return !t.After(now) })
	return len(r.finishTimes)
}

// routingSimulation simulates several VMs that send requests to the same engines.
type routingSimulation struct {
	engines []*simulatedEngine
	routers []*route.Router
	pending []pendingRequest
	fleet   *route.Fleet
	rng     *rand.Rand
	// prefixes are the prompt prefixes of the long texts.
	prefixes []route.Prefix
}

// pendingRequest is a request in flight and the time at which it ends.
type pendingRequest struct {
	finishAt time.Time
	router   *route.Router
	engine   string
}

var manualItem = route.Item{Model: "m"}

func newRoutingSimulation(p route.Policy) *routingSimulation {
	w := &routingSimulation{rng: rand.New(rand.NewPCG(seed, seed))}
	for i := range engineCount {
		w.engines = append(w.engines, &simulatedEngine{name: fmt.Sprintf("e%02d", i), idleAt: startTime})
	}
	for i := range manualCount {
		text := strings.Repeat(fmt.Sprintf("page %08d of a long text. ", i), 100)
		w.prefixes = append(w.prefixes, route.PrefixOf(manualItem, text))
	}
	for range entryVMCount {
		w.routers = append(w.routers, route.New(route.Options{Policy: p, MaxInFlight: 1 << 20}))
	}
	return w
}

// reportLoads updates every VM with the engines' current loads. Until the next report,
// the VMs route by these.
func (w *routingSimulation) reportLoads(now time.Time) {
	w.fleet = &route.Fleet{}
	for _, r := range w.engines {
		w.fleet.Engines = append(w.fleet.Engines, route.Engine{
			Name: r.name, Reachable: true, Running: r.inFlight(now), ReportedAt: now,
			Ready: map[route.Item][]string{manualItem: {"v"}},
		})
	}
	for _, r := range w.routers {
		r.SetFleet(w.fleet)
		r.SetFleetMultiplier(entryVMCount)
	}
}

func (w *routingSimulation) finishRequests(now time.Time) {
	w.pending = slices.DeleteFunc(w.pending, func(e pendingRequest) bool {
		if e.finishAt.After(now) {
			return false
		}
		e.router.Finished(e.engine, manualItem, true, e.finishAt)
		return true
	})
}

// sendRequest routes one request and returns the time until its prompt has been
// processed, whether its text was cached and whether it has a text.
func (w *routingSimulation) sendRequest(now time.Time) (wait time.Duration, hit, hasManual bool) {
	manual := -1
	prefix := route.NoPrefix
	if w.rng.Float64() >= shortRequestShare {
		manual = int(float64(manualCount) * w.rng.Float64() * w.rng.Float64())
		prefix = w.prefixes[manual]
	}
	router := w.routers[w.rng.IntN(len(w.routers))]
	e, err := router.Pick(route.Request{Item: manualItem, Version: "v", Prefix: prefix}, now, w.rng)
	if err != nil {
		panic(err)
	}
	router.Started(e.Name, manualItem, now)
	i := slices.IndexFunc(w.engines, func(r *simulatedEngine) bool { return r.name == e.Name })
	end, hit := w.engines[i].enqueue(now, manual)
	w.pending = append(w.pending, pendingRequest{finishAt: end, router: router, engine: e.Name})
	return end.Sub(now), hit, manual >= 0
}

// routingResult holds the measurements of a run.
type routingResult struct {
	requests, attained, cacheHits, withManual int
	p99                                       time.Duration
}

func runRouting(p route.Policy, perSecond float64) routingResult {
	w := newRoutingSimulation(p)
	var out routingResult
	var waits []time.Duration
	next := startTime
	for now := startTime; now.Before(startTime.Add(routingRunDuration)); now = now.Add(reportInterval) {
		w.reportLoads(now)
		for ; next.Before(now.Add(reportInterval)); next = next.Add(time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))) {
			w.finishRequests(next)
			wait, hit, hasManual := w.sendRequest(next)
			waits = append(waits, wait)
			out.requests++
			if wait <= firstTokenObjective {
				out.attained++
			}
			if hasManual {
				out.withManual++
			}
			if hit {
				out.cacheHits++
			}
		}
	}
	slices.Sort(waits)
	out.p99 = waits[len(waits)*99/100]
	return out
}

func measureRouting(w io.Writer) {
	fmt.Fprintf(w, "routing: %d engines, %d VMs, %d texts of %d tokens, %d of them in an engine's cache, reports every %v\n",
		engineCount, entryVMCount, manualCount, manualTokens, manualsPerCache, reportInterval)
	fmt.Fprintln(w, "requests/s\tpolicy\twithin 0.76 s\ttexts in cache\tp99 to the end of the prompt")
	for _, rate := range []float64{20, 30, 40, 60, 80, 120} {
		for _, p := range []struct {
			name   string
			policy route.Policy
		}{{"round robin", route.PolicyRoundRobin}, {"least load", route.PolicyLeastLoad}, {"prefix", route.PolicyPrefix}} {
			r := runRouting(p.policy, rate)
			fmt.Fprintf(w, "%.0f\t%s\t%.1f %%\t%.1f %%\t%v\n", rate, p.name, percent(r.attained, r.requests), percent(r.cacheHits, r.withManual), r.p99.Round(time.Millisecond))
		}
	}
	fmt.Fprintln(w)
}
