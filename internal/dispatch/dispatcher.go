package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/admit"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

const (
	// tick is how often deadlines, new fleets and heartbeats are looked at.
	tick = 20 * time.Millisecond
	// replicaWait is how long a request waits while no upstream has its item.
	replicaWait = 2 * time.Second
	// events is the length of the channel into the owning goroutine.
	events = 256
)

// Options configures a Dispatcher.
type Options struct {
	// Route configures the choice of upstreams.
	Route route.Options
	// Admit configures the queue.
	Admit admit.Options
	// Fleet returns the upstreams. It must not block.
	Fleet func() *route.Fleet
	// Teams returns the teams in force, for their weights. It must not block.
	Teams func() []document.Team
	// Peers returns what the heartbeats tell. It must not block. Nil means that
	// there are no other VMs.
	Peers func() Peers
	// Borrower asks other VMs for parts of limits. It may be nil.
	Borrower Borrower
	// Seed starts the random draws.
	Seed uint64
}

// Dispatcher owns a queue and a choice of upstreams. Run makes it work.
type Dispatcher struct {
	options Options
	queue   *admit.Queue
	router  *route.Router
	rng     *rand.Rand
	fleet   *route.Fleet
	waiting map[uint64]*waiter
	classes map[string]*Request
	pace    map[route.Item]time.Duration
	parts   *route.Parts
	// short holds the limits of the items of which this VM has too small a part.
	short map[route.Item]int
	// asked holds when other VMs were last asked for a part of an item's limit.
	asked  map[route.Item]time.Time
	nextID uint64
	peers  Peers
	stats  Stats
	events chan any
	done   chan struct{}
	public atomic.Pointer[Stats]
}

// waiter is a request in the queue.
type waiter struct {
	request *Request
	class   string
	since   time.Time
	reply   chan result
}

// result ends the wait of a request.
type result struct {
	grant *Grant
	err   error
}

// The messages to the owning goroutine.
type (
	acquire struct {
		request *Request
		reply   chan result
		id      chan uint64
	}
	withdraw struct {
		id      uint64
		removed chan bool
	}
	finish struct {
		grant   *Grant
		healthy bool
		tokens  int64
	}
)

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	if o.Peers == nil {
		o.Peers = func() Peers { return Peers{VMs: 1} }
	}
	d := &Dispatcher{
		options: o,
		queue:   admit.New(o.Admit),
		router:  route.New(o.Route),
		rng:     rand.New(rand.NewPCG(o.Seed, o.Seed)),
		waiting: make(map[uint64]*waiter),
		classes: make(map[string]*Request),
		pace:    make(map[route.Item]time.Duration),
		parts:   route.NewParts(),
		short:   make(map[route.Item]int),
		asked:   make(map[route.Item]time.Time),
		events:  make(chan any, events),
		done:    make(chan struct{}),
		stats:   Stats{Served: make(map[string]int64), Refused: make(map[string]int64)},
	}
	d.publish()
	return d
}

// Stats returns the newest state.
func (d *Dispatcher) Stats() *Stats { return d.public.Load() }

// Acquire waits for an upstream. Errors are a *admit.Refusal, ErrNoReplica,
// ErrStopped, what Check returned, or ctx's; after each of them the request was
// not run. A grant must be finished.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Grant, error) {
	reply := make(chan result, 1)
	id := make(chan uint64, 1)
	if !d.send(acquire{request: &r, reply: reply, id: id}) {
		return nil, ErrStopped
	}
	select {
	case out := <-reply:
		return out.grant, out.err
	case <-d.done:
		return nil, ErrStopped
	case <-ctx.Done():
		d.giveUp(reply, id)
		return nil, ctx.Err()
	}
}

// giveUp takes a request back whose caller has gone. If it was granted in the
// same moment, the grant is returned unused.
func (d *Dispatcher) giveUp(reply chan result, id chan uint64) {
	var queued uint64
	select {
	case queued = <-id:
	case <-d.done:
		return
	}
	removed := make(chan bool, 1)
	if !d.send(withdraw{id: queued, removed: removed}) {
		return
	}
	select {
	case gone := <-removed:
		if gone {
			return
		}
	case <-d.done:
		return
	}
	if out := <-reply; out.grant != nil {
		out.grant.Finish(true, 0)
	}
}

// send gives a message to the owner. It reports false once that has stopped.
func (d *Dispatcher) send(message any) bool {
	select {
	case <-d.done:
		return false
	default:
	}
	select {
	case d.events <- message:
		return true
	case <-d.done:
		return false
	}
}

// Run owns the state until ctx ends. Whatever is queued then is refused with
// ErrStopped.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer close(d.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	d.refresh(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.refresh(ctx)
		case message := <-d.events:
			d.handle(message, time.Now())
		}
		d.pump(time.Now())
	}
}
