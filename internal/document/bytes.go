package document

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Bytes is an amount of memory in bytes. In YAML it is a whole number with a
// binary unit: "200MiB", "14GiB".
type Bytes int64

// Binary units.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// units are in descending order, so that String finds the shortest form.
var units = []struct {
	suffix string
	size   Bytes
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}}

// maxBytes is the maximum of one amount, so that sums over a document cannot
// overflow.
const maxBytes = 1 << 50

// ParseBytes parses a whole number with a binary unit, or "0". It returns ErrBadUnit
// for anything else, because a plain number or "GB" is ambiguous.
func ParseBytes(text string) (Bytes, error) {
	for _, u := range units {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 64)
		if err != nil || n < 0 || n > maxBytes/int64(u.size) {
			return 0, errors.Wrapf(ErrBadUnit, "%q", text)
		}
		return Bytes(n) * u.size, nil
	}
	if text == "0" {
		return 0, nil
	}
	return 0, errors.Wrapf(ErrBadUnit, "%q: write a whole number with KiB, MiB or GiB", text)
}

// String returns the amount in the largest unit that divides it, or in bytes without
// a unit if none does.
func (b Bytes) String() string {
	for _, u := range units {
		if b != 0 && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(b), 10)
}

// UnmarshalYAML parses an amount from a scalar.
func (b *Bytes) UnmarshalYAML(n *yaml.Node) error {
	parsed, err := ParseBytes(n.Value)
	if err != nil {
		return err
	}
	*b = parsed
	return nil
}

// MarshalYAML writes the amount with its unit.
func (b Bytes) MarshalYAML() (any, error) { return b.String(), nil }
