package configsync

import (
	"context"
	"math"
	"reflect"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// Change says who asks for a change and which one.
type Change struct {
	// ID names the change. A repeated command carries the same one.
	ID string
	// Nonce is unique to the change and secret to nobody. A command that
	// repeats a change whose outcome was unknown carries the same one. The
	// default is a new one.
	Nonce string
	// Author says who asks.
	Author string
}

func (c *Change) provision() {
	if c.Nonce == "" {
		c.Nonce = newID()
	}
}

// Accepted is a change that is known to have taken effect.
type Accepted struct {
	// Envelope is what was accepted.
	Envelope *configstate.Envelope
	// Revision is the key's, zero if a later envelope has replaced it.
	Revision int64
}

// Writer writes accepted configurations by compare-and-swap.
type Writer struct {
	// Store is the key-value service.
	Store kv.Store
	// Environment names the configuration.
	Environment string
	// Known returns the envelope in force at this VM, nil if there is none.
	Known func() *configstate.Envelope
	// Now is the wall clock for AcceptedAt. The default is time.Now.
	Now func() time.Time
	// Accepted, if set, is called with each change that this writer is known to
	// have made, before the operator is told.
	Accepted func(ctx context.Context, accepted *Accepted)
	// Sleep is kv.Attempt's.
	Sleep func(ctx context.Context, d time.Duration) bool

	faults writerFaults
}

// writerFaults switch off single rules in tests, which show that the oracle
// notices.
type writerFaults struct {
	forgetWithdrawals bool
	unknownIsFailure  bool
	takeAnyBase       bool
}

// Writer returns a writer that never falls behind what this keeper has in force
// and carries the withdrawals known here.
func (k *Keeper) Writer() *Writer {
	return &Writer{
		Store:       k.options.Store,
		Environment: k.options.Environment,
		Known:       k.known,
		Accepted:    k.accepted,
		Sleep:       k.options.Sleep,
	}
}

// accepted puts a change that was made through this VM in force here, so that
// peers can have it from this VM before any watch has delivered it.
func (k *Keeper) accepted(ctx context.Context, a *Accepted) {
	_ = k.do(ctx, func() { k.takeStored(a.Envelope, a.Revision, "writer") })
}

func (k *Keeper) known() *configstate.Envelope { return k.published.Load().envelope }

func newID() string { return uuid.NewString() }

// stored is what the service holds. The envelope is nil if it holds nothing
// that can be used.
type stored struct {
	envelope *configstate.Envelope
	revision int64
}

// Current reads the accepted envelope, nil if there is none.
func (w *Writer) Current(ctx context.Context) (*configstate.Envelope, error) {
	s, err := w.load(ctx)
	if err != nil {
		return nil, err
	}
	return s.envelope, nil
}

func (w *Writer) load(ctx context.Context) (stored, error) {
	entry, err := w.Store.Get(ctx, Key(w.Environment))
	if errors.Is(err, kv.ErrNotFound) {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, err
	}
	e, err := configstate.Decode(entry.Value)
	if err != nil {
		return stored{}, err
	}
	return stored{envelope: e, revision: entry.Revision}, nil
}

// base returns what a change builds on: the stored envelope, or the one in
// force here if the service was set back to an older one, with the withdrawals
// of both. A version below the one in force would be accepted and then ignored
// by every VM.
func (w *Writer) base(s stored) *configstate.Envelope {
	base := s.envelope
	here := w.known()
	switch {
	case base == nil && here == nil:
		return &configstate.Envelope{}
	case base == nil:
		return here
	case here == nil:
		return base
	}
	merged := *base
	if here.Version > base.Version {
		merged = *here
	}
	merged.Withdrawn = configstate.Union(base.Withdrawn, here.Withdrawn)
	return &merged
}

func (w *Writer) known() *configstate.Envelope {
	if w.Known == nil {
		return nil
	}
	return w.Known()
}

// Apply accepts a document if the accepted version is still baseVersion. It
// returns the check's strictyaml.Errors, configstate.ErrWithdrawnListed,
// a ConflictError, an UnknownError, or a kv error if nothing was written.
func (w *Writer) Apply(ctx context.Context, c Change, baseVersion int64, text string) (*Accepted, error) {
	doc, err := w.Check(text)
	if err != nil {
		return nil, err
	}
	c.provision()
	return w.write(ctx, c, baseVersion, func(base *configstate.Envelope) (*configstate.Envelope, error) {
		if base.Version != baseVersion && !w.faults.takeAnyBase {
			return nil, conflict(base, baseVersion, doc)
		}
		if w.faults.forgetWithdrawals {
			return &configstate.Envelope{Document: text}, nil
		}
		if err := configstate.ListedWithdrawn(doc, base.Withdrawn); err != nil {
			return nil, err
		}
		if err := checkMove(base, doc); err != nil {
			return nil, err
		}
		return &configstate.Envelope{Document: text, Withdrawn: base.Withdrawn}, nil
	})
}

// Check parses a document, refuses one of another environment and looks for a
// placement of everything in it.
func (w *Writer) Check(text string) (*document.Document, error) {
	doc, err := document.Parse([]byte(text), "document")
	if err != nil {
		return nil, err
	}
	if doc.Environment != w.Environment {
		return nil, &EnvironmentError{Want: w.Environment, Have: doc.Environment}
	}
	if err := placement.Fits(doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// checkMove looks for room to load what a document replaces beside what is in
// force. Without it a change could be accepted that no order of loads reaches
// without a model missing meanwhile. Changes of keys and rates move nothing.
func checkMove(base *configstate.Envelope, next *document.Document) error {
	if base.Version == 0 {
		return nil
	}
	current, err := document.Parse([]byte(base.Document), "accepted document")
	if err != nil {
		return err
	}
	if reflect.DeepEqual(current.Models, next.Models) && reflect.DeepEqual(current.Engines, next.Engines) {
		return nil
	}
	return placement.FitsChange(current, next)
}

// Withdraw accepts withdrawals on top of whatever is accepted. It writes nothing
// if they are all there already. Losing a race is no conflict here: withdrawals
// only ever add up.
func (w *Writer) Withdraw(ctx context.Context, c Change, digests []string) (*Accepted, error) {
	c.provision()
	for {
		accepted, err := w.write(ctx, c, anyBase, func(base *configstate.Envelope) (*configstate.Envelope, error) {
			if base.Version == 0 {
				return nil, ErrNothingAccepted
			}
			return &configstate.Envelope{Document: base.Document, Withdrawn: configstate.Union(base.Withdrawn, digests)}, nil
		})
		var lost *ConflictError
		if !errors.As(err, &lost) || ctx.Err() != nil {
			return accepted, err
		}
	}
}

// anyBase is the base version of a change that is no matter of versions.
const anyBase = math.MaxInt64

// write reads, lets change build the next envelope, and swaps it in.
func (w *Writer) write(ctx context.Context, c Change, baseVersion int64, change func(base *configstate.Envelope) (*configstate.Envelope, error)) (*Accepted, error) {
	now, err := w.load(ctx)
	if err != nil {
		return nil, err
	}
	if done, err := w.repeated(ctx, c, baseVersion, now); done != nil || err != nil {
		return done, err
	}
	base := w.base(now)
	next, err := change(base)
	if err != nil {
		return nil, err
	}
	if now.envelope != nil && now.envelope.Document == next.Document && len(configstate.Missing(now.envelope.Withdrawn, next.Withdrawn)) == 0 {
		return &Accepted{Envelope: now.envelope, Revision: now.revision}, nil
	}
	next.Environment = w.Environment
	next.Version = base.Version + 1
	next.ChangeID, next.Nonce, next.Author = c.ID, c.Nonce, c.Author
	next.Digest = document.Digest([]byte(next.Document))
	next.AcceptedAt = w.now()
	// The version that is about to be replaced goes to the history first, so
	// that no accepted version is ever missing there.
	if err := w.keep(ctx, now.envelope); err != nil {
		return nil, err
	}
	return w.swap(ctx, now, next)
}

func (w *Writer) now() time.Time {
	if w.Now == nil {
		return time.Now().UTC()
	}
	return w.Now()
}

// swap writes next in place of what was read and settles a lost answer.
func (w *Writer) swap(ctx context.Context, now stored, next *configstate.Envelope) (*Accepted, error) {
	data, err := next.Encode()
	if err != nil {
		return nil, err
	}
	result, err := kv.Settle(ctx, w.Store, kv.Attempt{
		Key:      Key(w.Environment),
		Expected: now.revision,
		Value:    data,
		Mine:     mine(next),
		Resend:   true,
		Sleep:    w.Sleep,
	})
	if err != nil {
		return nil, err
	}
	switch result.Outcome {
	case kv.TookEffect:
		accepted := &Accepted{Envelope: next, Revision: result.Revision}
		if w.Accepted != nil {
			w.Accepted(ctx, accepted)
		}
		return accepted, nil
	case kv.Unknown:
		if w.faults.unknownIsFailure {
			return nil, w.lost(result, next)
		}
		return w.settleLater(ctx, next)
	}
	return nil, w.lost(result, next)
}

// mine judges a stored envelope by its version and nonce. Every version is
// taken by exactly one envelope.
func mine(next *configstate.Envelope) func([]byte) kv.Verdict {
	return func(value []byte) kv.Verdict {
		e, err := configstate.Decode(value)
		switch {
		case err != nil:
			return kv.CannotTell
		case e.Nonce == next.Nonce:
			return kv.Shows
		case e.Version <= next.Version:
			return kv.ShowsNot
		}
		return kv.CannotTell
	}
}

// lost returns the difference that the loser of a race has to look at.
func (w *Writer) lost(r kv.Result, next *configstate.Envelope) error {
	doc, err := document.Parse([]byte(next.Document), "document")
	if err != nil {
		return err
	}
	current := &configstate.Envelope{}
	if r.Current != nil {
		if e, err := configstate.Decode(r.Current.Value); err == nil {
			current = e
		}
	}
	return conflict(current, next.Version-1, doc)
}
