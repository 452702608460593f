package assign

import (
	"maps"
	"math"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

const (
	// failureMemory is the weight that an answer keeps in the failure rate: about
	// the last five answers decide, so that an instance which fails half of its
	// requests is left within a second at ten requests a second.
	failureMemory = 0.8
	// ejectAbove is the failure rate from which an instance is left alone. A sound
	// service fails up to 0.15 of some kinds of request.
	ejectAbove = 0.45
	// ejectFirst and ejectMost bound the time for which it is left alone. It
	// doubles with every time in a row.
	ejectFirst = 700 * time.Millisecond
	ejectMost  = 6 * time.Second
	// slowMemory is the weight that an observation keeps in the slowness of an
	// instance, slowMost the largest slowness believed.
	slowMemory = 0.7
	slowMost   = 12.0
	// refusalPause is how long an engine that turned a request away gets no more for
	// that model from this VM: about the time until a report of the leader or of the
	// engine tells why.
	refusalPause = 300 * time.Millisecond
)

// node is what is known of one instance.
type node struct {
	instance upstream.Instance
	// contents says what an engine holds.
	contents contents

	// own is the work of this VM, others that of the other VMs by VM.
	own    load
	others map[string]reported

	// failures is the rate of failed answers.
	failures     float64
	ejectedUntil time.Time
	ejections    int
	// slow is by how much work takes longer than expected.
	slow float64
	// waiting holds the choices that have had no sign of life yet.
	waiting map[*Choice]struct{}
	// heard is when the instance last gave a sign of life.
	heard time.Time
	// running counts this VM's requests in flight by model.
	running map[string]int
	// pausedUntil says until when the engine gets no requests for a model, after it has
	// turned one away.
	pausedUntil map[string]time.Time
	// readings is the reading that all VMs gave it lately, oldest first; readTotal what this
	// VM gave it since the start, readTotals what the others told.
	readings   []reading
	readTotal  time.Duration
	readTotals map[string]time.Duration
	// cached holds the parts of prompts that the engine was sent, with the time.
	cached map[uint64]time.Time
}

// load is work in flight.
type load struct {
	requests int
	prefill  int
	kv       int
}

type reported struct {
	load
	running map[string]int
	// mean is the average of the reported prefill, in tokens.
	mean float64
	at   time.Time
}

const (
	// meanMemory is the time over which reported work is averaged: a few reports, less
	// than the time in which demand moves.
	meanMemory = 1500 * time.Millisecond
	// leastMean is the average in tokens below which another VM counts as idle.
	leastMean = 50.0
)

// meanWith returns the average with one more report.
func (r reported) meanWith(prefill int, now time.Time) float64 {
	if r.at.IsZero() {
		return float64(prefill)
	}
	kept := math.Exp(-now.Sub(r.at).Seconds() / meanMemory.Seconds())
	return float64(prefill) + kept*(r.mean-float64(prefill))
}

func newNode(i upstream.Instance) *node {
	n := &node{
		contents: contents{added: make(map[string]bool), missing: make(map[string]bool)},
		others:   make(map[string]reported), slow: 1,
		waiting: make(map[*Choice]struct{}), cached: make(map[uint64]time.Time),
		running: make(map[string]int), pausedUntil: make(map[string]time.Time), readTotals: make(map[string]time.Duration),
	}
	n.describe(i)
	return n
}

// describe takes a newer description of the same incarnation.
func (n *node) describe(i upstream.Instance) {
	same := n.instance.HoldsSame(&i)
	n.instance = i
	if same {
		return
	}
	var items []string
	for _, l := range i.Models {
		items = append(items, l.Model)
		for _, a := range l.Adapters {
			items = append(items, itemName(l.Model, a))
		}
	}
	n.contents.described(i.OrdersAccepted, items)
}

func (n *node) holds(item string) bool { return n.contents.items[item] }

// ready reports whether the instance may get work: it does not leave, has not
// failed too often, and is not silent.
func (n *node) ready(now time.Time) bool {
	return !n.instance.Draining && !now.Before(n.ejectedUntil) && !n.silent(now)
}

// silent reports whether requests have waited far longer than expected without
// any sign of life from the instance. An instance that has gone dark sends no
// reset: every request sent to it would be lost until its entry disappears after
// three heartbeats.
func (n *node) silent(now time.Time) bool {
	for c := range n.waiting {
		allowed := 3*c.Expected + silenceFloor
		if c.ask.Model == "" {
			allowed = plainSilence
		}
		if now.Sub(c.at) > allowed && now.Sub(n.heard) > allowed {
			return true
		}
	}
	return false
}

const (
	// silenceFloor is how long an engine may say nothing beyond three times the
	// expected time to the first event.
	silenceFloor = 600 * time.Millisecond
	// plainSilence is the same for plain services: some ten times the usual work
	// of 15 to 60 ms, below the shortest wait of a caller.
	plainSilence = 400 * time.Millisecond
)

// succeeded and failed take in how an exchange ended; failed reports whether the
// instance is left alone from now on.
func (n *node) succeeded(now time.Time) {
	n.heard = now
	n.failures *= failureMemory
	if n.failures < ejectAbove/2 {
		n.ejections = 0
	}
}

func (n *node) failed(now time.Time) (ejected bool) {
	n.failures = n.failures*failureMemory + (1 - failureMemory)
	if n.failures < ejectAbove {
		return false
	}
	pause := ejectFirst << min(n.ejections, 4)
	n.ejections++
	n.ejectedUntil = now.Add(min(pause, ejectMost))
	// One more failure after the pause ejects it again; one success halves the rate.
	n.failures = ejectAbove - 0.1
	return true
}

// total is the work of all VMs on the instance. What others reported shrinks by
// the time since, at the pace at which the engine reads prompts.
func (n *node) total(now time.Time, perToken time.Duration) load {
	sum := n.own
	for _, r := range n.others {
		age := now.Sub(r.at)
		if age > reportLifetime {
			continue
		}
		read := 0
		if perToken > 0 {
			read = int(age / perToken)
		}
		sum.prefill += max(0, r.prefill-read)
		sum.requests += r.requests
		sum.kv += r.kv
	}
	return sum
}

// usual is the work of other VMs on the instance as it is on average, in tokens. Among many
// VMs a report is up to a second old; what it told of has been read since, and new work has
// come that nobody has heard of yet. By total alone an engine looks idle then, and gets as
// much as one that is. It ranks engines and refuses nothing.
func (n *node) usual(now time.Time) int {
	sum := 0.0
	for _, r := range n.others {
		if now.Sub(r.at) <= reportLifetime {
			sum += r.mean
		}
	}
	return int(sum)
}

// totalRunning counts the requests in flight of all VMs by model.
func (n *node) totalRunning(now time.Time) map[string]int {
	sum := maps.Clone(n.running)
	for _, r := range n.others {
		if now.Sub(r.at) > reportLifetime {
			continue
		}
		for model, count := range r.running {
			sum[model] += count
		}
	}
	return sum
}

// reportLifetime is how long another VM's report counts: a few reports, so that
// the work of a VM that died does not block an engine.
const reportLifetime = 2 * time.Second

// cachedTokens is how much of a prompt the engine is believed to keep.
func (n *node) cachedTokens(a Ask, now time.Time) int {
	best := 0
	for _, p := range a.Parts {
		at, ok := n.cached[p.Hash]
		if !ok || now.Sub(at) > cacheLifetime {
			break
		}
		best = p.Tokens
	}
	return best
}

const (
	// cacheLifetime is how long parts are believed to be kept after their last use.
	// An engine drops what was used least recently; at the usual load its memory
	// turns over in some tens of seconds.
	cacheLifetime = 20 * time.Second
	// maxCached bounds the parts remembered for an engine.
	maxCached = 4096
)

func (n *node) remember(a Ask, now time.Time) {
	if len(n.cached) > maxCached {
		n.forgetOld(now)
	}
	for _, p := range a.Parts {
		n.cached[p.Hash] = now
	}
}

func (n *node) forgetOld(now time.Time) {
	for hash, at := range n.cached {
		if now.Sub(at) > cacheLifetime/2 {
			delete(n.cached, hash)
		}
	}
	if len(n.cached) > maxCached {
		n.cached = make(map[uint64]time.Time)
	}
}
