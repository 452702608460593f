package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// ErrStopped means that the fleet no longer runs and takes in no reports.
var ErrStopped = errors.New("fleet: stopped")

// The default settings.
const (
	DefaultPeriod  = time.Second
	DefaultTimeout = 800 * time.Millisecond
	// inboxSize bounds the reports that wait for the control goroutine. Beyond
	// it callers wait, and their deadlines bound that.
	inboxSize = 64
)

// Local is what the local VM reports about itself beside its fixed addresses.
type Local struct {
	// ConfigVersion is the configuration version in force.
	ConfigVersion int64
	// Leaving means that the VM is shutting down.
	Leaving bool
	// Ready means that the VM is ready for callers.
	Ready bool
	// InFlight is the number of requests in flight.
	InFlight int64
	// ServedTokens counts tokens served by team since the start. The map must
	// not be changed afterwards.
	ServedTokens map[string]int64
	// Withdrawn and WithdrawnSum tell which withdrawn keys the VM knows of.
	Withdrawn    int64
	WithdrawnSum uint64
	// QuotaIncarnation is the incarnation in the VM's quota record.
	QuotaIncarnation uint64
}

// Options configure a Fleet. Self, Pool and Local must be set.
type Options struct {
	// Self holds the local VM's ID, incarnation, failure domain and addresses.
	// The incarnation must grow with every start, for example the start time.
	Self membership.Node
	// Membership holds the settings of the state machine.
	Membership membership.Config
	// Period is the time between heartbeats. The default is DefaultPeriod.
	Period time.Duration
	// Timeout bounds one heartbeat. The default is DefaultTimeout.
	Timeout time.Duration
	// Pool makes the calls.
	Pool *peer.Pool
	// Log receives changes of the fleet.
	Log zerolog.Logger
	// Local is asked for the local VM's state before every heartbeat. It is
	// called from one goroutine and must not block.
	Local func() Local
	// Seeds is asked in every period for addresses at which other VMs may be
	// found, from the settings and the VM list. It must not block.
	Seeds func() []string
	// Update returns the configuration version in force and what leads there
	// from the version that a peer has. The update is empty if the peer is not
	// behind. It may be nil.
	Update func(have int64) (version int64, update []byte)
	// Offer is given the update of a peer that is ahead. It may be nil.
	Offer func(update []byte)
}

// Fleet runs the heartbeats of one VM. It implements peerpb.MembershipServer.
type Fleet struct {
	peerpb.UnimplementedMembershipServer

	options  Options
	state    *membership.State
	view     atomic.Pointer[membership.View]
	inbox    chan received
	done     chan struct{}
	fetching atomic.Bool
}

type received struct {
	sender membership.Node
	heard  []membership.Node
	// answer is nil for a heartbeat's response, which asks for none.
	answer chan *peerpb.HeartbeatResponse
}

// New returns a fleet that knows only the local VM.
func New(options Options) *Fleet {
	if options.Period == 0 {
		options.Period = DefaultPeriod
	}
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	f := &Fleet{
		options: options,
		state:   membership.New(options.Membership, options.Self),
		inbox:   make(chan received, inboxSize),
		done:    make(chan struct{}),
	}
	f.view.Store(f.state.View(time.Now()))
	return f
}

// View returns the latest picture of the fleet. It is immutable.
func (f *Fleet) View() *membership.View {
	return f.view.Load()
}

// HearsMajority reports whether the view is fresh and more than half of the
// heartbeat partners were heard within the suspicion time. A VM that hears
// neither them nor the key-value service cannot know of a withdrawn key. The
// age of the view is part of the question: a process that was paused wakes with
// an old view and must not trust it.
func (f *Fleet) HearsMajority(now time.Time) bool {
	v := f.View()
	// The monotonic clock may stand still while a VM is paused, and the wall
	// clock may be set back, so the larger of the two counts.
	age := max(now.Sub(v.At), now.Round(0).Sub(v.At.Round(0)))
	return age <= 2*f.options.Period && v.HearsMajority()
}

// Run exchanges heartbeats until ctx ends and returns nil then.
func (f *Fleet) Run(ctx context.Context) error {
	defer close(f.done)
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(f.options.Period)
	defer ticker.Stop()
	f.round(ctx, group)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
			f.round(ctx, group)
		case r := <-f.inbox:
			f.take(r)
		}
	}
}

// round sends one heartbeat to each target without waiting for the answers,
// which come back through the inbox.
func (f *Fleet) round(ctx context.Context, group *errgroup.Group) {
	now := time.Now()
	f.updateSelf()
	f.state.Tick(now)
	if f.options.Seeds != nil {
		f.state.SetSeeds(f.options.Seeds())
	}
	f.publish(now)
	self := peer.EncodeNode(f.state.Report())
	for _, address := range f.state.Targets(now) {
		request := &peerpb.HeartbeatRequest{Sender: self, Heard: peer.EncodeNodes(f.state.Rumors())}
		group.Go(func() error {
			f.heartbeat(ctx, address, request)
			return nil
		})
	}
	f.pullConfig(ctx, group)
}

func (f *Fleet) updateSelf() {
	local := f.options.Local()
	f.state.UpdateSelf(func(n *membership.Node) {
		n.ConfigVersion = local.ConfigVersion
		n.Leaving = local.Leaving
		n.Ready = local.Ready
		n.InFlight = local.InFlight
		n.ServedTokens = local.ServedTokens
		n.QuotaIncarnation = local.QuotaIncarnation
		n.Withdrawn = local.Withdrawn
		n.WithdrawnSum = local.WithdrawnSum
	})
}

func (f *Fleet) heartbeat(ctx context.Context, address string, request *peerpb.HeartbeatRequest) {
	response, err := f.options.Pool.Heartbeat(ctx, address, f.options.Timeout, request)
	if err != nil {
		f.options.Log.Debug().Err(err).Str("peer", address).Msg("heartbeat failed")
		return
	}
	r := received{sender: peer.DecodeNode(response.GetReceiver()), heard: peer.DecodeNodes(response.GetHeard())}
	select {
	case f.inbox <- r:
	case <-ctx.Done():
	}
}

// take lets the state machine learn from a heartbeat or a response.
func (f *Fleet) take(r received) {
	now := time.Now()
	f.state.Receive(now, r.sender, r.heard)
	if r.answer == nil {
		f.publish(now)
		return
	}
	f.updateSelf()
	f.publish(now)
	r.answer <- &peerpb.HeartbeatResponse{
		Receiver: peer.EncodeNode(f.state.Report()),
		Heard:    peer.EncodeNodes(f.state.Rumors()),
	}
}

func (f *Fleet) publish(now time.Time) {
	next := f.state.View(now)
	previous := f.view.Swap(next)
	for _, m := range next.Members {
		old, known := previous.Lookup(m.VM)
		if !known || old.Status != m.Status || old.Leaving != m.Leaving || old.Incarnation != m.Incarnation {
			f.options.Log.Info().Str("vm", m.VM).Stringer("status", m.Status).Bool("leaving", m.Leaving).Msg("fleet changed")
		}
	}
}

// pullConfig fetches the configuration from a VM that reports a newer one, or
// else all that another knows from one that knows of other withdrawn keys. One
// fetch runs at a time.
func (f *Fleet) pullConfig(ctx context.Context, group *errgroup.Group) {
	view := f.View()
	have := view.Self.ConfigVersion
	version, vm := view.NewestConfigVersion()
	if vm == "" {
		have, vm = 0, view.MissedWithdrawals()
	}
	if vm == "" || f.options.Offer == nil || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	member, _ := view.Lookup(vm)
	group.Go(func() error {
		defer f.fetching.Store(false)
		response, err := f.options.Pool.FetchConfig(ctx, member.PeerAddress, f.options.Timeout, have)
		if err != nil {
			f.options.Log.Warn().Err(err).Str("vm", vm).Int64("version", version).Msg("configuration not fetched")
			return nil
		}
		if len(response.GetEnvelope()) > 0 {
			f.options.Offer(response.GetEnvelope())
		}
		return nil
	})
}

// Heartbeat takes in another VM's heartbeat and answers in kind.
func (f *Fleet) Heartbeat(ctx context.Context, request *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	r := received{
		sender: peer.DecodeNode(request.GetSender()),
		heard:  peer.DecodeNodes(request.GetHeard()),
		answer: make(chan *peerpb.HeartbeatResponse, 1),
	}
	select {
	case f.inbox <- r:
	case <-f.done:
		return nil, peer.Unavailable(ErrStopped)
	case <-ctx.Done():
		return nil, peer.Unavailable(ctx.Err())
	}
	select {
	case response := <-r.answer:
		return response, nil
	case <-f.done:
		return nil, peer.Unavailable(ErrStopped)
	case <-ctx.Done():
		return nil, peer.Unavailable(ctx.Err())
	}
}

// FetchConfig gives the configuration in force to a VM that is behind.
func (f *Fleet) FetchConfig(_ context.Context, request *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	if f.options.Update == nil {
		return &peerpb.FetchConfigResponse{}, nil
	}
	version, update := f.options.Update(request.GetHaveVersion())
	return &peerpb.FetchConfigResponse{Version: version, Envelope: update}, nil
}
