package configstate

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

// ErrGap means that deltas cannot be applied to the local state: they start from
// a version that is not in force here, or the withdrawals differ after them. The
// whole envelope is needed.
var ErrGap = errors.New("configstate: deltas do not apply to the local state")

// Delta is the difference between an accepted envelope and a later one. Most
// changes touch one place of a long document, so a delta is much smaller than
// the document.
type Delta struct {
	// From is the version that the delta applies to.
	From int64 `json:"from"`
	// Version and the fields down to Promotion are copied from the later envelope.
	Version    int64     `json:"version"`
	ChangeID   string    `json:"change_id"`
	Nonce      string    `json:"nonce"`
	Digest     string    `json:"digest"`
	AcceptedAt time.Time `json:"accepted_at"`
	Author     string    `json:"author,omitempty"`
	Promotion  *Evidence `json:"promotion,omitempty"`
	// Prefix and Suffix are the numbers of bytes that are unchanged at the start
	// and the end of the document. Middle is the new text between them.
	Prefix int    `json:"prefix"`
	Suffix int    `json:"suffix"`
	Middle string `json:"middle"`
	// Withdrawn lists the withdrawn digests that the later envelope adds.
	Withdrawn []string `json:"withdrawn,omitempty"`
}

// NewDelta returns the delta from one envelope to a later one.
func NewDelta(from, to *Envelope) Delta {
	d := Delta{
		From:       from.Version,
		Version:    to.Version,
		ChangeID:   to.ChangeID,
		Nonce:      to.Nonce,
		Digest:     to.Digest,
		AcceptedAt: to.AcceptedAt,
		Author:     to.Author,
		Promotion:  to.Promotion,
		Withdrawn:  Missing(from.Withdrawn, to.Withdrawn),
	}
	a, b := from.Document, to.Document
	for d.Prefix < min(len(a), len(b)) && a[d.Prefix] == b[d.Prefix] {
		d.Prefix++
	}
	maxSuffix := min(len(a), len(b)) - d.Prefix
	for d.Suffix < maxSuffix && a[len(a)-1-d.Suffix] == b[len(b)-1-d.Suffix] {
		d.Suffix++
	}
	d.Middle = b[d.Prefix : len(b)-d.Suffix]
	return d
}

// Apply returns the envelope that results from applying the delta to base. It
// returns ErrGap if base is nil or not at version From, and ErrEnvelope if the
// delta does not fit the base document or the result does not match its digest.
func (d *Delta) Apply(base *Envelope) (*Envelope, error) {
	if base == nil || base.Version != d.From {
		return nil, errors.Wrapf(ErrGap, "delta starts from version %d", d.From)
	}
	text := base.Document
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(text) || d.Suffix > len(text)-d.Prefix {
		return nil, errors.Wrapf(ErrEnvelope, "delta to version %d: prefix or suffix outside the base document", d.Version)
	}
	e := &Envelope{
		Environment: base.Environment,
		Version:     d.Version,
		ChangeID:    d.ChangeID,
		Nonce:       d.Nonce,
		Digest:      d.Digest,
		Document:    text[:d.Prefix] + d.Middle + text[len(text)-d.Suffix:],
		Withdrawn:   Union(base.Withdrawn, d.Withdrawn),
		AcceptedAt:  d.AcceptedAt,
		Author:      d.Author,
		Promotion:   d.Promotion,
	}
	return e, e.check()
}

// Update is what one VM sends to another one that has an older version: deltas,
// or the whole envelope if the deltas would be no smaller or do not go back far
// enough.
type Update struct {
	// Environment is the name of the sender's environment. It is set with deltas.
	Environment string
	// Envelope is the whole envelope, nil with deltas.
	Envelope *Envelope
	// Deltas lead from the receiver's version to the sender's.
	Deltas []Delta
	// WithdrawnSum is the sender's Snapshot.WithdrawnSum. It is set with deltas.
	// The sender may have received a withdrawal outside of an envelope, before
	// the first delta of the list. No delta of the list contains it then.
	WithdrawnSum uint64
}

// deltaList is the wire format of a list of deltas.
type deltaList struct {
	Environment  string  `json:"environment"`
	Deltas       []Delta `json:"deltas"`
	WithdrawnSum uint64  `json:"withdrawn_sum,string"`
}

// EncodeDeltas encodes a list of deltas as JSON for DecodeUpdate.
func EncodeDeltas(environment string, list []Delta, withdrawnSum uint64) ([]byte, error) {
	data, err := json.Marshal(deltaList{Environment: environment, Deltas: list, WithdrawnSum: withdrawnSum})
	if err != nil {
		return nil, errors.Wrap(ErrEnvelope, err.Error())
	}
	return data, nil
}

// DecodeUpdate decodes the output of Envelope.Encode or EncodeDeltas. It returns
// ErrEnvelope if the data is neither.
func DecodeUpdate(data []byte) (*Update, error) {
	var list deltaList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(ErrEnvelope, err.Error())
	}
	if len(list.Deltas) > 0 {
		return &Update{Environment: list.Environment, Deltas: list.Deltas, WithdrawnSum: list.WithdrawnSum}, nil
	}
	e, err := Decode(data)
	if err != nil {
		return nil, err
	}
	return &Update{Envelope: e}, nil
}

// OfferUpdate applies an update as Offer applies an envelope. It returns ErrGap
// if the deltas do not start at the version in force, or if the sender's set of
// withdrawals differs from the local one afterwards. The whole envelope then
// contains the missing withdrawals.
func (s *State) OfferUpdate(u *Update) (changed bool, err error) {
	if u.Envelope != nil {
		return s.Offer(u.Envelope)
	}
	if err := s.checkEnvironment(u.Environment); err != nil {
		return false, err
	}
	for i := range u.Deltas {
		d := &u.Deltas[i]
		if s.envelope != nil && d.Version <= s.envelope.Version {
			// The version is not newer than the one in force, but its
			// withdrawals still apply.
			added, err := s.Withdraw(d.Withdrawn)
			changed = changed || added
			if err != nil {
				return changed, err
			}
			continue
		}
		e, err := d.Apply(s.envelope)
		if err != nil {
			return changed, err
		}
		applied, err := s.Offer(e)
		changed = changed || applied
		if err != nil {
			return changed, err
		}
	}
	if s.snapshot.WithdrawnSum() != u.WithdrawnSum && !s.faults.ignoreSum {
		return changed, errors.Wrap(ErrGap, "withdrawals differ from the sender's after the deltas")
	}
	return changed, nil
}

// check returns ErrEnvelope if the parts of the envelope are inconsistent.
func (e *Envelope) check() error {
	if e.Version < 1 {
		return errors.Wrapf(ErrEnvelope, "version %d: must be at least 1", e.Version)
	}
	// A text that does not match its digest was truncated or corrupted in
	// transit. Using it would put a document in force that nobody accepted.
	if document.Digest([]byte(e.Document)) != e.Digest {
		return errors.Wrapf(ErrEnvelope, "version %d: document does not match its digest", e.Version)
	}
	for _, digest := range e.Withdrawn {
		if !document.IsDigest(digest) {
			return errors.Wrapf(ErrEnvelope, "version %d: withdrawn %q is not a SHA-256 digest", e.Version, digest)
		}
	}
	return nil
}
