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

// Change identifies a change and its author.
type Change struct {
	// ID identifies the change. A repeated command has the same ID.
	ID string
	// Nonce is unique to the change and not secret. A command that repeats a
	// change whose outcome was unknown has the same nonce. The default is a new
	// UUID.
	Nonce string
	// Author names who requested the change.
	Author string
}

func (c *Change) applyDefaults() {
	if c.Nonce == "" {
		c.Nonce = newID()
	}
}

// Accepted is a change that is known to have taken effect.
type Accepted struct {
	// Envelope is what was accepted.
	Envelope *configstate.Envelope
	// Revision is the revision of the key, zero if a later envelope has replaced
	// this one.
	Revision int64
}

// Writer writes accepted configurations by compare-and-swap.
type Writer struct {
	// Store is the key-value service.
	Store kv.Store
	// Environment names the configuration.
	Environment string
	// InForce returns the envelope in force at this VM, nil if there is none. The
	// default is none.
	InForce func() *configstate.Envelope
	// Now reads the wall clock for AcceptedAt. The default is time.Now in UTC.
	Now func() time.Time
	// Accepted, if set, is called with each change that this writer is known to
	// have written, before the method that wrote it returns.
	Accepted func(ctx context.Context, accepted *Accepted)
	// Sleep is passed to kv.Attempt.
	Sleep func(ctx context.Context, d time.Duration) bool

	faults writerFaults
}

// writerFaults disables single rules in tests that check whether the oracle
// detects it.
type writerFaults struct {
	forgetWithdrawals bool
	unknownIsFailure  bool
	takeAnyBase       bool
}

// Writer returns a writer whose versions are always newer than the one in force
// here, and whose envelopes contain the withdrawals of this VM.
func (s *Syncer) Writer() *Writer {
	return &Writer{
		Store:       s.options.Store,
		Environment: s.options.Environment,
		InForce:     s.inForce,
		Accepted:    s.applyAccepted,
		Sleep:       s.options.Sleep,
	}
}

// applyAccepted puts a change that was written through this VM in force here, so
// that peers can get it from this VM before a watch has delivered it.
func (s *Syncer) applyAccepted(ctx context.Context, a *Accepted) {
	_ = s.runOnOwner(ctx, func() { s.applyStored(a.Envelope, a.Revision, "writer") })
}

func (s *Syncer) inForce() *configstate.Envelope { return s.published.Load().envelope }

func newID() string { return uuid.NewString() }

// storedEnvelope is the envelope in the service with its revision. The envelope is
// nil if the service has none.
type storedEnvelope struct {
	envelope *configstate.Envelope
	revision int64
}

// Current reads the accepted envelope from the service, nil if there is none.
func (w *Writer) Current(ctx context.Context) (*configstate.Envelope, error) {
	s, err := w.load(ctx)
	if err != nil {
		return nil, err
	}
	return s.envelope, nil
}

func (w *Writer) load(ctx context.Context) (storedEnvelope, error) {
	entry, err := w.Store.Get(ctx, Key(w.Environment))
	if errors.Is(err, kv.ErrNotFound) {
		return storedEnvelope{}, nil
	}
	if err != nil {
		return storedEnvelope{}, err
	}
	e, err := configstate.Decode(entry.Value)
	if err != nil {
		return storedEnvelope{}, err
	}
	return storedEnvelope{envelope: e, revision: entry.Revision}, nil
}

// base returns the envelope that a change builds on: the stored one, or the one in
// force here if the service was restored from an older copy, with the withdrawals
// of both. A version below the one in force would be accepted and then ignored by
// every VM.
func (w *Writer) base(s storedEnvelope) *configstate.Envelope {
	base := s.envelope
	local := w.inForce()
	switch {
	case base == nil && local == nil:
		return &configstate.Envelope{}
	case base == nil:
		return local
	case local == nil:
		return base
	}
	merged := *base
	if local.Version > base.Version {
		merged = *local
	}
	merged.Withdrawn = configstate.Union(base.Withdrawn, local.Withdrawn)
	return &merged
}

func (w *Writer) inForce() *configstate.Envelope {
	if w.InForce == nil {
		return nil
	}
	return w.InForce()
}

// Apply accepts a document if the accepted version is still baseVersion. It
// returns the errors of Check, configstate.ErrWithdrawnListed, a ConflictError, an
// UnknownError, an error of package placement, or a kv error if nothing was
// written.
func (w *Writer) Apply(ctx context.Context, c Change, baseVersion int64, text string) (*Accepted, error) {
	doc, err := w.Check(text)
	if err != nil {
		return nil, err
	}
	c.applyDefaults()
	return w.write(ctx, c, baseVersion, func(base *configstate.Envelope) (*configstate.Envelope, error) {
		if base.Version != baseVersion && !w.faults.takeAnyBase {
			return nil, newConflictError(base, baseVersion, doc)
		}
		if w.faults.forgetWithdrawals {
			return &configstate.Envelope{Document: text}, nil
		}
		if err := configstate.CheckListedKeys(doc, base.Withdrawn); err != nil {
			return nil, err
		}
		if err := checkTransition(base, doc); err != nil {
			return nil, err
		}
		return &configstate.Envelope{Document: text, Withdrawn: base.Withdrawn}, nil
	})
}

// Check parses a document and checks that it belongs to this environment and that
// a placement of all its models and adapters exists. It returns strictyaml.Errors,
// an EnvironmentError or an error of package placement.
func (w *Writer) Check(text string) (*document.Document, error) {
	doc, err := document.Parse([]byte(text), "document")
	if err != nil {
		return nil, err
	}
	if doc.Environment != w.Environment {
		return nil, &EnvironmentError{Want: w.Environment, Have: doc.Environment}
	}
	if err := placement.CheckFits(doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// checkTransition checks that there is room to load what the next document replaces
// next to what is in force. Otherwise a change could be accepted that no order of
// loads can complete without making a model unavailable in between. Changes of keys
// and rates cause no loads.
func checkTransition(base *configstate.Envelope, next *document.Document) error {
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
	return placement.CheckChangeFits(current, next)
}

// Withdraw adds withdrawals to the accepted envelope, whatever its version. It
// writes nothing if the envelope has all of them already. It retries if another
// change is accepted first, because withdrawals never conflict with other changes.
// It returns ErrNothingAccepted if there is no accepted configuration.
func (w *Writer) Withdraw(ctx context.Context, c Change, digests []string) (*Accepted, error) {
	c.applyDefaults()
	for {
		accepted, err := w.write(ctx, c, anyBase, func(base *configstate.Envelope) (*configstate.Envelope, error) {
			if base.Version == 0 {
				return nil, ErrNothingAccepted
			}
			return &configstate.Envelope{Document: base.Document, Withdrawn: configstate.Union(base.Withdrawn, digests)}, nil
		})
		var conflictErr *ConflictError
		if !errors.As(err, &conflictErr) || ctx.Err() != nil {
			return accepted, err
		}
	}
}

// anyBase is the base version of a change that applies to any version.
const anyBase = math.MaxInt64

// write reads the accepted envelope, builds the next one with change, and writes it
// by compare-and-swap.
func (w *Writer) write(ctx context.Context, c Change, baseVersion int64, change func(base *configstate.Envelope) (*configstate.Envelope, error)) (*Accepted, error) {
	current, err := w.load(ctx)
	if err != nil {
		return nil, err
	}
	if done, err := w.findRepeated(ctx, c, baseVersion, current); done != nil || err != nil {
		return done, err
	}
	base := w.base(current)
	next, err := change(base)
	if err != nil {
		return nil, err
	}
	if current.envelope != nil && current.envelope.Document == next.Document && len(configstate.Missing(current.envelope.Withdrawn, next.Withdrawn)) == 0 {
		return &Accepted{Envelope: current.envelope, Revision: current.revision}, nil
	}
	next.Environment = w.Environment
	next.Version = base.Version + 1
	next.ChangeID, next.Nonce, next.Author = c.ID, c.Nonce, c.Author
	next.Digest = document.Digest([]byte(next.Document))
	next.AcceptedAt = w.now()
	// The envelope to be replaced is written to the history first, so that no
	// accepted version is ever missing there.
	if err := w.archive(ctx, current.envelope); err != nil {
		return nil, err
	}
	return w.compareAndSwap(ctx, current, next)
}

func (w *Writer) now() time.Time {
	if w.Now == nil {
		return time.Now().UTC()
	}
	return w.Now()
}

// compareAndSwap replaces the envelope that was read with next, and determines the
// outcome if the response is lost.
func (w *Writer) compareAndSwap(ctx context.Context, current storedEnvelope, next *configstate.Envelope) (*Accepted, error) {
	data, err := next.Encode()
	if err != nil {
		return nil, err
	}
	result, err := kv.Settle(ctx, w.Store, kv.Attempt{
		Key:      Key(w.Environment),
		Expected: current.revision,
		Value:    data,
		Classify: attemptVerdict(next),
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
			return nil, w.raceConflict(result, next)
		}
		return w.settleFromHistory(ctx, next)
	}
	return nil, w.raceConflict(result, next)
}

// attemptVerdict returns a function that tells from the version and the nonce of a
// stored envelope whether the attempt to write next took effect. Every version
// belongs to exactly one envelope.
func attemptVerdict(next *configstate.Envelope) func([]byte) kv.Verdict {
	return func(value []byte) kv.Verdict {
		e, err := configstate.Decode(value)
		switch {
		case err != nil:
			return kv.VerdictInconclusive
		case e.Nonce == next.Nonce:
			return kv.VerdictApplied
		case e.Version <= next.Version:
			return kv.VerdictNotApplied
		}
		return kv.VerdictInconclusive
	}
}

// raceConflict returns the ConflictError with the difference between next and the
// envelope that was accepted instead.
func (w *Writer) raceConflict(r kv.Result, next *configstate.Envelope) error {
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
	return newConflictError(current, next.Version-1, doc)
}
