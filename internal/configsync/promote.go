package configsync

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
)

var (
	// ErrSameEnvironment means that a document was to be promoted to the
	// environment that it comes from.
	ErrSameEnvironment = errors.New("configsync: promotion within one environment")
	// ErrTampered means that a document to be promoted is not the one that the
	// evidence is about.
	ErrTampered = errors.New("configsync: document does not match its evidence")
)

// Promote accepts the models and routes of a document that was in force in
// another environment, if the evidence of exactly that text meets the text's own
// thresholds. Everything else stays as it is accepted here. The evidence is kept
// in the envelope. Besides the errors of Apply it returns ErrSameEnvironment,
// ErrTampered and configstate.ErrNotProven.
func (w *Writer) Promote(ctx context.Context, c Change, baseVersion int64, text string, evidence *configstate.Evidence) (*Accepted, error) {
	source, err := document.Parse([]byte(text), "promoted document")
	if err != nil {
		return nil, err
	}
	if err := w.checkProof(source, text, evidence); err != nil {
		return nil, err
	}
	c.provision()
	return w.write(ctx, c, baseVersion, func(base *configstate.Envelope) (*configstate.Envelope, error) {
		if base.Version == 0 {
			return nil, ErrNothingAccepted
		}
		promoted, err := document.WithRelease([]byte(base.Document), []byte(text))
		if err != nil {
			return nil, err
		}
		doc, err := w.Check(string(promoted))
		if err != nil {
			return nil, err
		}
		if base.Version != baseVersion {
			return nil, conflict(base, baseVersion, doc)
		}
		if doc.ReleaseDigest() != source.ReleaseDigest() {
			return nil, ErrTampered
		}
		if err := checkMove(base, doc); err != nil {
			return nil, err
		}
		return &configstate.Envelope{Document: string(promoted), Withdrawn: base.Withdrawn, Promotion: evidence}, nil
	})
}

func (w *Writer) checkProof(source *document.Document, text string, evidence *configstate.Evidence) error {
	if source.Environment == w.Environment {
		return errors.Wrap(ErrSameEnvironment, w.Environment)
	}
	if err := configstate.Prove(source.Promotion, document.Digest([]byte(text)), evidence); err != nil {
		return err
	}
	if evidence.Environment != source.Environment {
		return errors.Wrapf(ErrTampered, "evidence of %q, document of %q", evidence.Environment, source.Environment)
	}
	return nil
}
