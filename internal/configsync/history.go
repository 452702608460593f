package configsync

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/kv"
)

// archive writes an accepted envelope to its slot of the history. Any number of
// writers may do so concurrently, since they write the same envelope.
func (w *Writer) archive(ctx context.Context, e *configstate.Envelope) error {
	if e == nil {
		return nil
	}
	key := HistoryKey(w.Environment, e.Version)
	entry, err := w.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	if archived, err := configstate.Decode(entry.Value); err == nil && archived.Version >= e.Version {
		return nil
	}
	data, err := e.Encode()
	if err != nil {
		return err
	}
	result, err := kv.Settle(ctx, w.Store, kv.Attempt{Key: key, Expected: entry.Revision, Value: data, Classify: attemptVerdict(e), Resend: true, Sleep: w.Sleep})
	if err != nil {
		return err
	}
	if result.Outcome == kv.Unknown {
		return errors.Wrap(kv.ErrUnavailable, "outcome of the write to the history is unknown")
	}
	return nil
}

// Version returns the accepted envelope with this version, the current one or one
// from the history. It returns ErrNotInHistory for a version that never existed or has
// been overwritten.
func (w *Writer) Version(ctx context.Context, version int64) (*configstate.Envelope, error) {
	current, err := w.load(ctx)
	if err != nil {
		return nil, err
	}
	if current.envelope != nil && current.envelope.Version == version {
		return current.envelope, nil
	}
	if current.envelope == nil || version < 1 || version > current.envelope.Version {
		return nil, errors.Wrapf(ErrNotInHistory, "version %d", version)
	}
	return w.archived(ctx, version)
}

func (w *Writer) archived(ctx context.Context, version int64) (*configstate.Envelope, error) {
	entry, err := w.Store.Get(ctx, HistoryKey(w.Environment, version))
	if errors.Is(err, kv.ErrNotFound) {
		return nil, errors.Wrapf(ErrNotInHistory, "version %d", version)
	}
	if err != nil {
		return nil, err
	}
	e, err := configstate.Decode(entry.Value)
	if err != nil {
		return nil, err
	}
	if e.Version != version {
		return nil, errors.Wrapf(ErrNotInHistory, "version %d", version)
	}
	return e, nil
}

// History returns up to limit accepted envelopes, newest first.
func (w *Writer) History(ctx context.Context, limit int) ([]*configstate.Envelope, error) {
	current, err := w.load(ctx)
	if err != nil || current.envelope == nil {
		return nil, err
	}
	list := []*configstate.Envelope{current.envelope}
	for v := current.envelope.Version - 1; v > 0 && len(list) < min(limit, HistorySlots); v-- {
		e, err := w.archived(ctx, v)
		if errors.Is(err, ErrNotInHistory) {
			// Restoring the service from an older copy leaves a gap in the
			// versions.
			continue
		}
		if err != nil {
			return list, err
		}
		list = append(list, e)
	}
	return list, nil
}

// Outcome determines the outcome of a change whose response was lost. The change
// was to become version baseVersion+1.
func (w *Writer) Outcome(ctx context.Context, c Change, baseVersion int64) (kv.Outcome, *configstate.Envelope, error) {
	current, err := w.load(ctx)
	if err != nil {
		return kv.Unknown, nil, err
	}
	return w.outcome(ctx, c, baseVersion, current)
}

func (w *Writer) outcome(ctx context.Context, c Change, baseVersion int64, current storedEnvelope) (kv.Outcome, *configstate.Envelope, error) {
	switch {
	case current.envelope == nil || current.envelope.Version <= baseVersion:
		// The version has not advanced, so the request may still be in transit.
		return kv.Unknown, nil, nil
	case current.envelope.Nonce == c.Nonce:
		return kv.TookEffect, current.envelope, nil
	case current.envelope.Version == baseVersion+1:
		return kv.NoEffect, current.envelope, nil
	}
	archived, err := w.archived(ctx, baseVersion+1)
	if errors.Is(err, ErrNotInHistory) {
		return kv.Unknown, nil, nil
	}
	if err != nil {
		return kv.Unknown, nil, err
	}
	if archived.Nonce == c.Nonce {
		return kv.TookEffect, archived, nil
	}
	return kv.NoEffect, archived, nil
}

// settleFromHistory determines from the history the outcome of a change that may
// have been replaced by later ones, since the key itself no longer shows it.
func (w *Writer) settleFromHistory(ctx context.Context, next *configstate.Envelope) (*Accepted, error) {
	c := Change{ID: next.ChangeID, Nonce: next.Nonce}
	outcome, e, err := w.Outcome(ctx, c, next.Version-1)
	switch {
	case err != nil || outcome == kv.Unknown:
		return nil, &UnknownError{ChangeID: next.ChangeID, Nonce: next.Nonce, BaseVersion: next.Version - 1}
	case outcome == kv.TookEffect:
		return &Accepted{Envelope: e}, nil
	}
	doc, err := document.Parse([]byte(next.Document), "document")
	if err != nil {
		return nil, err
	}
	return nil, newConflictError(e, next.Version-1, doc)
}

// findRepeated returns the accepted change of an earlier attempt with the same
// nonce, nil if there is none, so that a repeated command is not applied twice.
func (w *Writer) findRepeated(ctx context.Context, c Change, baseVersion int64, current storedEnvelope) (*Accepted, error) {
	if current.envelope == nil || current.envelope.Version <= baseVersion {
		return nil, nil
	}
	outcome, e, err := w.outcome(ctx, c, baseVersion, current)
	if err != nil || outcome != kv.TookEffect {
		return nil, err
	}
	return &Accepted{Envelope: e}, nil
}

// Restore writes the envelope in force at this VM to a service that was restored
// from an older copy and has an older envelope or none. It writes nothing if the
// service has this version or a later one.
func (w *Writer) Restore(ctx context.Context) error {
	current, err := w.load(ctx)
	if err != nil {
		return err
	}
	local := w.inForce()
	if local == nil || current.envelope != nil && current.envelope.Version >= local.Version {
		return nil
	}
	_, err = w.compareAndSwap(ctx, current, w.base(current))
	if errors.Is(err, ErrConflict) {
		// Another VM has restored the envelope.
		return nil
	}
	return err
}
