package vm

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

const (
	// dispatchQueueSize bounds the dispatches that wait to be announced. Those dropped beyond
	// it are covered by the next report.
	dispatchQueueSize = 256
	// dispatchCallInterval is the least time between two calls to a VM. Dispatches in between
	// are sent in one call.
	dispatchCallInterval = 8 * time.Millisecond
	// dispatchCallTimeout bounds a call. One that takes longer is of no use, since the next
	// report carries the same loads.
	dispatchCallTimeout = 150 * time.Millisecond
)

// dispatchNotifier notifies the other VMs of a small fleet as soon as this one sends a request
// to an engine.
//
// Reports are exchanged four times a second. Without notifications, every VM would send its
// prompts to an engine in between as if it were the only one. The engine reads all new prompts
// between two steps, and all of its running streams stall for that time. In a large fleet a VM
// sends to the same engine so rarely that notifying every other VM would cost more than it
// gains.
type dispatchNotifier struct {
	fleet *fleet
	queue chan string

	mu sync.Mutex
	// pending holds the engines whose loads have to be sent, by VM. calling holds the VMs to
	// which calls are in progress.
	pending map[string]map[string]bool
	calling map[string]bool
}

func newDispatchNotifier(f *fleet) *dispatchNotifier {
	return &dispatchNotifier{
		fleet: f, queue: make(chan string, dispatchQueueSize), pending: make(map[string]map[string]bool), calling: make(map[string]bool),
	}
}

// notify queues a dispatch to an engine. It never blocks.
func (n *dispatchNotifier) notify(instance string) {
	select {
	case n.queue <- instance:
	default:
	}
}

// run passes queued dispatches on to all mesh partners until ctx ends.
func (n *dispatchNotifier) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case instance := <-n.queue:
			for _, vm := range n.fleet.meshPartners() {
				n.enqueue(ctx, vm, instance)
			}
		}
	}
}

func (n *dispatchNotifier) enqueue(ctx context.Context, vm, instance string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pending[vm] == nil {
		n.pending[vm] = make(map[string]bool)
	}
	n.pending[vm][instance] = true
	if !n.calling[vm] {
		n.calling[vm] = true
		go n.sendPending(ctx, vm)
	}
}

// sendPending calls a VM until no loads are pending for it.
func (n *dispatchNotifier) sendPending(ctx context.Context, vm string) {
	for {
		engines := n.takePending(vm)
		if len(engines) == 0 || ctx.Err() != nil {
			return
		}
		n.callPeer(ctx, vm, engines)
		sleep(ctx, dispatchCallInterval)
	}
}

// takePending removes and returns the engines whose loads have to be sent to a VM. If there
// are none, the VM no longer counts as being called.
func (n *dispatchNotifier) takePending(vm string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	engines := slices.Collect(maps.Keys(n.pending[vm]))
	delete(n.pending, vm)
	if len(engines) == 0 {
		delete(n.calling, vm)
	}
	return engines
}

func (n *dispatchNotifier) callPeer(ctx context.Context, vm string, engines []string) {
	address := n.fleet.addressOf(vm)
	if address == "" {
		return
	}
	request := &peerpb.SentRequest{Vm: n.fleet.process.settings.VM, Incarnation: n.fleet.incarnation}
	for id, l := range n.fleet.process.assigner.LoadsOf(engines) {
		request.Engines = append(request.Engines, loadToProto(id, l))
	}
	// A failed call needs no handling: the next report carries the same loads.
	_ = n.fleet.process.pool.Call(ctx, address, dispatchCallTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := peerpb.NewVMsClient(conn).Sent(ctx, request)
		return err
	})
}

// meshPartners returns the VMs to notify of dispatches: none in a large fleet.
func (f *fleet) meshPartners() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plan == nil || !f.plan.Mesh {
		return nil
	}
	out := make([]string, 0, len(f.plan.Partners))
	for _, partner := range f.plan.Partners {
		out = append(out, partner.Name)
	}
	return out
}

func (f *fleet) addressOf(vm string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[vm]; m != nil {
		return m.Peers
	}
	return ""
}

// Sent implements peerpb.VMsServer.
func (s *vmServer) Sent(_ context.Context, in *peerpb.SentRequest) (*peerpb.SentResponse, error) {
	f := s.process.fleet
	f.mu.Lock()
	m := f.members[in.Vm]
	known := m != nil && m.Incarnation == in.Incarnation && f.plan != nil && f.plan.Mesh
	f.mu.Unlock()
	if known {
		s.process.assigner.UpdatePeerLoads(in.Vm, loadsFromProto(in.Engines), time.Now())
	}
	return &peerpb.SentResponse{}, nil
}
