package vm

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/topology"
	"github.com/chestnutarch/chestnutarch/platform"
)

// announce makes the next exchange come at once.
func (f *fleet) announce() {
	select {
	case f.now <- struct{}{}:
	default:
	}
}

// run exchanges reports until ctx ends.
func (f *fleet) run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeEvery)
	defer ticker.Stop()
	for {
		everyone := false
		select {
		case <-ctx.Done():
			return nil
		case <-f.now:
			everyone = true
		case <-ticker.C:
		}
		for _, vm := range f.due(everyone) {
			go f.exchange(ctx, vm)
		}
	}
}

// due names the VMs to exchange with. Of two partners one calls, so that each pair
// exchanges once; the other one calls too when it hears nothing.
func (f *fleet) due(everyone bool) []string {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forget(now)
	f.noteRoster(now)
	var out []string
	for _, partner := range f.plan.Partners {
		m := f.members[partner.Name]
		if m == nil || m.calling || (!everyone && !f.dueWith(partner, m, now)) {
			continue
		}
		m.calling, m.called = true, now
		out = append(out, partner.Name)
	}
	return out
}

// dueWith reports whether it is time for an exchange with a partner. A standby only has to be
// known to be there, unless the hub fails. It must be called with the lock held.
func (f *fleet) dueWith(partner topology.Partner, m *member, now time.Time) bool {
	if partner.Weight == 0 {
		hub := f.members[f.plan.Hub()]
		return hub == nil || hub.failures > 0 || now.Sub(m.called) >= standbyEvery
	}
	quiet := now.Sub(later(m.heard, m.started)) > unheardAfter/2
	return partner.Call || quiet
}

func (f *fleet) exchange(ctx context.Context, vm string) {
	f.mu.Lock()
	m := f.members[vm]
	f.mu.Unlock()
	if m == nil {
		return
	}
	var answer *peerpb.VMReport
	report := f.report(vm)
	err := f.p.pool.Call(ctx, m.Peers, exchangeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = peerpb.NewVMsClient(conn).Exchange(ctx, report)
		return err
	})
	f.mu.Lock()
	m.calling = false
	m.failures++
	if err == nil {
		m.failures = 0
	}
	f.mu.Unlock()
	if err != nil {
		f.p.planner.contents.forget(vm)
		return
	}
	f.take(ctx, answer)
}

// fetchConfiguration reads a newer configuration from another VM. The store may
// turn this VM away while others have learnt of a key that was withdrawn. Every report that
// names a newer one calls this, and all of them at once would take the link from each other.
func (f *fleet) fetchConfiguration(ctx context.Context, address string) {
	if !f.fetching.CompareAndSwap(false, true) {
		return
	}
	defer f.fetching.Store(false)
	held := f.p.configuration()
	answer := &peerpb.ConfigurationResponse{}
	_, err := f.p.pool.Receive(ctx, address, exchangeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (peer.Pieces, error) {
		return peerpb.NewVMsClient(conn).Configuration(ctx, &peerpb.ConfigurationRequest{HaveRevision: held.Revision})
	}, answer)
	if err != nil || answer.Item == nil {
		return
	}
	value, err := valueOf(answer.Item, held)
	if err != nil {
		f.p.log.Warn().Str("event", "configuration_not_taken").Str("peers", address).AnErr("cause", err).Send()
		return
	}
	f.p.configure(store.Item{Key: platform.ConfigurationKey, Revision: answer.Item.Revision, Value: value})
}

// vmServer answers other VMs.
type vmServer struct {
	peerpb.UnimplementedVMsServer
	p *Process
}

// Exchange implements peerpb.VMsServer.
func (s *vmServer) Exchange(ctx context.Context, in *peerpb.VMReport) (*peerpb.VMReport, error) {
	s.p.fleet.take(ctx, in)
	return s.p.fleet.report(in.Vm), nil
}

// Configuration implements peerpb.VMsServer.
func (s *vmServer) Configuration(in *peerpb.ConfigurationRequest, out grpc.ServerStreamingServer[peerpb.Piece]) error {
	return peer.SendPieces(out, func() (proto.Message, error) {
		answer := &peerpb.ConfigurationResponse{}
		if c := s.p.configuration(); c.Revision > in.HaveRevision {
			answer.Item = s.p.tracker.values.item(c, in.HaveRevision)
		}
		return answer, nil
	})
}

// Follow implements peerpb.VMsServer.
func (s *vmServer) Follow(in *peerpb.FollowRequest, out grpc.ServerStreamingServer[peerpb.Piece]) error {
	return peer.SendPieces(out, func() (proto.Message, error) {
		answer, err := s.p.tracker.tell(out.Context(), s.p.fleet.incarnation, in)
		if errors.Is(err, ErrNotWatching) {
			return nil, status.Error(codes.FailedPrecondition, err.Error())
		}
		return answer, err
	})
}

// EnsureAdapter implements peerpb.VMsServer.
func (s *vmServer) EnsureAdapter(ctx context.Context, in *peerpb.EnsureAdapterRequest) (*peerpb.EnsureAdapterResponse, error) {
	instance, err := s.p.planner.ensure(ctx, in.Service, in.Model, in.Adapter)
	if err != nil {
		return nil, err
	}
	return &peerpb.EnsureAdapterResponse{Instance: instance}, nil
}
