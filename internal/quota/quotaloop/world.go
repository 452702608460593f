package quotaloop

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/quota"
)

// Team returns the name of the team with an index.
func Team(i int) string {
	return fmt.Sprintf("team%d", i)
}

// Options configure a world.
type Options struct {
	// VMs and Domains are the sizes of the fleet.
	VMs, Domains int
	// Teams is the number of teams. The default is 1.
	Teams int
	// Rate and Burst are each team's.
	Rate, Burst int64
	// Seed fixes every random choice.
	Seed uint64
	// Network and Store hold the first faults.
	Network NetworkFaults
	Store   StoreFaults
	// Config changes the machines' settings.
	Config quota.Config
	// Tick is the time between a machine's ticks.
	Tick time.Duration
	// Hook is called with every new machine. It may be nil.
	Hook func(m *quota.Machine)
}

// NetworkFaults say how messages travel.
type NetworkFaults struct {
	// Delay and Jitter give a message's time on the way.
	Delay, Jitter time.Duration
	// Loss and Repeat are shares in a thousand.
	Loss, Repeat int
	// Late is a share in a thousand of messages that take up to LateBy more.
	Late   int
	LateBy time.Duration
}

// StoreFaults say how the key-value service answers.
type StoreFaults struct {
	// Down means that it takes in nothing.
	Down bool
	// Delay and Jitter give the time of a call each way.
	Delay, Jitter time.Duration
	// Lost is the share in a thousand of answers that are lost.
	Lost int
	// Late is the share in a thousand of calls that take effect up to LateBy
	// later, after the caller has given up.
	Late   int
	LateBy time.Duration
}

// storeTimeout is when a caller of the key-value service gives up.
const storeTimeout = 400 * time.Millisecond

// viewEvery is how often a VM's picture of the fleet changes.
const viewEvery = 200 * time.Millisecond

// heardFor is how long the membership takes to notice a silent VM.
const heardFor = 3 * time.Second

// node is one process on a VM. A VM whose process was replaced while paused has
// two, of which the later one takes in messages.
type node struct {
	vm      string
	domain  string
	machine *quota.Machine
	alive   bool
	paused  bool
	// monoLost is how long the monotonic clock stood still, wallSet how far the
	// wall clock was set off.
	monoLost time.Duration
	wallSet  time.Duration
	pausedAt time.Duration
	// stopMono says that the monotonic clock stands still while paused.
	stopMono bool
	backlog  []func()
	lastSeen time.Duration
	viewed   time.Duration
}

// World is a fleet with its network and key-value service.
type World struct {
	Options
	// Now is the true time since the start.
	Now time.Duration
	// Store holds the keys.
	store   map[string]quota.Entry
	stamp   int64
	nodes   []*node
	current map[string]*node
	names   []string
	queue   events
	order   uint64
	rng     *rand.Rand
	ideal   []*Ideal
	limits  []quota.Limit
	version int64
	// cut holds pairs of VMs that do not hear each other.
	cut      map[[2]string]bool
	storeCut map[string]bool
	requests map[uint64]request
	numbers  uint64
	errors   []error

	// Sent counts messages, Calls calls to the store.
	Sent, Calls int64
	// Verdicts counts by cause, with "" for admitted; Tokens sums sizes.
	Verdicts map[quota.Cause]int64
	Tokens   map[quota.Cause]int64
	// OnVerdict is called with every verdict. It may be nil.
	OnVerdict func(vm string, tokens int64, v quota.Verdict, waited time.Duration, tag bool)
	// OnSend is called with every message. It may be nil.
	OnSend func(from, to string, message quota.Message)
}

type request struct {
	team   int
	tokens int64
	at     time.Duration
	tag    bool
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New returns a world whose VMs have just started.
func New(options Options) *World {
	options.Tick = cmp.Or(options.Tick, 10*time.Millisecond)
	w := &World{
		Options:  options,
		store:    make(map[string]quota.Entry),
		current:  make(map[string]*node),
		rng:      rand.New(rand.NewPCG(options.Seed, 1)),
		version:  1,
		cut:      make(map[[2]string]bool),
		storeCut: make(map[string]bool),
		requests: make(map[uint64]request),
		Verdicts: make(map[quota.Cause]int64),
		Tokens:   make(map[quota.Cause]int64),
	}
	w.limits = limits(max(options.Teams, 1), options.Rate, options.Burst)
	for range w.limits {
		w.ideal = append(w.ideal, NewIdeal(options.Rate, options.Burst))
	}
	for i := range options.VMs {
		w.start(VM(i), fmt.Sprintf("d%d", i%max(options.Domains, 1)))
	}
	w.names = slices.Sorted(maps.Keys(w.current))
	return w
}

func limits(teams int, rate, burst int64) []quota.Limit {
	var all []quota.Limit
	for i := range teams {
		all = append(all, quota.Limit{Team: Team(i), Rate: rate, Burst: burst})
	}
	return all
}

// VM returns the ID of the VM with an index.
func VM(i int) string {
	return fmt.Sprintf("vm%03d", i)
}

func (w *World) start(vm, domain string) {
	w.numbers++
	n := &node{vm: vm, domain: domain, alive: true, lastSeen: w.Now}
	cfg := w.Config
	cfg.Self = quota.Holder{VM: vm, Incarnation: 1000 * w.numbers}
	cfg.Address = vm
	cfg.FailureDomain = domain
	n.machine = quota.New(w.reading(n), cfg)
	if w.Hook != nil {
		w.Hook(n.machine)
	}
	n.machine.SetLimits(w.reading(n), w.version, w.limits)
	w.nodes = append(w.nodes, n)
	w.current[vm] = n
	w.after(time.Duration(w.rng.Int64N(int64(w.Tick))), func() { w.tick(n) })
}

func (w *World) reading(n *node) clock.Reading {
	mono := w.Now - n.monoLost
	if n.paused && n.stopMono {
		mono = n.pausedAt - n.monoLost
	}
	return clock.Reading{Mono: mono, Wall: time.Unix(1_000_000, 0).Add(w.Now + n.wallSet)}
}

func (w *World) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.Now + max(delay, 0), order: w.order, run: run})
}

// At runs a function at a time since the start.
func (w *World) At(at time.Duration, run func()) {
	w.after(at-w.Now, run)
}

// Run steps the world until a time since the start and returns the first breach
// of the bound.
func (w *World) Run(until time.Duration) error {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := heap.Pop(&w.queue).(event)
		w.Now = next.at
		next.run()
		if len(w.errors) > 0 {
			return w.errors[0]
		}
	}
	w.Now = until
	return nil
}

// on runs a step on a process, at once or when its pause is over.
func (w *World) on(n *node, step func()) {
	switch {
	case !n.alive:
	case n.paused:
		n.backlog = append(n.backlog, step)
	default:
		step()
		w.perform(n)
	}
}

func (w *World) tick(n *node) {
	if !n.alive {
		return
	}
	w.on(n, func() {
		n.lastSeen = w.Now
		if w.Now-n.viewed >= viewEvery || n.viewed == 0 {
			n.viewed = w.Now
			n.machine.SetPeers(w.peersOf(n))
		}
		n.machine.Tick(w.reading(n))
	})
	w.after(w.Tick, func() { w.tick(n) })
}

// peersOf is what a membership would know.
func (w *World) peersOf(n *node) []quota.Peer {
	peers := make([]quota.Peer, 0, len(w.current))
	for _, vm := range w.names {
		p := w.current[vm]
		if vm == n.vm {
			continue
		}
		heard := p.alive && w.Now-p.lastSeen < heardFor && !w.cut[[2]string{vm, n.vm}]
		peers = append(peers, quota.Peer{Holder: p.machine.Self(), Address: vm, FailureDomain: p.domain, Heard: heard})
	}
	return peers
}

// perform carries out what a machine wants done.
func (w *World) perform(n *node) {
	for _, action := range n.machine.Actions() {
		switch a := action.(type) {
		case quota.Send:
			w.deliver(n, a)
		case quota.Verdict:
			w.judge(n, a)
		case quota.Read:
			w.storeRead(n, a)
		case quota.Write:
			w.storeWrite(n, a)
		}
	}
}

func (w *World) chance(thousandth int) bool {
	return thousandth > 0 && w.rng.IntN(1000) < thousandth
}

func (w *World) spread(base, jitter time.Duration) time.Duration {
	if jitter <= 0 {
		return base
	}
	return base + time.Duration(w.rng.Int64N(int64(jitter)))
}

func (w *World) deliver(n *node, s quota.Send) {
	w.Sent++
	if w.OnSend != nil {
		w.OnSend(n.vm, s.To, s.Message)
	}
	copies := 1
	if w.chance(w.Network.Repeat) {
		copies = 2
	}
	for range copies {
		if w.chance(w.Network.Loss) || w.cut[[2]string{n.vm, s.To}] {
			continue
		}
		delay := w.spread(w.Network.Delay, w.Network.Jitter)
		if w.chance(w.Network.Late) {
			delay = w.spread(delay, w.Network.LateBy)
		}
		w.after(delay, func() {
			to, known := w.current[s.To]
			if !known {
				return
			}
			w.on(to, func() { to.machine.Receive(w.reading(to), n.vm, s.Message) })
		})
	}
}

// judge notes a verdict and holds it against the bound.
func (w *World) judge(n *node, v quota.Verdict) {
	r := w.requests[v.Request]
	delete(w.requests, v.Request)
	w.Verdicts[v.Cause]++
	w.Tokens[v.Cause] += r.tokens
	if v.Admitted {
		if err := w.ideal[r.team].Charge(w.Now, r.tokens); err != nil {
			w.errors = append(w.errors, err)
		}
	}
	if w.OnVerdict != nil {
		w.OnVerdict(n.vm, r.tokens, v, w.Now-r.at, r.tag)
	}
}
