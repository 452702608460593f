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

// ErrStopped means that the limiter no longer runs.
var ErrStopped = errors.New("ratelimit: stopped")

const (
	// busyTick and idleTick are the times between the state machine's ticks
	// while requests wait for tokens and while none does.
	busyTick = 5 * time.Millisecond
	idleTick = 50 * time.Millisecond
	// callTimeout bounds a call to the key-value service, messageTimeout one to
	// another VM.
	callTimeout    = time.Second
	messageTimeout = 300 * time.Millisecond
	// maxCalls bounds the calls under way. What is beyond counts as lost.
	maxCalls = 64
	// inboxSize bounds the steps that wait for the control goroutine.
	inboxSize = 256
	// statePeriod is how old the state that operators see may be.
	statePeriod = time.Second
	// watchRetry is the pause before a broken watch is opened again.
	watchRetry = time.Second
)

// Options configure Leases. Store, Pool, View and Config.Self must be set.
type Options struct {
	// Config holds the settings of the state machine.
	Config quota.Config
	// Store is the key-value service.
	Store kv.Store
	// Pool makes the calls to other VMs.
	Pool *peer.Pool
	// View returns the present picture of the fleet.
	View func() *membership.View
	// Clock reads the clocks. The default is clock.System.
	Clock clock.Func
	// Log receives changes.
	Log zerolog.Logger
	// Metrics receives counters under "quota.". The default is a registry of its own.
	Metrics metrics.Registry
}

// Leases is the Limiter that holds a team's rate and burst over all VMs: each VM
// has a part, lends what it does not need and borrows what it lacks. It
// implements peerpb.QuotaServer.
type Leases struct {
	peerpb.UnimplementedQuotaServer

	options     Options
	machine     *quota.Machine
	inbox       chan func(now clock.Reading)
	done        chan struct{}
	calls       chan struct{}
	incarnation atomic.Uint64
	left        atomic.Bool
	canAdmit    atomic.Bool
	teams       atomic.Pointer[[]quota.TeamState]
	meters      meters

	// The rest belongs to the control goroutine.
	shownAt time.Duration
	ctx     context.Context
	waiting map[uint64]chan quota.Verdict
	numbers uint64
	lookup  map[string]string
	seen    *membership.View
	replies *replies
}

// replies collects what answers the batch that is being taken in.
type replies struct {
	to    string
	batch *peerpb.QuotaBatch
}

// NewLeases returns a limiter that admits nothing until Run has gained authority.
func NewLeases(options Options) *Leases {
	if options.Clock == nil {
		options.Clock = clock.System()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	l := &Leases{
		options: options,
		machine: quota.New(options.Clock(), options.Config),
		inbox:   make(chan func(clock.Reading), inboxSize),
		done:    make(chan struct{}),
		calls:   make(chan struct{}, maxCalls),
		meters:  newMeters(options.Metrics),
		waiting: make(map[uint64]chan quota.Verdict),
		lookup:  make(map[string]string),
	}
	l.incarnation.Store(options.Config.Self.Incarnation)
	return l
}

// Incarnation is the incarnation in this VM's quota record, for heartbeats.
func (l *Leases) Incarnation() uint64 {
	return l.incarnation.Load()
}

// Left reports whether everything was given away after Leave.
func (l *Leases) Left() bool {
	return l.left.Load()
}

// CanAdmit reports whether requests have a chance at this VM, as of the last tick.
func (l *Leases) CanAdmit() bool {
	return l.canAdmit.Load()
}

// Leave starts to give this VM's part away, for a graceful shutdown. Requests
// are still admitted with tokens that other VMs lend.
func (l *Leases) Leave() {
	_ = l.post(context.Background(), func(clock.Reading) { l.machine.Leave() })
}

// SetLimits puts the limits of a configuration in force.
func (l *Leases) SetLimits(version int64, limits []Limit) {
	converted := make([]quota.Limit, 0, len(limits))
	for _, limit := range limits {
		converted = append(converted, quota.Limit{Team: limit.Team, Rate: limit.Rate, Burst: limit.Burst})
	}
	_ = l.post(context.Background(), func(now clock.Reading) { l.machine.SetLimits(now, version, converted) })
}

// post hands a step to the control goroutine.
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

// Acquire charges the tokens, with those of other VMs if this one's do not
// suffice.
func (l *Leases) Acquire(ctx context.Context, team string, tokens int64) (*Grant, error) {
	if tokens < 0 {
		return nil, ErrInvalidTokens
	}
	verdicts := make(chan quota.Verdict, 1)
	number := uint64(0)
	err := l.post(ctx, func(now clock.Reading) {
		l.numbers++
		number = l.numbers
		l.waiting[number] = verdicts
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

// abandon forgets a request whose caller has gone, and gives its tokens back if
// they were charged meanwhile.
func (l *Leases) abandon(team string, tokens int64, verdicts chan quota.Verdict, number *uint64) {
	_ = l.post(context.Background(), func(now clock.Reading) {
		delete(l.waiting, *number)
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

// Exchange takes in messages of another VM and returns the replies to them.
func (l *Leases) Exchange(ctx context.Context, in *peerpb.QuotaBatch) (*peerpb.QuotaBatch, error) {
	answer := make(chan *peerpb.QuotaBatch, 1)
	err := l.post(ctx, func(now clock.Reading) {
		l.replies = &replies{to: in.GetFrom(), batch: &peerpb.QuotaBatch{From: l.options.Config.Self.VM}}
		l.receive(now, in)
		l.perform()
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

func (l *Leases) receive(now clock.Reading, in *peerpb.QuotaBatch) {
	for _, message := range in.GetMessages() {
		if m := decodeMessage(message); m != nil {
			l.machine.Receive(now, in.GetFrom(), m)
		}
	}
}
