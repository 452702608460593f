package configstate

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

var (
	// ErrEnvelope means that data is not an envelope, or that the parts of the
	// envelope are inconsistent. Nothing of it is used.
	ErrEnvelope = errors.New("configstate: invalid envelope")
	// ErrDivergent means that two envelopes with the same version contain
	// different documents. Only a writer that bypasses compare-and-swap can
	// cause this.
	ErrDivergent = errors.New("configstate: different documents with the same version")
	// ErrWrongEnvironment means that an envelope belongs to another environment.
	ErrWrongEnvironment = errors.New("configstate: envelope of another environment")
	// ErrWithdrawnListed means that a document lists a withdrawn key.
	ErrWithdrawnListed = errors.New("configstate: document lists a withdrawn key")
)

// Envelope is an accepted configuration as it is stored in the key-value service
// and exchanged between peers.
type Envelope struct {
	// Environment names the environment that accepted it.
	Environment string `json:"environment"`
	// Version counts accepted envelopes from 1.
	Version int64 `json:"version"`
	// ChangeID identifies the change for operators. A repeated command has the
	// same ID.
	ChangeID string `json:"change_id"`
	// Nonce is unique to one write attempt. A writer that did not receive the
	// response uses it to tell whether an envelope that it reads back is its own.
	Nonce string `json:"nonce"`
	// Digest is the digest of Document.
	Digest string `json:"digest"`
	// Document is the text as the operator wrote it.
	Document string `json:"document,omitempty"`
	// Withdrawn lists the digests of withdrawn keys in ascending order.
	Withdrawn []string `json:"withdrawn"`
	// AcceptedAt is the time on the writer's wall clock. It informs operators
	// only; no decision depends on it.
	AcceptedAt time.Time `json:"accepted_at"`
	// Author names who requested the change.
	Author string `json:"author,omitempty"`
	// Promotion is the evidence for a promotion, nil for any other change.
	Promotion *Evidence `json:"promotion,omitempty"`
}

// encodedEnvelope is the JSON form of an envelope. A long document is compressed
// in it.
type encodedEnvelope struct {
	Envelope
	Compressed []byte `json:"document_gzip,omitempty"`
}

// Encode returns the envelope's JSON.
func (e *Envelope) Encode() ([]byte, error) {
	s := encodedEnvelope{Envelope: *e}
	if len(e.Document) >= compressThreshold {
		compressed, err := compress(e.Document)
		if err != nil {
			return nil, err
		}
		s.Document, s.Compressed = "", compressed
	}
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	// Escaping <, > and & in the document's text would only make it larger.
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(&s); err != nil {
		return nil, errors.Wrap(ErrEnvelope, err.Error())
	}
	return b.Bytes(), nil
}

// Decode decodes an envelope and checks that its parts are consistent. It does
// not validate the document. It returns ErrEnvelope if either fails.
func Decode(data []byte) (*Envelope, error) {
	s := new(encodedEnvelope)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(ErrEnvelope, err.Error())
	}
	if len(s.Compressed) > 0 {
		text, err := decompress(s.Compressed)
		if err != nil {
			return nil, err
		}
		s.Document = text
	}
	return &s.Envelope, s.check()
}

// Union returns the sorted union of lists of digests.
func Union(lists ...[]string) []string {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}

// Missing returns the digests in want that are not in have. Both must be sorted.
func Missing(have, want []string) []string {
	var missing []string
	for _, digest := range want {
		if _, found := slices.BinarySearch(have, digest); !found {
			missing = append(missing, digest)
		}
	}
	return missing
}

// CheckListedKeys returns ErrWithdrawnListed if the document lists a withdrawn
// digest. A document written before a withdrawal must not suggest that the key
// is valid again.
func CheckListedKeys(doc *document.Document, withdrawn []string) error {
	for _, team := range doc.Teams {
		for _, key := range team.Keys {
			if _, found := slices.BinarySearch(withdrawn, key.SHA256); found {
				return errors.Wrapf(ErrWithdrawnListed, "team %s, key %s, digest %s", team.Name, key.ID, key.SHA256)
			}
		}
	}
	return nil
}
