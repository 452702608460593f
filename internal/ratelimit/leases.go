package ratelimit

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/quota"
)

// ErrStopped means that the limiter is no longer running.
var ErrStopped = errors.New("ratelimit: stopped")

const (
	// busyTickInterval and idleTickInterval are the times between the state
	// machine's ticks while requests wait for tokens and while none does.
	busyTickInterval = 5 * time.Millisecond
	idleTickInterval = 50 * time.Millisecond
	// storeTimeout bounds a call to the key-value service, messageTimeout a call to
	// another VM.
	storeTimeout   = time.Second
	messageTimeout = 300 * time.Millisecond
	// maxInFlightCalls bounds the calls in flight. Further calls are dropped and
	// count as lost.
	maxInFlightCalls = 64
	// inboxSize bounds the steps that are queued for the control goroutine.
	inboxSize = 256
	// publishInterval is the time after which the state that operators read is
	// refreshed.
	publishInterval = time.Second
	// watchRetryDelay is the delay before a broken watch is reopened.
	watchRetryDelay = time.Second
)

// Options configures Leases. Store, Pool, View and Config.Self must be set.
type Options struct {
	// Config holds the settings of the state machine.
	Config quota.Config
	// Store is the key-value service.
	Store kv.Store
	// Pool is used for the calls to other VMs.
	Pool *peer.Pool
	// View returns the current membership view of the fleet.
	View func() *membership.View
	// Clock reads the local clocks. The default is clock.System.
	Clock clock.Func
	// Log receives debug messages about failed calls.
	Log zerolog.Logger
	// Metrics receives the state machine's counters as gauges under "quota.". The
	// default is a new registry.
	Metrics metrics.Registry
}

// Leases is the Limiter that enforces each team's rate and burst over all VMs
// together. Each VM holds a share of the limits, lends the part that it does not
// need and borrows when it runs short. Leases implements peerpb.QuotaServer.
type Leases struct {
	peerpb.UnimplementedQuotaServer

	options     Options
	machine     *quota.Machine
	inbox       chan func(now clock.Reading)
	done        chan struct{}
	callSlots   chan struct{}
	incarnation atomic.Uint64
	left        atomic.Bool
	canAdmit    atomic.Bool
	teamStates  atomic.Pointer[[]quota.TeamState]
	gauges      statsGauges

	// The fields below, and the calls to machine except AssignmentKey, belong to the
	// control goroutine. The exception is ctx: Run sets it before it starts that
	// goroutine, and the goroutines of calls read it too.
	publishedAt time.Duration
	ctx         context.Context
	pending     map[uint64]chan quota.Verdict
	lastRequest uint64
	addresses   map[string]string
	appliedView *membership.View
	replies     *replies
}

// replies collects the messages that answer the batch being processed.
type replies struct {
	to    string
	batch *peerpb.QuotaBatch
}

// NewLeases returns a limiter that admits nothing until Run has obtained a share of the
// limits for this VM: slots of its own, with the authority to use them, or a loan.
func NewLeases(options Options) *Leases {
	if options.Clock == nil {
		options.Clock = clock.System()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	l := &Leases{
		options:   options,
		machine:   quota.New(options.Clock(), options.Config),
		inbox:     make(chan func(clock.Reading), inboxSize),
		done:      make(chan struct{}),
		callSlots: make(chan struct{}, maxInFlightCalls),
		gauges:    newStatsGauges(options.Metrics),
		pending:   make(map[uint64]chan quota.Verdict),
		addresses: make(map[string]string),
	}
	l.incarnation.Store(options.Config.Self.Incarnation)
	return l
}

// Incarnation returns the incarnation in this VM's quota record, for use in
// heartbeats.
func (l *Leases) Incarnation() uint64 {
	return l.incarnation.Load()
}

// Left reports whether, after Leave, this VM has handed over all its slots or its quota
// record is closed, as of the last tick.
func (l *Leases) Left() bool {
	return l.left.Load()
}

// CanAdmit reports whether this VM may be able to admit requests, as of the last
// tick.
func (l *Leases) CanAdmit() bool {
	return l.canAdmit.Load()
}

// Leave starts to hand over this VM's share of the limits, for a graceful shutdown.
// Requests are still admitted with tokens borrowed from other VMs.
func (l *Leases) Leave() {
	_ = l.post(context.Background(), func(clock.Reading) { l.machine.Leave() })
}

// SetLimits implements Limiter. A version older than the one in force is ignored.
func (l *Leases) SetLimits(version int64, limits []Limit) {
	converted := make([]quota.Limit, 0, len(limits))
	for _, limit := range limits {
		converted = append(converted, quota.Limit{Team: limit.Team, Rate: limit.Rate, Burst: limit.Burst})
	}
	_ = l.post(context.Background(), func(now clock.Reading) { l.machine.SetLimits(now, version, converted) })
}

// post queues a step for the control goroutine. It returns ErrStopped if the
// limiter has stopped, or the context's error.
func (l *Leases) post(ctx context.Context, step func(now clock.Reading)) error {
	select {
	case l.inbox <- step:
		return nil
	case <-l.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Acquire implements Limiter. If this VM's tokens do not suffice it borrows from
// other VMs.
func (l *Leases) Acquire(ctx context.Context, team string, tokens int64) (*Grant, error) {
	if tokens < 0 {
		return nil, ErrInvalidTokens
	}
	verdicts := make(chan quota.Verdict, 1)
	number := uint64(0)
	err := l.post(ctx, func(now clock.Reading) {
		l.lastRequest++
		number = l.lastRequest
		l.pending[number] = verdicts
		l.machine.Acquire(now, number, team, tokens)
	})
	if err != nil {
		return nil, err
	}
	select {
	case v := <-verdicts:
		return l.grant(team, tokens, v)
	case <-l.done:
		return nil, ErrStopped
	case <-ctx.Done():
		l.abandon(team, tokens, verdicts, &number)
		return nil, ctx.Err()
	}
}

// abandon drops a request whose context has ended, by cancellation or at its deadline,
// and refunds its tokens if they have been charged meanwhile. number is a pointer because
// the step of Acquire that sets it may still be queued; that step runs before this one.
func (l *Leases) abandon(team string, tokens int64, verdicts chan quota.Verdict, number *uint64) {
	_ = l.post(context.Background(), func(now clock.Reading) {
		delete(l.pending, *number)
		if l.machine.Cancel(*number) {
			return
		}
		select {
		case v := <-verdicts:
			if v.Admitted {
				l.machine.Settle(now, team, tokens)
			}
		default:
		}
	})
}

func (l *Leases) grant(team string, tokens int64, v quota.Verdict) (*Grant, error) {
	switch v.Cause {
	case quota.CauseNone:
	case quota.CauseTooLarge:
		return nil, ErrLargerThanBurst
	case quota.CauseUnknownTeam:
		return nil, ErrUnknownTeam
	default:
		return nil, &LimitedError{Team: team, RetryAfter: v.RetryAfter, Cause: Cause(v.Cause)}
	}
	return &Grant{Team: team, Tokens: tokens, settle: func(difference int64) {
		_ = l.post(context.Background(), func(now clock.Reading) { l.machine.Settle(now, team, difference) })
	}}, nil
}

// Exchange implements peerpb.QuotaServer. It processes messages of another VM and
// returns the replies to them.
func (l *Leases) Exchange(ctx context.Context, in *peerpb.QuotaBatch) (*peerpb.QuotaBatch, error) {
	answer := make(chan *peerpb.QuotaBatch, 1)
	err := l.post(ctx, func(now clock.Reading) {
		l.replies = &replies{to: in.GetFrom(), batch: &peerpb.QuotaBatch{From: l.options.Config.Self.VM}}
		l.receiveBatch(now, in)
		l.executeActions()
		answer <- l.replies.batch
		l.replies = nil
	})
	if err != nil {
		return nil, peer.Unavailable(err)
	}
	select {
	case out := <-answer:
		return out, nil
	case <-l.done:
		return nil, peer.Unavailable(ErrStopped)
	case <-ctx.Done():
		return nil, peer.Unavailable(ctx.Err())
	}
}

func (l *Leases) receiveBatch(now clock.Reading, in *peerpb.QuotaBatch) {
	for _, message := range in.GetMessages() {
		if m := decodeMessage(message); m != nil {
			l.machine.Receive(now, in.GetFrom(), m)
		}
	}
}
