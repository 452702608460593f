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
	// refreshInterval is how often deadlines, the fleet and heartbeats are checked.
	refreshInterval = 20 * time.Millisecond
	// replicaTimeout is how long a request stays queued while no upstream serves its
	// item.
	replicaTimeout = 2 * time.Second
	// messageBuffer is the capacity of the channel into the owning goroutine.
	messageBuffer = 256
)

// Options configures a Dispatcher.
type Options struct {
	// Route configures the selection of upstreams.
	Route route.Options
	// Admit configures the queue.
	Admit admit.Options
	// Fleet returns the upstreams. It must not block.
	Fleet func() *route.Fleet
	// Teams returns the teams of the active configuration, for their weights. It
	// must not block.
	Teams func() []document.Team
	// Peers returns the state of the other VMs from their heartbeats. It must not
	// block. Nil means that there are no other VMs.
	Peers func() Peers
	// Borrower requests shares of limits from other VMs. It may be nil.
	Borrower Borrower
	// Seed seeds the random number generator.
	Seed uint64
}

// Dispatcher assigns requests from its queue to upstreams. It processes requests
// only while Run executes.
type Dispatcher struct {
	options Options
	queue   *admit.Queue
	router  *route.Router
	rng     *rand.Rand
	fleet   *route.Fleet
	waiting map[uint64]*waiter
	// classes holds one request of each class that has queued requests. canRun uses it
	// to find out whether an upstream is available for the class. A class without queued
	// requests is removed at a later refresh.
	classes         map[string]*Request
	averageRunTimes map[route.Item]time.Duration
	limitShares     *route.LimitShares
	// exhaustedLimits holds the limit of each item whose local share was found used
	// up since the last refresh.
	exhaustedLimits map[route.Item]int
	// lastBorrow holds the time of the last borrow request for each item.
	lastBorrow map[route.Item]time.Time
	nextID     uint64
	peers      Peers
	stats      Stats
	messages   chan any
	done       chan struct{}
	published  atomic.Pointer[Stats]
}

// waiter is a queued request and the channel on which its caller waits.
type waiter struct {
	request  *Request
	class    string
	queuedAt time.Time
	reply    chan result
}

// result is sent to the caller of Acquire: either a grant or an error.
type result struct {
	grant *Grant
	err   error
}

// The messages to the owning goroutine.
type (
	acquireMessage struct {
		request *Request
		reply   chan result
		id      chan uint64
	}
	cancelMessage struct {
		id      uint64
		removed chan bool
	}
	finishMessage struct {
		grant   *Grant
		healthy bool
		tokens  int64
	}
)

// New returns a dispatcher. Run must be called for Acquire to make progress.
func New(o Options) *Dispatcher {
	if o.Peers == nil {
		o.Peers = func() Peers { return Peers{VMs: 1} }
	}
	d := &Dispatcher{
		options:         o,
		queue:           admit.New(o.Admit),
		router:          route.New(o.Route),
		rng:             rand.New(rand.NewPCG(o.Seed, o.Seed)),
		waiting:         make(map[uint64]*waiter),
		classes:         make(map[string]*Request),
		averageRunTimes: make(map[route.Item]time.Duration),
		limitShares:     route.NewLimitShares(),
		exhaustedLimits: make(map[route.Item]int),
		lastBorrow:      make(map[route.Item]time.Time),
		messages:        make(chan any, messageBuffer),
		done:            make(chan struct{}),
		stats:           Stats{Served: make(map[string]int64), Refused: make(map[string]int64)},
	}
	d.publish()
	return d
}

// Stats returns the most recently published statistics.
func (d *Dispatcher) Stats() *Stats { return d.published.Load() }

// Acquire waits for an upstream. The error is a *admit.Refusal, ErrNoReplica,
// ErrStopped, the error of Request.Check, or the error of ctx; in all of these cases
// the request was not run. The caller must call Finish on the grant.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Grant, error) {
	reply := make(chan result, 1)
	id := make(chan uint64, 1)
	if !d.send(acquireMessage{request: &r, reply: reply, id: id}) {
		return nil, ErrStopped
	}
	select {
	case out := <-reply:
		return out.grant, out.err
	case <-d.done:
		return nil, ErrStopped
	case <-ctx.Done():
		d.cancelQueued(reply, id)
		return nil, ctx.Err()
	}
}

// cancelQueued removes a request whose context has ended from the queue. If the
// request was granted concurrently, the unused grant is finished.
func (d *Dispatcher) cancelQueued(reply chan result, id chan uint64) {
	var requestID uint64
	select {
	case requestID = <-id:
	case <-d.done:
		return
	}
	removed := make(chan bool, 1)
	if !d.send(cancelMessage{id: requestID, removed: removed}) {
		return
	}
	select {
	case ok := <-removed:
		if ok {
			return
		}
	case <-d.done:
		return
	}
	if out := <-reply; out.grant != nil {
		out.grant.Finish(true, 0)
	}
}

// send passes a message to the owning goroutine. It returns false if that goroutine
// has stopped.
func (d *Dispatcher) send(message any) bool {
	select {
	case <-d.done:
		return false
	default:
	}
	select {
	case d.messages <- message:
		return true
	case <-d.done:
		return false
	}
}

// Run processes requests until ctx ends and returns the error of ctx. Requests that
// are still queued then fail with ErrStopped.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer close(d.done)
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	d.refresh(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.refresh(ctx)
		case message := <-d.messages:
			d.handle(message, time.Now())
		}
		d.dispatchQueued(time.Now())
	}
}
