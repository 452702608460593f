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

// ErrStopped means that Run has returned and no reports are processed any more.
var ErrStopped = errors.New("fleet: stopped")

// Default values of Options.
const (
	DefaultPeriod  = time.Second
	DefaultTimeout = 800 * time.Millisecond
	// inboxSize bounds the reports that wait for the control goroutine. When the
	// inbox is full, senders block until their deadlines.
	inboxSize = 64
)

// Local is the variable part of the local VM's report.
type Local struct {
	// ConfigVersion is the configuration version in force.
	ConfigVersion int64
	// Leaving means that the VM is shutting down.
	Leaving bool
	// Ready means that the VM is ready for callers.
	Ready bool
	// InFlight is the number of requests in flight.
	InFlight int64
	// ServedTokens counts the tokens served by team since the process started. The
	// map must not be modified afterwards.
	ServedTokens map[string]int64
	// Withdrawn and WithdrawnSum are the number and the checksum of the withdrawn
	// keys stored at the VM.
	Withdrawn    int64
	WithdrawnSum uint64
	// QuotaIncarnation is the incarnation in the VM's quota record.
	QuotaIncarnation uint64
}

// Options configures a Fleet. Self, Pool and Local must be set.
type Options struct {
	// Self holds the local VM's ID, incarnation, failure domain and addresses.
	// The incarnation must increase with every start, for example the start time.
	Self membership.Node
	// Membership holds the settings of the state machine.
	Membership membership.Config
	// Period is the time between rounds of heartbeats. The default is DefaultPeriod
	// (1s).
	Period time.Duration
	// Timeout bounds one heartbeat or configuration fetch. The default is
	// DefaultTimeout (800ms).
	Timeout time.Duration
	// Pool provides the connections to peers.
	Pool *peer.Pool
	// Log receives changes of members and failed calls.
	Log zerolog.Logger
	// Local returns the local VM's state. It is called before every round of
	// heartbeats and every heartbeat response, from one goroutine, and must not
	// block.
	Local func() Local
	// Seeds returns addresses at which other VMs may be found, from the settings
	// and the VM list. It is called in every period and must not block. It may be
	// nil.
	Seeds func() []string
	// UpdateSince returns the configuration version in force and the update that leads
	// there from the version have of a peer. The update is empty if the peer is not
	// behind. UpdateSince may be nil.
	UpdateSince func(have int64) (version int64, update []byte)
	// ApplyUpdate receives the update that was fetched from a peer. It may be nil, in which
	// case no configuration is fetched.
	ApplyUpdate func(update []byte)
}

// Fleet runs the heartbeats of one VM. It implements peerpb.MembershipServer.
type Fleet struct {
	peerpb.UnimplementedMembershipServer

	options  Options
	state    *membership.State
	view     atomic.Pointer[membership.View]
	inbox    chan incomingReport
	done     chan struct{}
	fetching atomic.Bool
}

// incomingReport is a heartbeat, or the response to one, for the control goroutine.
type incomingReport struct {
	sender  membership.Node
	relayed []membership.Node
	// response receives the response to a heartbeat. It is nil if the report itself is
	// a response.
	response chan *peerpb.HeartbeatResponse
}

// New returns a fleet whose only member is the local VM.
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
		inbox:   make(chan incomingReport, inboxSize),
		done:    make(chan struct{}),
	}
	f.view.Store(f.state.View(time.Now()))
	return f
}

// View returns the latest view of the fleet. It is immutable.
func (f *Fleet) View() *membership.View {
	return f.view.Load()
}

// HasPartnerMajority reports whether the view is no older than two periods and more than half
// of the heartbeat partners were alive within the suspicion time. A VM that can reach
// neither them nor the key-value service cannot learn that a key was withdrawn. The age
// of the view is checked because a process that was paused resumes with an old view,
// which must not be relied on.
func (f *Fleet) HasPartnerMajority(now time.Time) bool {
	v := f.View()
	// The monotonic clock may stop while a VM is paused, and the wall clock may be set
	// back, so the larger of the two ages is used.
	age := max(now.Sub(v.At), now.Round(0).Sub(v.At.Round(0)))
	return age <= 2*f.options.Period && v.HasPartnerMajority()
}

// Run exchanges heartbeats until ctx is done. It then waits for the calls in progress
// and returns nil.
func (f *Fleet) Run(ctx context.Context) error {
	defer close(f.done)
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(f.options.Period)
	defer ticker.Stop()
	f.sendHeartbeats(ctx, group)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
			f.sendHeartbeats(ctx, group)
		case r := <-f.inbox:
			f.handleReport(r)
		}
	}
}

// sendHeartbeats sends one heartbeat to each target without waiting for the responses,
// which are delivered through the inbox. It also starts a configuration fetch if one is
// needed.
func (f *Fleet) sendHeartbeats(ctx context.Context, group *errgroup.Group) {
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
	r := incomingReport{sender: peer.DecodeNode(response.GetReceiver()), relayed: peer.DecodeNodes(response.GetHeard())}
	select {
	case f.inbox <- r:
	case <-ctx.Done():
	}
}

// handleReport passes a heartbeat or a heartbeat response to the state machine, publishes
// the new view and sends the response to a heartbeat.
func (f *Fleet) handleReport(r incomingReport) {
	now := time.Now()
	f.state.Receive(now, r.sender, r.relayed)
	if r.response == nil {
		f.publish(now)
		return
	}
	f.updateSelf()
	f.publish(now)
	r.response <- &peerpb.HeartbeatResponse{
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
			f.options.Log.Info().Str("vm", m.VM).Stringer("status", m.Status).Bool("leaving", m.Leaving).Msg("fleet member changed")
		}
	}
}

// pullConfig fetches the configuration from a VM that reports a newer version. If there
// is none, it fetches the complete configuration from a VM that may have withdrawn keys
// that the local one is missing. One fetch runs at a time.
func (f *Fleet) pullConfig(ctx context.Context, group *errgroup.Group) {
	view := f.View()
	have := view.Self.ConfigVersion
	version, vm := view.NewestConfigVersion()
	if vm == "" {
		have, vm = 0, view.VMWithMissedWithdrawals()
	}
	if vm == "" || f.options.ApplyUpdate == nil || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	member, _ := view.Lookup(vm)
	group.Go(func() error {
		defer f.fetching.Store(false)
		response, err := f.options.Pool.FetchConfig(ctx, member.PeerAddress, f.options.Timeout, have)
		if err != nil {
			f.options.Log.Warn().Err(err).Str("vm", vm).Int64("version", version).Msg("fetching the configuration from a peer failed")
			return nil
		}
		if len(response.GetEnvelope()) > 0 {
			f.options.ApplyUpdate(response.GetEnvelope())
		}
		return nil
	})
}

// Heartbeat processes another VM's heartbeat and returns the local VM's report and the
// reports that it relays. It implements peerpb.MembershipServer.
func (f *Fleet) Heartbeat(ctx context.Context, request *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	r := incomingReport{
		sender:   peer.DecodeNode(request.GetSender()),
		relayed:  peer.DecodeNodes(request.GetHeard()),
		response: make(chan *peerpb.HeartbeatResponse, 1),
	}
	select {
	case f.inbox <- r:
	case <-f.done:
		return nil, peer.Unavailable(ErrStopped)
	case <-ctx.Done():
		return nil, peer.Unavailable(ctx.Err())
	}
	select {
	case response := <-r.response:
		return response, nil
	case <-f.done:
		return nil, peer.Unavailable(ErrStopped)
	case <-ctx.Done():
		return nil, peer.Unavailable(ctx.Err())
	}
}

// FetchConfig returns the update to the configuration in force for a VM that is behind.
// It implements peerpb.MembershipServer.
func (f *Fleet) FetchConfig(_ context.Context, request *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	if f.options.UpdateSince == nil {
		return &peerpb.FetchConfigResponse{}, nil
	}
	version, update := f.options.UpdateSince(request.GetHaveVersion())
	return &peerpb.FetchConfigResponse{Version: version, Envelope: update}, nil
}
