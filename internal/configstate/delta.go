package configstate

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

// ErrGap means that deltas start from a version that is not in force here. The
// whole envelope is needed.
var ErrGap = errors.New("configstate: deltas do not connect")

// Delta leads from one accepted envelope to a later one. Most changes touch one
// place of a long document, so a delta is a small part of it.
type Delta struct {
	// From is the version that the delta applies to.
	From int64 `json:"from"`
	// Version and the fields down to Promotion are the later envelope's.
	Version    int64     `json:"version"`
	ChangeID   string    `json:"change_id"`
	Nonce      string    `json:"nonce"`
	Digest     string    `json:"digest"`
	AcceptedAt time.Time `json:"accepted_at"`
	Author     string    `json:"author,omitempty"`
	Promotion  *Evidence `json:"promotion,omitempty"`
	// Prefix and Suffix are how many bytes of the document stay at its start
	// and its end. Middle stands between them.
	Prefix int    `json:"prefix"`
	Suffix int    `json:"suffix"`
	Middle string `json:"middle"`
	// Withdrawn lists the digests that are added.
	Withdrawn []string `json:"withdrawn,omitempty"`
}

// NewDelta returns what leads from one envelope to a later one.
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
	most := min(len(a), len(b)) - d.Prefix
	for d.Suffix < most && a[len(a)-1-d.Suffix] == b[len(b)-1-d.Suffix] {
		d.Suffix++
	}
	d.Middle = b[d.Prefix : len(b)-d.Suffix]
	return d
}

// Apply returns the envelope that the delta leads to. It returns ErrGap if base
// is another version, and ErrEnvelope if the result does not match its digest.
func (d *Delta) Apply(base *Envelope) (*Envelope, error) {
	if base == nil || base.Version != d.From {
		return nil, errors.Wrapf(ErrGap, "from version %d", d.From)
	}
	text := base.Document
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(text) || d.Suffix > len(text)-d.Prefix {
		return nil, errors.Wrapf(ErrEnvelope, "delta to version %d does not fit", d.Version)
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

// Update is what one VM sends another that is behind: deltas, or the whole
// envelope where they would be no smaller or do not reach back far enough.
type Update struct {
	// Environment names the sender's, with deltas.
	Environment string
	// Envelope is the whole envelope, nil with deltas.
	Envelope *Envelope
	// Deltas lead from a version of the receiver to one of the sender.
	Deltas []Delta
	// WithdrawnSum is the sender's Snapshot.WithdrawnSum, with deltas. The
	// sender may have learned of a withdrawal before the delta that carries it
	// began, so that no delta of its list does.
	WithdrawnSum uint64
}

// deltaList is a list of deltas on the wire.
type deltaList struct {
	Environment  string  `json:"environment"`
	Deltas       []Delta `json:"deltas"`
	WithdrawnSum uint64  `json:"withdrawn_sum,string"`
}

// EncodeDeltas returns the JSON of a list that DecodeUpdate reads.
func EncodeDeltas(environment string, list []Delta, withdrawnSum uint64) ([]byte, error) {
	data, err := json.Marshal(deltaList{Environment: environment, Deltas: list, WithdrawnSum: withdrawnSum})
	if err != nil {
		return nil, errors.Wrap(ErrEnvelope, err.Error())
	}
	return data, nil
}

// DecodeUpdate reads what Envelope.Encode or EncodeDeltas has written.
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

// OfferUpdate takes an update as Offer takes an envelope. It returns ErrGap if
// the deltas do not reach what is in force, or if the sender knows of other
// withdrawals than are known here afterwards: the whole envelope tells which.
func (s *State) OfferUpdate(u *Update) (changed bool, err error) {
	if u.Envelope != nil {
		return s.Offer(u.Envelope)
	}
	if err := s.foreign(u.Environment); err != nil {
		return false, err
	}
	for i := range u.Deltas {
		d := &u.Deltas[i]
		if s.envelope != nil && d.Version <= s.envelope.Version {
			// Already passed, but its withdrawals count.
			grew, err := s.Withdraw(d.Withdrawn)
			changed = changed || grew
			if err != nil {
				return changed, err
			}
			continue
		}
		e, err := d.Apply(s.envelope)
		if err != nil {
			return changed, err
		}
		moved, err := s.Offer(e)
		changed = changed || moved
		if err != nil {
			return changed, err
		}
	}
	if s.snapshot.WithdrawnSum() != u.WithdrawnSum && !s.faults.ignoreSum {
		return changed, errors.Wrap(ErrGap, "withdrawals differ")
	}
	return changed, nil
}

// check returns ErrEnvelope if the envelope's parts contradict each other.
func (e *Envelope) check() error {
	if e.Version < 1 {
		return errors.Wrapf(ErrEnvelope, "version %d", e.Version)
	}
	// A text that does not match its digest was cut short or mixed up on the
	// way; taking it would put something in force that nobody accepted.
	if document.Digest([]byte(e.Document)) != e.Digest {
		return errors.Wrapf(ErrEnvelope, "version %d: digest does not match", e.Version)
	}
	for _, digest := range e.Withdrawn {
		if !document.IsDigest(digest) {
			return errors.Wrapf(ErrEnvelope, "version %d: withdrawn %q", e.Version, digest)
		}
	}
	return nil
}
