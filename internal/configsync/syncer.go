package configsync

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
)

// ErrStopped means that the syncer's Run has ended.
var ErrStopped = errors.New("configsync: syncer stopped")

// Syncer keeps the configuration of one VM up to date. A goroutine of Run owns
// the state; all methods are safe for concurrent use. Offer and Withdraw block
// until that goroutine has applied the update.
type Syncer struct {
	options   Options
	key       string
	work      chan func()
	stopped   chan struct{}
	published atomic.Pointer[published]
	freshness atomic.Pointer[configstate.Freshness]
	pending   atomic.Int64
	onChange  []func(*configstate.Snapshot)

	// The fields down to revision are owned by the goroutine of runOwner.
	state    configstate.State
	stored   *configstate.Envelope
	revision int64

	reopenWatch    chan struct{}
	mergeRequested chan struct{}
	faults         faults
}

// faults disables single rules in tests that check whether the oracles detect it.
type faults struct {
	freshWhileBehind bool
	freshFromAnswer  bool
}

// published is the state that other goroutines may read. It is replaced as a
// whole, so its parts are consistent.
type published struct {
	snapshot *configstate.Snapshot
	envelope *configstate.Envelope
	// deltas, applied in order, lead to the envelope.
	deltas []configstate.Delta
	// encode encodes the envelope once, when it is first requested.
	encode func() ([]byte, error)
}

// NewSyncer returns a syncer that has no configuration yet.
func NewSyncer(o Options) *Syncer {
	o.applyDefaults()
	s := &Syncer{
		options:        o,
		key:            Key(o.Environment),
		work:           make(chan func()),
		stopped:        make(chan struct{}),
		reopenWatch:    make(chan struct{}, 1),
		mergeRequested: make(chan struct{}, 1),
	}
	s.state.Environment = o.Environment
	s.published.Store(new(published))
	s.freshness.Store(new(configstate.Freshness))
	return s
}

// OnChange registers a function that is called with every new snapshot, on the
// goroutine that owns the state. It must neither block nor call Offer or Withdraw,
// which wait for that goroutine. It has to be registered before Run.
func (s *Syncer) OnChange(f func(*configstate.Snapshot)) { s.onChange = append(s.onChange, f) }

// Run synchronizes the configuration until ctx ends, and then returns nil.
func (s *Syncer) Run(ctx context.Context) error {
	defer close(s.stopped)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.runOwner(ctx) })
	group.Go(func() error { return s.poll(ctx) })
	group.Go(func() error { return s.watch(ctx) })
	group.Go(func() error { return s.mergeLoop(ctx) })
	return group.Wait()
}

// runOwner runs the functions passed to runOnOwner. Its goroutine is the only one
// that accesses the state.
func (s *Syncer) runOwner(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-s.work:
			f()
		}
	}
}

// runOnOwner runs f on the goroutine of runOwner and waits for it to return. It
// returns ErrStopped if Run has ended.
func (s *Syncer) runOnOwner(ctx context.Context, f func()) error {
	done := make(chan struct{})
	work := func() {
		defer close(done)
		f()
	}
	select {
	case s.work <- work:
	case <-ctx.Done():
		return ctx.Err()
	case <-s.stopped:
		return ErrStopped
	}
	<-done
	return nil
}

// Snapshot returns the configuration in force, nil if there is none yet.
func (s *Syncer) Snapshot() *configstate.Snapshot { return s.published.Load().snapshot }

// Fresh reports whether this VM may accept new work, because it would have
// received a withdrawal from the service or from more than half of the VMs. It
// reads the clocks, so the result is valid only at the time of the call; check
// again at dispatch.
func (s *Syncer) Fresh() bool {
	return s.ServiceFresh() || s.options.HasPeerMajority()
}

// ServiceFresh reports whether a read of the service within the last FreshFor
// showed the configuration to be up to date.
func (s *Syncer) ServiceFresh() bool { return s.freshness.Load().Fresh(s.options.Clock()) }

// Envelope returns the version in force and its encoded envelope, with every
// withdrawal of this VM, for peers with an older version. They are zero and nil if
// there is none yet. The caller must not modify the envelope.
func (s *Syncer) Envelope() (version int64, envelope []byte) {
	p := s.published.Load()
	if p.snapshot == nil {
		return 0, nil
	}
	data, err := p.encode()
	if err != nil {
		s.options.Log.Error().Err(err).Msg("cannot encode the envelope in force for peers")
		return 0, nil
	}
	return p.snapshot.Version, data
}

// UpdateSince returns the version in force and an update to it from a peer's
// version: deltas if they are available and smaller, otherwise the envelope. The
// update is nil if the peer's version is not older.
func (s *Syncer) UpdateSince(have int64) (version int64, update []byte) {
	p := s.published.Load()
	if p.snapshot == nil || p.snapshot.Version <= have {
		return s.Version(), nil
	}
	version, envelope := s.Envelope()
	for i, d := range p.deltas {
		if d.From != have {
			continue
		}
		deltas, err := configstate.EncodeDeltas(s.options.Environment, p.deltas[i:], p.snapshot.WithdrawnSum())
		if err == nil && len(deltas) < len(envelope) {
			return p.snapshot.Version, deltas
		}
		break
	}
	return version, envelope
}

// Version returns the version in force, 0 if there is none yet.
func (s *Syncer) Version() int64 {
	if snapshot := s.Snapshot(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// PendingWithdrawals returns the number of withdrawals that are in effect at this
// VM and not yet stored in the service.
func (s *Syncer) PendingWithdrawals() int { return int(s.pending.Load()) }

// Offer applies an encoded envelope or update from a peer. It returns nil once the
// configuration is in force or turned out not to be newer,
// configstate.ErrEnvelope, configstate.ErrDivergent or
// configstate.ErrWrongEnvironment if it cannot be used, and configstate.ErrGap if
// the whole envelope is needed.
func (s *Syncer) Offer(ctx context.Context, data []byte) error {
	u, err := configstate.DecodeUpdate(data)
	if err != nil {
		return err
	}
	var offerErr error
	if err := s.runOnOwner(ctx, func() { offerErr = s.applyUpdate(u, "peer") }); err != nil {
		return err
	}
	return offerErr
}

// Withdraw makes this VM refuse the keys with these digests at once. The
// withdrawals stay pending until the service has them; the syncer writes them
// there by itself.
func (s *Syncer) Withdraw(ctx context.Context, digests []string) error {
	var withdrawErr error
	err := s.runOnOwner(ctx, func() {
		changed, err := s.state.Withdraw(digests)
		withdrawErr = err
		if changed {
			s.publish("withdrawal")
		}
	})
	if err != nil {
		return err
	}
	return withdrawErr
}

// applyUpdate applies an update to the state. It runs on the owner goroutine.
func (s *Syncer) applyUpdate(u *configstate.Update, source string) error {
	changed, err := s.state.OfferUpdate(u)
	if err != nil {
		s.count("config.refused")
		s.options.Log.Error().Err(err).Str("source", source).Msg("configuration refused")
	}
	if changed {
		s.publish(source)
	}
	return err
}

// applyStored applies an envelope that was read from the service or written to it.
// It runs on the owner goroutine.
func (s *Syncer) applyStored(e *configstate.Envelope, revision int64, source string) {
	if revision < s.revision {
		return
	}
	s.revision = revision
	s.stored = e
	// A refused envelope stays in the service until an operator replaces it.
	// The configuration in force stays in use.
	_ = s.applyUpdate(&configstate.Update{Envelope: e}, source)
	s.updatePending()
}

func (s *Syncer) publish(source string) {
	snapshot := s.state.Snapshot()
	if snapshot == nil {
		s.updatePending()
		return
	}
	envelope := s.state.Envelope()
	s.published.Store(&published{
		snapshot: snapshot,
		envelope: envelope,
		deltas:   appendDelta(s.published.Load(), envelope),
		encode:   sync.OnceValues(envelope.Encode),
	})
	s.count("config.changes." + source)
	metrics.GetOrRegisterGauge("config.version", s.options.Metrics).Update(snapshot.Version)
	s.options.Log.Info().Str("source", source).Int64("version", snapshot.Version).
		Str("change_id", snapshot.ChangeID).Str("digest", snapshot.Digest).Msg("configuration in force")
	for _, f := range s.onChange {
		f(snapshot)
	}
	s.updatePending()
}

// maxDeltas is the maximum number of changes by which a peer may be behind and
// still be updated by deltas.
const maxDeltas = 64

// appendDelta returns the published deltas with the delta to the next envelope
// appended. It copies the slice when it appends, because other goroutines may
// read the old one.
func appendDelta(last *published, next *configstate.Envelope) []configstate.Delta {
	if last.envelope == nil || last.envelope.Version == next.Version {
		return last.deltas
	}
	deltas := append(slices.Clone(last.deltas), configstate.NewDelta(last.envelope, next))
	return deltas[max(0, len(deltas)-maxDeltas):]
}

// updatePending counts the withdrawals that are missing in the service, and
// requests a merge if there are any.
func (s *Syncer) updatePending() {
	missing := len(s.state.Pending(s.stored))
	s.pending.Store(int64(missing))
	metrics.GetOrRegisterGauge("config.pending_withdrawals", s.options.Metrics).Update(int64(missing))
	if missing > 0 {
		signal(s.mergeRequested)
	}
}

func (s *Syncer) count(name string) {
	metrics.GetOrRegisterCounter(name, s.options.Metrics).Inc(1)
}

// signal wakes the loop that receives from c without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
