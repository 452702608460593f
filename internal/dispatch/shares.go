package dispatch

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

// borrowInterval is the minimum time between two borrow requests for the same item.
const borrowInterval = 20 * time.Millisecond

// Borrower requests shares of a limit from other VMs.
type Borrower interface {
	// Borrow asks the VM with the given rank for up to want slots of the item's limit
	// and returns how many it has lent. It may block for the duration of a call to
	// another VM.
	Borrow(ctx context.Context, rank int, i route.Item, limit, want int) int
}

// The messages to the owning goroutine about loans between VMs.
type (
	lendMessage struct {
		item        route.Item
		limit, want int
		lent        chan int
	}
	borrowedMessage struct {
		item        route.Item
		slots       int
		requestedAt time.Time
	}
)

// queuedFor returns the number of queued requests for an item.
func (d *Dispatcher) queuedFor(i route.Item) int {
	n := 0
	for _, w := range d.waiting {
		if w.request.Item == i {
			n++
		}
	}
	return n
}

// borrow sends a borrow request to one other VM for each item whose local share is
// exhausted. An item is skipped if its last request was sent less than borrowInterval ago,
// if there is no Borrower, or if no VM has a share of the limit. The response arrives as a
// borrowedMessage.
func (d *Dispatcher) borrow(ctx context.Context, now time.Time) {
	for i, limit := range d.exhaustedLimits {
		delete(d.exhaustedLimits, i)
		lenders := route.Lenders(limit, d.peers.VMs)
		if d.options.Borrower == nil || now.Before(d.lastBorrow[i].Add(borrowInterval)) || lenders < 1 {
			continue
		}
		// A random lender is asked. If that is this VM, the VM with the next rank is
		// asked instead, even if its own share of the limit is 0.
		rank := d.rng.IntN(lenders)
		if rank == d.peers.Rank {
			rank = (rank + 1) % d.peers.VMs
		}
		// The ranks are still equal if there is no other VM.
		if rank == d.peers.Rank {
			continue
		}
		d.lastBorrow[i] = now
		want := d.queuedFor(i)
		go func() {
			n := d.options.Borrower.Borrow(ctx, rank, i, limit, want)
			d.send(borrowedMessage{item: i, slots: n, requestedAt: now})
		}()
	}
}

// Lend lends up to want slots of this VM's share of an item's limit to another VM and
// returns how many it has lent. It returns 0 if ctx ends or the dispatcher has stopped.
// After ctx ends the slots may still be lent; they are free again when the loan expires.
func (d *Dispatcher) Lend(ctx context.Context, i route.Item, limit, want int) int {
	lent := make(chan int, 1)
	if !d.send(lendMessage{item: i, limit: limit, want: want, lent: lent}) {
		return 0
	}
	select {
	case n := <-lent:
		return n
	case <-ctx.Done():
	case <-d.done:
	}
	return 0
}

// lend lends slots that no running or queued request of this VM needs.
func (d *Dispatcher) lend(m lendMessage, now time.Time) {
	inUse := d.router.AdapterInFlight(m.item) + d.queuedFor(m.item)
	m.lent <- d.limitShares.Lend(m.item, m.limit, inUse, m.want, now)
}

// PeerBorrower is a Borrower that calls other VMs over gRPC.
type PeerBorrower struct {
	// Pool makes the calls.
	Pool *peer.Pool
	// Address returns the peer address of the VM with the given rank, or "" if it has
	// none.
	Address func(rank int) string
}

// borrowTimeout bounds one borrow request.
const borrowTimeout = 200 * time.Millisecond

// Borrow implements Borrower. It returns 0 if the VM has no address or the call fails.
func (p PeerBorrower) Borrow(ctx context.Context, rank int, i route.Item, limit, want int) int {
	address := p.Address(rank)
	if address == "" {
		return 0
	}
	var out *peerpb.BorrowShareResponse
	in := &peerpb.BorrowShareRequest{Model: i.Model, Adapter: i.Adapter, Limit: int32(limit), Want: int32(want)}
	err := p.Pool.Call(ctx, address, borrowTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		out, err = peerpb.NewSharesClient(conn).BorrowShare(ctx, in)
		return err
	})
	if err != nil {
		return 0
	}
	return int(out.GetLent())
}

// Server serves the borrow requests of other VMs.
type Server struct {
	peerpb.UnimplementedSharesServer
	dispatcher *Dispatcher
}

// Register registers the service with a gRPC server for peers.
func (d *Dispatcher) Register(r grpc.ServiceRegistrar) {
	peerpb.RegisterSharesServer(r, &Server{dispatcher: d})
}

// BorrowShare lends a part of this VM's share of a limit.
func (s *Server) BorrowShare(ctx context.Context, in *peerpb.BorrowShareRequest) (*peerpb.BorrowShareResponse, error) {
	item := route.Item{Model: in.GetModel(), Adapter: in.GetAdapter()}
	lent := s.dispatcher.Lend(ctx, item, int(in.GetLimit()), int(in.GetWant()))
	return &peerpb.BorrowShareResponse{Lent: int32(lent)}, nil
}
