package httpconn

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// isCloseDelimited reports whether the body of a response ends with its connection (RFC 9112, section 6.3).
func isCloseDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// closeDelimitedBody is the body of a response that ends with its connection, while its request may still be being written. The
// kernel reports a reset once: if the write gets it, the read that follows sees an ordinary end.
type closeDelimitedBody struct {
	io.ReadCloser
	exchange *Exchange
	// failed is the error of a reset that looked like the end.
	failed error
}

// Read implements io.Reader. The error is ErrBroken, wrapped, if the connection was reset.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.failed != nil {
		return 0, b.failed
	}
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failed := b.exchange.endWrite(); failed != nil {
		b.failed = errors.Wrapf(ErrBroken, "close-delimited response: %v", failed)
		return n, b.failed
	}
	return n, io.EOF
}

// endWrite ends the write of the request and returns the error that it met, nil if the end of the response stands.
func (x *Exchange) endWrite() error {
	_ = x.conn.SetWriteDeadline(time.Now())
	err := <-x.writeDone
	x.writeDone <- err
	if transport.HidesReset(err) {
		return err
	}
	return nil
}
