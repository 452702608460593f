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
	// sendingsQueue is how many sendings may wait to be told. What is dropped beyond that,
	// the next report tells.
	sendingsQueue = 256
	// sendingsPause is the least time between two calls to a VM: what is sent meanwhile goes
	// into one.
	sendingsPause = 8 * time.Millisecond
	// sendingsTimeout bounds a call. Later, the next report has told as much.
	sendingsTimeout = 150 * time.Millisecond
)

// sendings tells the other VMs of a small fleet at once what this one sends to engines.
//
// Reports come four times a second. Within that time each VM would send its prompts to an
// engine as if it were alone, and the engine reads them all between two steps: every stream
// that it has stands still for as long. In a large fleet a VM sends to one engine so rarely
// that telling each other VM of it would cost more than it is worth.
type sendings struct {
	f      *fleet
	placed chan string

	mu sync.Mutex
	// untold names the engines of which a VM has to be told, calling the VMs that are being
	// called.
	untold  map[string]map[string]bool
	calling map[string]bool
}

func newSendings(f *fleet) *sendings {
	return &sendings{
		f: f, placed: make(chan string, sendingsQueue), untold: make(map[string]map[string]bool), calling: make(map[string]bool),
	}
}

// note notes a sending. It never blocks.
func (s *sendings) note(instance string) {
	select {
	case s.placed <- instance:
	default:
	}
}

// run tells of sendings until ctx ends.
func (s *sendings) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case instance := <-s.placed:
			for _, vm := range s.f.meshPartners() {
				s.add(ctx, vm, instance)
			}
		}
	}
}

func (s *sendings) add(ctx context.Context, vm, instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.untold[vm] == nil {
		s.untold[vm] = make(map[string]bool)
	}
	s.untold[vm][instance] = true
	if !s.calling[vm] {
		s.calling[vm] = true
		go s.tell(ctx, vm)
	}
}

// tell calls a VM for as long as there is something to tell it.
func (s *sendings) tell(ctx context.Context, vm string) {
	for {
		engines := s.take(vm)
		if len(engines) == 0 || ctx.Err() != nil {
			return
		}
		s.call(ctx, vm, engines)
		sleep(ctx, sendingsPause)
	}
}

// take returns the engines of which a VM has to be told. If there are none, the VM is no
// longer being called.
func (s *sendings) take(vm string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	engines := slices.Collect(maps.Keys(s.untold[vm]))
	delete(s.untold, vm)
	if len(engines) == 0 {
		delete(s.calling, vm)
	}
	return engines
}

func (s *sendings) call(ctx context.Context, vm string, engines []string) {
	address := s.f.addressOf(vm)
	if address == "" {
		return
	}
	request := &peerpb.SentRequest{Vm: s.f.p.settings.VM, Incarnation: s.f.incarnation}
	for id, l := range s.f.p.assigner.LoadsOf(engines) {
		request.Engines = append(request.Engines, engineLoad(id, l))
	}
	// A call that fails needs no other answer than the next report, which tells the same.
	_ = s.f.p.pool.Call(ctx, address, sendingsTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := peerpb.NewVMsClient(conn).Sent(ctx, request)
		return err
	})
}

// meshPartners names the VMs to tell of sendings: none in a large fleet.
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
	f := s.p.fleet
	f.mu.Lock()
	m := f.members[in.Vm]
	known := m != nil && m.Incarnation == in.Incarnation && f.plan != nil && f.plan.Mesh
	f.mu.Unlock()
	if known {
		s.p.assigner.HearSent(in.Vm, loadsOf(in.Engines), time.Now())
	}
	return &peerpb.SentResponse{}, nil
}
