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

// The workload: callers ask questions about long texts of which each engine's cache
// holds a few, and some ask short questions without a text.
const (
	engines       = 20
	entryVMs      = 7
	manuals       = 80
	manualTokens  = 6000
	shortTokens   = 150
	shortShare    = 0.3
	cachedManuals = 8
	tokensPerSec  = 8000.0
	reportEvery   = 500 * time.Millisecond
	objective     = 760 * time.Millisecond
	runFor        = 120 * time.Second
)

// reader is an engine that reads prompts one after the other.
type reader struct {
	name    string
	free    time.Time
	ends    []time.Time
	manuals []int
}

// read puts a request at the end of the line and returns when its prompt has been
// read. Of a cached text only the question is read.
func (r *reader) read(now time.Time, manual int) (end time.Time, hit bool) {
	tokens := shortTokens
	if manual >= 0 {
		at := slices.Index(r.manuals, manual)
		if hit = at >= 0; hit {
			r.manuals = slices.Delete(r.manuals, at, at+1)
		} else {
			tokens += manualTokens
		}
		r.manuals = append(r.manuals, manual)
		if len(r.manuals) > cachedManuals {
			r.manuals = r.manuals[1:]
		}
	}
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(time.Duration(float64(tokens) / tokensPerSec * float64(time.Second)))
	r.ends = append(r.ends, r.free)
	return r.free, hit
}

// running returns the number of requests that are not finished.
func (r *reader) running(now time.Time) int {
	r.ends = slices.DeleteFunc(r.ends, func(t time.Time) bool { return !t.After(now) })
	return len(r.ends)
}

// world is several VMs before the same engines.
type world struct {
	readers []*reader
	routers []*route.Router
	pending []ending
	fleet   *route.Fleet
	rng     *rand.Rand
	// prefixes are those of the texts.
	prefixes []route.Prefix
}

// ending is a request that will end.
type ending struct {
	at     time.Time
	router *route.Router
	engine string
}

var manualItem = route.Item{Model: "m"}

func newWorld(p route.Policy) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, seed))}
	for i := range engines {
		w.readers = append(w.readers, &reader{name: fmt.Sprintf("e%02d", i), free: start})
	}
	for i := range manuals {
		text := strings.Repeat(fmt.Sprintf("page %08d of a long text. ", i), 100)
		w.prefixes = append(w.prefixes, route.PrefixOf(manualItem, text))
	}
	for range entryVMs {
		w.routers = append(w.routers, route.New(route.Options{Policy: p, MaxInFlight: 1 << 20}))
	}
	return w
}

// report gives every VM the engines' loads, as old as a report is.
func (w *world) report(now time.Time) {
	w.fleet = &route.Fleet{}
	for _, r := range w.readers {
		w.fleet.Engines = append(w.fleet.Engines, route.Engine{
			Name: r.name, Reachable: true, Running: r.running(now), ReportedAt: now,
			Ready: map[route.Item][]string{manualItem: {"v"}},
		})
	}
	for _, r := range w.routers {
		r.SetFleet(w.fleet)
		r.SetSpread(entryVMs)
	}
}

func (w *world) finish(now time.Time) {
	w.pending = slices.DeleteFunc(w.pending, func(e ending) bool {
		if e.at.After(now) {
			return false
		}
		e.router.Finished(e.engine, manualItem, true, e.at)
		return true
	})
}

// arrive sends one request and returns how long its prompt takes to be read.
func (w *world) arrive(now time.Time) (wait time.Duration, hit, long bool) {
	manual := -1
	prefix := route.NoPrefix
	if w.rng.Float64() >= shortShare {
		manual = int(float64(manuals) * w.rng.Float64() * w.rng.Float64())
		prefix = w.prefixes[manual]
	}
	router := w.routers[w.rng.IntN(len(w.routers))]
	e, err := router.Pick(route.Request{Item: manualItem, Version: "v", Prefix: prefix}, now, w.rng)
	if err != nil {
		panic(err)
	}
	router.Started(e.Name, manualItem, now)
	i := slices.IndexFunc(w.readers, func(r *reader) bool { return r.name == e.Name })
	end, hit := w.readers[i].read(now, manual)
	w.pending = append(w.pending, ending{at: end, router: router, engine: e.Name})
	return end.Sub(now), hit, manual >= 0
}

// routing is what a run showed.
type routing struct {
	requests, attained, hits, longs int
	p99                             time.Duration
}

func runRouting(p route.Policy, perSecond float64) routing {
	w := newWorld(p)
	var out routing
	var waits []time.Duration
	next := start
	for now := start; now.Before(start.Add(runFor)); now = now.Add(reportEvery) {
		w.report(now)
		for ; next.Before(now.Add(reportEvery)); next = next.Add(time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))) {
			w.finish(next)
			wait, hit, long := w.arrive(next)
			waits = append(waits, wait)
			out.requests++
			if wait <= objective {
				out.attained++
			}
			if long {
				out.longs++
			}
			if hit {
				out.hits++
			}
		}
	}
	slices.Sort(waits)
	out.p99 = waits[len(waits)*99/100]
	return out
}

func measureRouting(w io.Writer) {
	fmt.Fprintf(w, "routing: %d engines, %d VMs, %d texts of %d tokens, %d of them in an engine's cache, reports every %v\n",
		engines, entryVMs, manuals, manualTokens, cachedManuals, reportEvery)
	fmt.Fprintln(w, "requests/s\tpolicy\twithin 0.76 s\ttexts in cache\tp99 to the end of the prompt")
	for _, rate := range []float64{20, 30, 40, 60, 80, 120} {
		for _, p := range []struct {
			name   string
			policy route.Policy
		}{{"round robin", route.PolicyRoundRobin}, {"least load", route.PolicyLeastLoad}, {"prefix", route.PolicyPrefix}} {
			r := runRouting(p.policy, rate)
			fmt.Fprintf(w, "%.0f\t%s\t%.1f %%\t%.1f %%\t%v\n", rate, p.name, share(r.attained, r.requests), share(r.hits, r.longs), r.p99.Round(time.Millisecond))
		}
	}
	fmt.Fprintln(w)
}
