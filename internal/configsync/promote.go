package configsync

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
)

var (
	// ErrSameEnvironment means that a promotion names the same environment as
	// source and target.
	ErrSameEnvironment = errors.New("configsync: promotion within one environment")
	// ErrTampered means that the document to be promoted is not the one that the
	// evidence was collected for.
	ErrTampered = errors.New("configsync: document does not match its evidence")
)

// Promote accepts the models and routes of a document that was in force in
// another environment, if the evidence for exactly that text meets the thresholds
// in the text. Everything else of the accepted document stays unchanged. The
// evidence is stored in the envelope. In addition to the errors of Apply it returns
// ErrSameEnvironment, ErrTampered, ErrNothingAccepted and
// configstate.ErrThresholdNotMet.
func (w *Writer) Promote(ctx context.Context, c Change, baseVersion int64, text string, evidence *configstate.Evidence) (*Accepted, error) {
	source, err := document.Parse([]byte(text), "promoted document")
	if err != nil {
		return nil, err
	}
	if err := w.checkEvidence(source, text, evidence); err != nil {
		return nil, err
	}
	c.applyDefaults()
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
			return nil, newConflictError(base, baseVersion, doc)
		}
		if doc.ReleaseDigest() != source.ReleaseDigest() {
			return nil, ErrTampered
		}
		if err := checkTransition(base, doc); err != nil {
			return nil, err
		}
		return &configstate.Envelope{Document: string(promoted), Withdrawn: base.Withdrawn, Promotion: evidence}, nil
	})
}

func (w *Writer) checkEvidence(source *document.Document, text string, evidence *configstate.Evidence) error {
	if source.Environment == w.Environment {
		return errors.Wrap(ErrSameEnvironment, w.Environment)
	}
	if err := configstate.CheckEvidence(source.Promotion, document.Digest([]byte(text)), evidence); err != nil {
		return err
	}
	if evidence.Environment != source.Environment {
		return errors.Wrapf(ErrTampered, "evidence from environment %q, document from environment %q", evidence.Environment, source.Environment)
	}
	return nil
}
