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
	"github.com/chestnutarch/chestnutarch/internal/traffic"
	"github.com/chestnutarch/chestnutarch/platform"
)

// triggeredPausePerPartner is the shortest time between two exchanges with all partners out of turn, for each partner.
// An exchange costs both sides a fraction of a millisecond, and events that trigger one may come by the hundred.
const triggeredPausePerPartner = 2 * time.Millisecond

// exchangeTrigger paces exchanges out of turn. The zero value lets the first one through at once.
type exchangeTrigger struct{ last time.Time }

// fire returns how long an exchange with a number of partners has to wait, and records that it takes place then.
func (t *exchangeTrigger) fire(partners int, now time.Time) (wait time.Duration) {
	wait = max(0, t.last.Add(time.Duration(partners)*triggeredPausePerPartner).Sub(now))
	t.last = now.Add(wait)
	return wait
}

// exchangeNow triggers an exchange with all partners without waiting for the next tick.
func (f *fleet) exchangeNow() {
	select {
	case f.exchangeSignal <- struct{}{}:
	default:
	}
}

// run exchanges reports until ctx ends.
func (f *fleet) run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	var trigger exchangeTrigger
	for {
		all := false
		select {
		case <-ctx.Done():
			return nil
		case <-f.exchangeSignal:
			all = true
			sleep(ctx, trigger.fire(f.partnerCount(), time.Now()))
		case <-ticker.C:
		}
		for _, vm := range f.startDueExchanges(all) {
			go f.exchange(ctx, vm)
		}
	}
}

func (f *fleet) partnerCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.plan.Partners)
}

// startDueExchanges marks the exchanges that are due as started and returns the names of
// their VMs. Of two partners only one initiates, so that each pair exchanges once; the other
// one initiates too when it receives no reports.
func (f *fleet) startDueExchanges(all bool) []string {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireMembers(now)
	f.updateRoster(now)
	f.removeOldUsage(now)
	var out []string
	for _, partner := range f.plan.Partners {
		m := f.members[partner.Name]
		if m == nil || m.exchanging || (!all && !f.exchangeDue(partner, m, now)) {
			continue
		}
		m.exchanging, m.lastExchange = true, now
		out = append(out, partner.Name)
	}
	return out
}

// exchangeDue reports whether it is time for an exchange with a partner. With a standby an
// exchange only checks that it is reachable, unless the hub fails. It must be called with the
// lock held.
func (f *fleet) exchangeDue(partner topology.Partner, m *member, now time.Time) bool {
	if partner.Weight == 0 {
		hub := f.members[f.plan.Hub()]
		return hub == nil || hub.failedExchanges > 0 || now.Sub(m.lastExchange) >= standbyInterval
	}
	overdue := now.Sub(later(m.lastReport, m.firstSeen)) > peerTimeout/2
	return partner.Initiate || overdue
}

func (f *fleet) exchange(ctx context.Context, vm string) {
	f.mu.Lock()
	m := f.members[vm]
	if m == nil {
		f.mu.Unlock()
		return
	}
	address := m.Peers
	f.mu.Unlock()
	var answer *peerpb.VMReport
	report := f.buildReport(vm)
	err := f.process.pool.Call(ctx, address, exchangeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = peerpb.NewVMsClient(conn).Exchange(ctx, report)
		return err
	})
	f.mu.Lock()
	m.exchanging = false
	m.failedExchanges++
	if err == nil {
		m.failedExchanges = 0
	}
	f.mu.Unlock()
	if err != nil {
		f.process.planner.contents.forgetSent(vm)
		return
	}
	f.applyReport(ctx, answer)
}

// fetchConfiguration reads a newer configuration from another VM: the store may refuse this
// VM while others already have a configuration in which a key is withdrawn. Every report that
// names a newer configuration may call this. Only one fetch runs at a time, since concurrent
// ones would compete for the bandwidth of the link.
func (f *fleet) fetchConfiguration(ctx context.Context, address string) {
	if !f.fetchingConfiguration.CompareAndSwap(false, true) {
		return
	}
	defer f.fetchingConfiguration.Store(false)
	held, order := f.process.configuration()
	answer := &peerpb.ConfigurationResponse{}
	_, err := f.process.pool.ReceivePieces(ctx, address, exchangeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (peer.PieceStream, error) {
		return peerpb.NewVMsClient(conn).Configuration(ctx, &peerpb.ConfigurationRequest{HaveRevision: int64(held.Revision), HaveVersion: order.version})
	}, answer)
	if err != nil || answer.Item == nil {
		return
	}
	value, err := decodeItem(answer.Item, held)
	if err != nil {
		f.process.log.Warn().Str("event", "configuration_not_taken").Str("peers", address).AnErr("cause", err).Send()
		return
	}
	f.process.applyConfiguration(store.Item{Key: platform.ConfigurationKey, Revision: store.Revision(answer.Item.Revision), Value: value})
}

// vmServer implements the RPCs that other VMs call.
type vmServer struct {
	peerpb.UnimplementedVMsServer
	process *Process
}

// Exchange implements peerpb.VMsServer.
func (s *vmServer) Exchange(ctx context.Context, in *peerpb.VMReport) (*peerpb.VMReport, error) {
	s.process.fleet.applyReport(ctx, in)
	return s.process.fleet.buildReport(in.Vm), nil
}

// Configuration implements peerpb.VMsServer.
func (s *vmServer) Configuration(in *peerpb.ConfigurationRequest, out grpc.ServerStreamingServer[peerpb.Piece]) error {
	return peer.SendPieces(out, func() (proto.Message, error) {
		answer := &peerpb.ConfigurationResponse{}
		held := store.Revision(in.HaveRevision)
		if c, order := s.process.configuration(); order.newerThan(configurationOrder{in.HaveVersion, held}) {
			answer.Item = s.process.tracker.values.itemFor(c, held)
		}
		return answer, nil
	})
}

// Follow implements peerpb.VMsServer.
func (s *vmServer) Follow(in *peerpb.FollowRequest, out grpc.ServerStreamingServer[peerpb.Piece]) error {
	return peer.SendPieces(out, func() (proto.Message, error) {
		answer, err := s.process.tracker.answerFollow(out.Context(), s.process.fleet.incarnation, in)
		if errors.Is(err, ErrNotWatching) {
			return nil, status.Error(codes.FailedPrecondition, err.Error())
		}
		return answer, err
	})
}

// EnsureAdapter implements peerpb.VMsServer.
func (s *vmServer) EnsureAdapter(ctx context.Context, in *peerpb.EnsureAdapterRequest) (*peerpb.EnsureAdapterResponse, error) {
	instance, err := s.process.planner.ensureAdapter(ctx, traffic.AdapterRequest{Service: in.Service, Model: in.Model, Adapter: in.Adapter, Avoid: in.Avoid})
	if err != nil {
		return nil, err
	}
	return &peerpb.EnsureAdapterResponse{Instance: instance}, nil
}
