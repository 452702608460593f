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
	// ErrEnvelope means that bytes are no envelope, or that its parts
	// contradict each other. Nothing of it is used.
	ErrEnvelope = errors.New("configstate: bad envelope")
	// ErrDivergent means that two envelopes of one version hold different
	// documents. Only a writer that goes around compare-and-swap makes them.
	ErrDivergent = errors.New("configstate: two documents with one version")
	// ErrForeign means that an envelope belongs to another environment.
	ErrForeign = errors.New("configstate: envelope of another environment")
	// ErrWithdrawnListed means that a document lists a withdrawn key.
	ErrWithdrawnListed = errors.New("configstate: document lists a withdrawn key")
)

// Envelope is an accepted configuration as the key-value service and the peers
// carry it.
type Envelope struct {
	// Environment names the environment that accepted it.
	Environment string `json:"environment"`
	// Version counts accepted envelopes from 1.
	Version int64 `json:"version"`
	// ChangeID names the change for operators. A repeated command carries the
	// same one.
	ChangeID string `json:"change_id"`
	// Nonce is unique to one attempt to write. It tells a writer whose answer
	// was lost whether an envelope that it reads back is its own.
	Nonce string `json:"nonce"`
	// Digest is the digest of Document.
	Digest string `json:"digest"`
	// Document is the text as the operator wrote it.
	Document string `json:"document,omitempty"`
	// Withdrawn lists the digests of withdrawn keys in ascending order.
	Withdrawn []string `json:"withdrawn"`
	// AcceptedAt is the writer's wall clock, for operators to read. Nothing is
	// decided by it.
	AcceptedAt time.Time `json:"accepted_at"`
	// Author says who asked for the change.
	Author string `json:"author,omitempty"`
	// Promotion is the evidence, if the change is a promotion.
	Promotion *Evidence `json:"promotion,omitempty"`
}

// stored is an envelope as it is encoded, with a long document compressed.
type stored struct {
	Envelope
	Compressed []byte `json:"document_gzip,omitempty"`
}

// Encode returns the envelope's JSON.
func (e *Envelope) Encode() ([]byte, error) {
	s := stored{Envelope: *e}
	if len(e.Document) >= compressFrom {
		compressed, err := compress(e.Document)
		if err != nil {
			return nil, err
		}
		s.Document, s.Compressed = "", compressed
	}
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	// A document is mostly plain text; escaping <, > and & would only make it
	// larger.
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(&s); err != nil {
		return nil, errors.Wrap(ErrEnvelope, err.Error())
	}
	return b.Bytes(), nil
}

// Decode reads an envelope and checks that its parts belong together. It does
// not check the document. It returns ErrEnvelope.
func Decode(data []byte) (*Envelope, error) {
	s := new(stored)
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

// Missing returns the digests of want that have lacks. Both are sorted.
func Missing(have, want []string) []string {
	var missing []string
	for _, digest := range want {
		if _, found := slices.BinarySearch(have, digest); !found {
			missing = append(missing, digest)
		}
	}
	return missing
}

// ListedWithdrawn returns ErrWithdrawnListed if the document lists a withdrawn
// digest. A document from before a withdrawal must not look as if the key were
// good again.
func ListedWithdrawn(doc *document.Document, withdrawn []string) error {
	for _, team := range doc.Teams {
		for _, key := range team.Keys {
			if _, gone := slices.BinarySearch(withdrawn, key.SHA256); gone {
				return errors.Wrapf(ErrWithdrawnListed, "team %s, key %s, digest %s", team.Name, key.ID, key.SHA256)
			}
		}
	}
	return nil
}
