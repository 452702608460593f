package httpconn

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxHeadSize bounds the head of an answer together with the interim answers before it, in bytes: an upstream may send
	// bytes without end, and a line or a header is kept until it ends.
	maxHeadSize = 64 << 10
	// unbounded is the value of boundedReader.left while nothing is bounded.
	unbounded = -1
)

// errBound means that a boundedReader has returned as many bytes as it may.
var errBound = errors.New("httpconn: bound reached")

// HeadTooLargeError means that an upstream sent an answer's head that is too large, or bytes that are no answer. The upstream
// may have acted on the request. It is an ErrBroken.
type HeadTooLargeError struct {
	// Address is that of the upstream, Bound the largest size in bytes.
	Address string
	Bound   int
}

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("httpconn: %s sent more than %d bytes without a whole head", e.Address, e.Bound)
}

// Unwrap returns ErrBroken.
func (e *HeadTooLargeError) Unwrap() error { return ErrBroken }

// boundedReader reads from a source until it has returned left bytes, unless left is unbounded.
type boundedReader struct {
	source io.Reader
	left   int
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, errBound
	}
	if b.left > 0 && len(p) > b.left {
		p = p[:b.left]
	}
	n, err := b.source.Read(p)
	if b.left > 0 {
		b.left -= n
	}
	return n, err
}
