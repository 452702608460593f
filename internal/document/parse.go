package document

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/strictyaml"
)

// Defaults of fields that a document may leave out.
const (
	DefaultWeight   = 1
	DefaultReplicas = 1
	DefaultCost     = 1
	DefaultTimeout  = 30 * time.Second
)

// Parse parses a document, applies the defaults and validates it. The error is
// strictyaml.Errors and contains every mistake with its file, line and path. The
// document is nil if there is an error.
func Parse(data []byte, file string) (*Document, error) {
	doc := new(Document)
	source, err := strictyaml.Decode(data, file, doc)
	if err != nil {
		return nil, err
	}
	doc.ApplyDefaults()
	if errs := doc.validate(source); len(errs) > 0 {
		return nil, errs
	}
	return doc, nil
}

// Digest returns the hexadecimal SHA-256 digest of a document's text. It
// identifies the exact text that was in force.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// ApplyDefaults sets the fields that are empty to their defaults.
func (d *Document) ApplyDefaults() {
	for i := range d.Teams {
		orDefault(&d.Teams[i].Weight, DefaultWeight)
	}
	for i := range d.Models {
		orDefault(&d.Models[i].Replicas, DefaultReplicas)
	}
	for i := range d.Routes {
		orDefault(&d.Routes[i].Repeat, RepeatNever)
		orDefault(&d.Routes[i].Cost, DefaultCost)
		orDefault(&d.Routes[i].Timeout, DefaultTimeout)
	}
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
