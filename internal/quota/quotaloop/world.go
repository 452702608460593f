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

// Team returns the name of the team with the given index.
func Team(i int) string {
	return fmt.Sprintf("team%d", i)
}

// Options configures a World.
type Options struct {
	// VMs and Domains are the numbers of VMs and of failure domains.
	VMs, Domains int
	// Teams is the number of teams. The default is 1.
	Teams int
	// Rate and Burst are the limits of each team, in tokens per second and in
	// tokens.
	Rate, Burst int64
	// Seed determines every random choice of the World.
	Seed uint64
	// Network and Store are the initial network and store faults.
	Network NetworkFaults
	Store   StoreFaults
	// Config holds the machines' settings. World sets Self, Address and
	// FailureDomain.
	Config quota.Config
	// Tick is the time between a machine's ticks. The default is 10ms.
	Tick time.Duration
	// OnNewMachine is called with every new machine before its first step. It may be nil.
	OnNewMachine func(m *quota.Machine)
}

// NetworkFaults configures delay, loss and duplication of messages.
type NetworkFaults struct {
	// Delay is the minimum latency of a message and Jitter the bound of the random
	// latency added to it.
	Delay, Jitter time.Duration
	// Loss and Repeat are the shares, in a thousand, of messages that are lost and
	// that are delivered twice.
	Loss, Repeat int
	// Late is the share, in a thousand, of messages that are delayed by up to LateBy
	// more.
	Late   int
	LateBy time.Duration
}

// StoreFaults configures outages, delay and loss at the key-value service.
type StoreFaults struct {
	// Down means that the service accepts no calls and returns no answers.
	Down bool
	// Delay is the minimum latency of a call in each direction and Jitter the bound
	// of the random latency added to it.
	Delay, Jitter time.Duration
	// Lost is the share, in a thousand, of answers that are lost.
	Lost int
	// Late is the share, in a thousand, of calls that take effect up to LateBy
	// later, possibly after the caller has timed out.
	Late   int
	LateBy time.Duration
}

// storeTimeout is the timeout of a call to the key-value service.
const storeTimeout = 400 * time.Millisecond

// viewInterval is the least time between updates of a VM's view of the fleet.
const viewInterval = 200 * time.Millisecond

// silenceTimeout is how long the simulated membership takes to detect that a VM has
// stopped reporting.
const silenceTimeout = 3 * time.Second

// node is one process on a VM. A VM whose process was replaced while it was paused has
// two processes, of which only the newer one receives messages.
type node struct {
	vm      string
	domain  string
	machine *quota.Machine
	alive   bool
	paused  bool
	// monoStopped is how long the monotonic clock has stood still in total,
	// wallOffset the offset of the wall clock.
	monoStopped time.Duration
	wallOffset  time.Duration
	pausedAt    time.Duration
	// stopMono means that the monotonic clock stands still during the pause.
	stopMono      bool
	backlog       []func()
	lastTickAt    time.Duration
	viewUpdatedAt time.Duration
}

// World is a simulated fleet with its network and key-value service.
type World struct {
	Options
	// Now is the simulated time since the start, independent of the VMs' clocks.
	Now time.Duration
	// store holds the entries of the key-value service.
	store        map[string]quota.Entry
	lastRevision int64
	nodes        []*node
	currentNodes map[string]*node
	vmNames      []string
	queue        events
	lastOrder    uint64
	rng          *rand.Rand
	idealBuckets []*IdealBucket
	limits       []quota.Limit
	version      int64
	// cutLinks holds the pairs of sender and receiver whose messages are dropped,
	// cutFromStore the VMs that cannot reach the key-value service.
	cutLinks     map[[2]string]bool
	cutFromStore map[string]bool
	requests     map[uint64]request
	lastNumber   uint64
	violations   []error

	// MessagesSent counts messages, StoreCalls calls to the key-value service.
	MessagesSent, StoreCalls int64
	// Verdicts counts the requests by cause of refusal, with "" for admitted ones.
	// Tokens sums their sizes in the same way.
	Verdicts map[quota.Cause]int64
	Tokens   map[quota.Cause]int64
	// OnVerdict is called with every verdict, the time that the request waited and
	// the tag given to AcquireTagged. It may be nil.
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

// New returns a World whose VMs have just started.
func New(options Options) *World {
	options.Tick = cmp.Or(options.Tick, 10*time.Millisecond)
	w := &World{
		Options:      options,
		store:        make(map[string]quota.Entry),
		currentNodes: make(map[string]*node),
		rng:          rand.New(rand.NewPCG(options.Seed, 1)),
		version:      1,
		cutLinks:     make(map[[2]string]bool),
		cutFromStore: make(map[string]bool),
		requests:     make(map[uint64]request),
		Verdicts:     make(map[quota.Cause]int64),
		Tokens:       make(map[quota.Cause]int64),
	}
	w.limits = equalLimits(max(options.Teams, 1), options.Rate, options.Burst)
	for range w.limits {
		w.idealBuckets = append(w.idealBuckets, NewIdealBucket(options.Rate, options.Burst))
	}
	for i := range options.VMs {
		w.start(VM(i), fmt.Sprintf("d%d", i%max(options.Domains, 1)))
	}
	w.vmNames = slices.Sorted(maps.Keys(w.currentNodes))
	return w
}

func equalLimits(teams int, rate, burst int64) []quota.Limit {
	var all []quota.Limit
	for i := range teams {
		all = append(all, quota.Limit{Team: Team(i), Rate: rate, Burst: burst})
	}
	return all
}

// VM returns the ID of the VM with the given index.
func VM(i int) string {
	return fmt.Sprintf("vm%03d", i)
}

func (w *World) start(vm, domain string) {
	w.lastNumber++
	n := &node{vm: vm, domain: domain, alive: true, lastTickAt: w.Now}
	cfg := w.Config
	cfg.Self = quota.Holder{VM: vm, Incarnation: 1000 * w.lastNumber}
	cfg.Address = vm
	cfg.FailureDomain = domain
	n.machine = quota.New(w.clockReading(n), cfg)
	if w.OnNewMachine != nil {
		w.OnNewMachine(n.machine)
	}
	n.machine.SetLimits(w.clockReading(n), w.version, w.limits)
	w.nodes = append(w.nodes, n)
	w.currentNodes[vm] = n
	w.schedule(time.Duration(w.rng.Int64N(int64(w.Tick))), func() { w.tick(n) })
}

func (w *World) clockReading(n *node) clock.Reading {
	mono := w.Now - n.monoStopped
	if n.paused && n.stopMono {
		mono = n.pausedAt - n.monoStopped
	}
	return clock.Reading{Mono: mono, Wall: time.Unix(1_000_000, 0).Add(w.Now + n.wallOffset)}
}

func (w *World) schedule(delay time.Duration, run func()) {
	w.lastOrder++
	heap.Push(&w.queue, event{at: w.Now + max(delay, 0), order: w.lastOrder, run: run})
}

// At schedules a function to run at a time since the start.
func (w *World) At(at time.Duration, run func()) {
	w.schedule(at-w.Now, run)
}

// Run runs the simulation until a time since the start. It returns the first
// *OverAdmission, if there is any.
func (w *World) Run(until time.Duration) error {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := heap.Pop(&w.queue).(event)
		w.Now = next.at
		next.run()
		if len(w.violations) > 0 {
			return w.violations[0]
		}
	}
	w.Now = until
	return nil
}

// runStep runs a step on a process, immediately or after its pause, and executes the
// actions that the machine requests. A step on an ended process is dropped.
func (w *World) runStep(n *node, step func()) {
	switch {
	case !n.alive:
	case n.paused:
		n.backlog = append(n.backlog, step)
	default:
		step()
		w.executeActions(n)
	}
}

func (w *World) tick(n *node) {
	if !n.alive {
		return
	}
	w.runStep(n, func() {
		n.lastTickAt = w.Now
		if w.Now-n.viewUpdatedAt >= viewInterval || n.viewUpdatedAt == 0 {
			n.viewUpdatedAt = w.Now
			n.machine.SetPeers(w.peersOf(n))
		}
		n.machine.Tick(w.clockReading(n))
	})
	w.schedule(w.Tick, func() { w.tick(n) })
}

// peersOf returns the peers as a membership service would report them to a process.
func (w *World) peersOf(n *node) []quota.Peer {
	peers := make([]quota.Peer, 0, len(w.currentNodes))
	for _, vm := range w.vmNames {
		p := w.currentNodes[vm]
		if vm == n.vm {
			continue
		}
		heard := p.alive && w.Now-p.lastTickAt < silenceTimeout && !w.cutLinks[[2]string{vm, n.vm}]
		peers = append(peers, quota.Peer{Holder: p.machine.Self(), Address: vm, FailureDomain: p.domain, Alive: heard})
	}
	return peers
}

// executeActions executes the actions that a machine has requested.
func (w *World) executeActions(n *node) {
	for _, action := range n.machine.Actions() {
		switch a := action.(type) {
		case quota.Send:
			w.sendMessage(n, a)
		case quota.Verdict:
			w.recordVerdict(n, a)
		case quota.Read:
			w.handleRead(n, a)
		case quota.Write:
			w.handleWrite(n, a)
		}
	}
}

func (w *World) chance(perMille int) bool {
	return perMille > 0 && w.rng.IntN(1000) < perMille
}

func (w *World) withJitter(base, jitter time.Duration) time.Duration {
	if jitter <= 0 {
		return base
	}
	return base + time.Duration(w.rng.Int64N(int64(jitter)))
}

func (w *World) sendMessage(n *node, s quota.Send) {
	w.MessagesSent++
	if w.OnSend != nil {
		w.OnSend(n.vm, s.To, s.Message)
	}
	copies := 1
	if w.chance(w.Network.Repeat) {
		copies = 2
	}
	for range copies {
		if w.chance(w.Network.Loss) || w.cutLinks[[2]string{n.vm, s.To}] {
			continue
		}
		delay := w.withJitter(w.Network.Delay, w.Network.Jitter)
		if w.chance(w.Network.Late) {
			delay = w.withJitter(delay, w.Network.LateBy)
		}
		w.schedule(delay, func() {
			to, known := w.currentNodes[s.To]
			if !known {
				return
			}
			w.runStep(to, func() { to.machine.Receive(w.clockReading(to), n.vm, s.Message) })
		})
	}
}

// recordVerdict counts a verdict and checks an admission against the bound.
func (w *World) recordVerdict(n *node, v quota.Verdict) {
	r := w.requests[v.Request]
	delete(w.requests, v.Request)
	w.Verdicts[v.Cause]++
	w.Tokens[v.Cause] += r.tokens
	if v.Admitted {
		if err := w.idealBuckets[r.team].Charge(w.Now, r.tokens); err != nil {
			w.violations = append(w.violations, err)
		}
	}
	if w.OnVerdict != nil {
		w.OnVerdict(n.vm, r.tokens, v, w.Now-r.at, r.tag)
	}
}
