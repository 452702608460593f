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

// ErrStopped means that the keeper's Run has ended.
var ErrStopped = errors.New("configsync: keeper stopped")

// Keeper keeps one VM's configuration. Run's goroutine owns the state; all
// methods are safe for concurrent use. Offer and Withdraw wait for Run to take
// what they bring.
type Keeper struct {
	options   Options
	key       string
	work      chan func()
	stopped   chan struct{}
	published atomic.Pointer[published]
	freshness atomic.Pointer[configstate.Freshness]
	pending   atomic.Int64
	onChange  []func(*configstate.Snapshot)

	// Owned by Run's goroutine.
	state    configstate.State
	stored   *configstate.Envelope
	revision int64

	reopen chan struct{}
	merge  chan struct{}
	faults faults
}

// faults switch off single rules in tests, which show that the oracles notice.
type faults struct {
	freshWhileBehind bool
	freshFromAnswer  bool
}

// published is what other goroutines may read. Its parts belong together.
type published struct {
	snapshot *configstate.Snapshot
	envelope *configstate.Envelope
	// deltas lead, one after another, to the envelope.
	deltas []configstate.Delta
	// encode encodes the envelope when the first peer asks for it.
	encode func() ([]byte, error)
}

// NewKeeper returns a keeper that knows no configuration yet.
func NewKeeper(o Options) *Keeper {
	o.provision()
	k := &Keeper{
		options: o,
		key:     Key(o.Environment),
		work:    make(chan func()),
		stopped: make(chan struct{}),
		reopen:  make(chan struct{}, 1),
		merge:   make(chan struct{}, 1),
	}
	k.state.Environment = o.Environment
	k.published.Store(new(published))
	k.freshness.Store(new(configstate.Freshness))
	return k
}

// OnChange adds a function that is called with every new snapshot, from the
// keeper's own goroutine. It must not block, nor call the keeper's waiting
// methods. It has to be added before Run.
func (k *Keeper) OnChange(f func(*configstate.Snapshot)) { k.onChange = append(k.onChange, f) }

// Run keeps the configuration until ctx ends. It returns nil then.
func (k *Keeper) Run(ctx context.Context) error {
	defer close(k.stopped)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.own(ctx) })
	group.Go(func() error { return k.poll(ctx) })
	group.Go(func() error { return k.watch(ctx) })
	group.Go(func() error { return k.mergeLoop(ctx) })
	return group.Wait()
}

// own is the one goroutine that touches the state.
func (k *Keeper) own(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-k.work:
			f()
		}
	}
}

// do runs f on the owner and waits for it.
func (k *Keeper) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	work := func() {
		defer close(done)
		f()
	}
	select {
	case k.work <- work:
	case <-ctx.Done():
		return ctx.Err()
	case <-k.stopped:
		return ErrStopped
	}
	<-done
	return nil
}

// Snapshot returns the configuration in force, nil until one is known.
func (k *Keeper) Snapshot() *configstate.Snapshot { return k.published.Load().snapshot }

// Fresh reports whether this VM may take new work: it would have heard of a
// withdrawal, from the service or from more than half of the VMs. It reads the
// clocks, so it holds for the moment of the call; ask again at dispatch.
func (k *Keeper) Fresh() bool {
	return k.HearsService() || k.options.HearsPeers()
}

// HearsService reports whether the service was heard within FreshFor.
func (k *Keeper) HearsService() bool { return k.freshness.Load().Fresh(k.options.Clock()) }

// Envelope returns the version in force and its encoded envelope, with every
// withdrawal known here, for peers that are behind. They are zero and nil until
// one is known. The envelope must not be changed.
func (k *Keeper) Envelope() (version int64, envelope []byte) {
	p := k.published.Load()
	if p.snapshot == nil {
		return 0, nil
	}
	data, err := p.encode()
	if err != nil {
		k.options.Log.Error().Err(err).Msg("envelope not encoded")
		return 0, nil
	}
	return p.snapshot.Version, data
}

// UpdateSince returns the version in force and what leads there from a version
// that a peer has: deltas where they are known and smaller, else the envelope.
// The update is nil if the peer is not behind.
func (k *Keeper) UpdateSince(have int64) (version int64, update []byte) {
	p := k.published.Load()
	if p.snapshot == nil || p.snapshot.Version <= have {
		return k.Version(), nil
	}
	version, envelope := k.Envelope()
	for i, d := range p.deltas {
		if d.From != have {
			continue
		}
		deltas, err := configstate.EncodeDeltas(k.options.Environment, p.deltas[i:], p.snapshot.WithdrawnSum())
		if err == nil && len(deltas) < len(envelope) {
			return p.snapshot.Version, deltas
		}
		break
	}
	return version, envelope
}

// Version returns the version in force, 0 while none is known.
func (k *Keeper) Version() int64 {
	if s := k.Snapshot(); s != nil {
		return s.Version
	}
	return 0
}

// PendingWithdrawals returns the number of withdrawals that hold at this VM and
// that the service does not hold yet.
func (k *Keeper) PendingWithdrawals() int { return int(k.pending.Load()) }

// Offer takes an encoded envelope or update from a peer. It returns when the
// configuration is in force or was found to be behind, configstate.ErrEnvelope or
// configstate.ErrDivergent if it cannot be used, and configstate.ErrGap if the
// whole envelope is needed.
func (k *Keeper) Offer(ctx context.Context, data []byte) error {
	u, err := configstate.DecodeUpdate(data)
	if err != nil {
		return err
	}
	var offered error
	if err := k.do(ctx, func() { offered = k.take(u, "peer") }); err != nil {
		return err
	}
	return offered
}

// Withdraw makes digests of keys refused at this VM at once. They stay pending
// until the service holds them, and then go there by themselves.
func (k *Keeper) Withdraw(ctx context.Context, digests []string) error {
	var failed error
	err := k.do(ctx, func() {
		changed, err := k.state.Withdraw(digests)
		failed = err
		if changed {
			k.publish("withdrawal")
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// take puts an update into the state. It runs on the owner.
func (k *Keeper) take(u *configstate.Update, source string) error {
	changed, err := k.state.OfferUpdate(u)
	if err != nil {
		k.count("config.refused")
		k.options.Log.Error().Err(err).Str("source", source).Msg("configuration refused")
	}
	if changed {
		k.publish(source)
	}
	return err
}

// takeStored takes an envelope that was read from the service.
func (k *Keeper) takeStored(e *configstate.Envelope, revision int64, source string) {
	if revision < k.revision {
		return
	}
	k.revision = revision
	k.stored = e
	// A refused envelope stays in the service until an operator replaces it;
	// what is in force goes on.
	_ = k.take(&configstate.Update{Envelope: e}, source)
	k.countPending()
}

func (k *Keeper) publish(source string) {
	snapshot := k.state.Snapshot()
	if snapshot == nil {
		k.countPending()
		return
	}
	envelope := k.state.Envelope()
	k.published.Store(&published{
		snapshot: snapshot,
		envelope: envelope,
		deltas:   nextDeltas(k.published.Load(), envelope),
		encode:   sync.OnceValues(envelope.Encode),
	})
	k.count("config.changes." + source)
	metrics.GetOrRegisterGauge("config.version", k.options.Metrics).Update(snapshot.Version)
	k.options.Log.Info().Str("source", source).Int64("version", snapshot.Version).
		Str("change_id", snapshot.ChangeID).Str("digest", snapshot.Digest).Msg("configuration in force")
	for _, f := range k.onChange {
		f(snapshot)
	}
	k.countPending()
}

// maxDeltas is how many changes a peer may be behind and still be brought up to
// date by deltas.
const maxDeltas = 64

// nextDeltas adds the step from what was published to the next envelope. Its
// slice is never shared with an older one, which other goroutines may read.
func nextDeltas(last *published, next *configstate.Envelope) []configstate.Delta {
	if last.envelope == nil || last.envelope.Version == next.Version {
		return last.deltas
	}
	deltas := append(slices.Clone(last.deltas), configstate.NewDelta(last.envelope, next))
	return deltas[max(0, len(deltas)-maxDeltas):]
}

// countPending asks for a merge if the service lacks withdrawals that hold here.
func (k *Keeper) countPending() {
	missing := len(k.state.Pending(k.stored))
	k.pending.Store(int64(missing))
	metrics.GetOrRegisterGauge("config.pending_withdrawals", k.options.Metrics).Update(int64(missing))
	if missing > 0 {
		signal(k.merge)
	}
}

func (k *Keeper) count(name string) {
	metrics.GetOrRegisterCounter(name, k.options.Metrics).Inc(1)
}

// signal wakes a loop without waiting for it.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
