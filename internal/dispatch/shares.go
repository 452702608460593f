package dispatch

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

// borrowPause is the least time between two questions for the same item.
const borrowPause = 20 * time.Millisecond

// Borrower asks other VMs for parts of a limit.
type Borrower interface {
	// Borrow asks the VM at a place in the fleet's order and returns how many
	// places it has lent. It may block for as long as a call to a VM may take.
	Borrow(ctx context.Context, rank int, i route.Item, limit, want int) int
}

// The messages about loans.
type (
	lend struct {
		item        route.Item
		limit, want int
		lent        chan int
	}
	borrowed struct {
		item  route.Item
		n     int
		asked time.Time
	}
)

// queued returns the number of requests that wait for an item.
func (d *Dispatcher) queued(i route.Item) int {
	n := 0
	for _, w := range d.waiting {
		if w.request.Item == i {
			n++
		}
	}
	return n
}

// borrow asks one other VM for each item that is short. The answer comes back as a
// message.
func (d *Dispatcher) borrow(ctx context.Context, now time.Time) {
	for i, limit := range d.short {
		delete(d.short, i)
		lenders := route.Lenders(limit, d.peers.VMs)
		if d.options.Borrower == nil || now.Before(d.asked[i].Add(borrowPause)) || lenders < 1 {
			continue
		}
		rank := d.rng.IntN(lenders)
		if rank == d.peers.Rank {
			rank = (rank + 1) % d.peers.VMs
		}
		if rank == d.peers.Rank {
			continue
		}
		d.asked[i] = now
		want := d.queued(i)
		go func() {
			n := d.options.Borrower.Borrow(ctx, rank, i, limit, want)
			d.send(borrowed{item: i, n: n, asked: now})
		}()
	}
}

// Lend gives a part of an item's limit to another VM and returns how much.
func (d *Dispatcher) Lend(ctx context.Context, i route.Item, limit, want int) int {
	lent := make(chan int, 1)
	if !d.send(lend{item: i, limit: limit, want: want, lent: lent}) {
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

// lendPart lends what neither runs here nor waits here.
func (d *Dispatcher) lendPart(m lend, now time.Time) {
	inUse := d.router.AdapterInFlight(m.item) + d.queued(m.item)
	m.lent <- d.parts.Lend(m.item, m.limit, inUse, m.want, now)
}

// PeerBorrower asks over gRPC.
type PeerBorrower struct {
	// Pool makes the calls.
	Pool *peer.Pool
	// Address returns the address for peers of the VM at a place in the fleet's
	// order, or "".
	Address func(rank int) string
}

// borrowTimeout bounds one question.
const borrowTimeout = 200 * time.Millisecond

// Borrow implements Borrower.
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

// Server answers other VMs.
type Server struct {
	peerpb.UnimplementedSharesServer
	dispatcher *Dispatcher
}

// Register adds the service to a server of peers.
func (d *Dispatcher) Register(r grpc.ServiceRegistrar) {
	peerpb.RegisterSharesServer(r, &Server{dispatcher: d})
}

// BorrowShare lends a part of a limit.
func (s *Server) BorrowShare(ctx context.Context, in *peerpb.BorrowShareRequest) (*peerpb.BorrowShareResponse, error) {
	item := route.Item{Model: in.GetModel(), Adapter: in.GetAdapter()}
	lent := s.dispatcher.Lend(ctx, item, int(in.GetLimit()), int(in.GetWant()))
	return &peerpb.BorrowShareResponse{Lent: int32(lent)}, nil
}
