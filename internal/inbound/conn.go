package inbound

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/connlimit"
	"github.com/chestnutarch/chestnutarch/internal/transport"
)

var (
	// ErrClosed means that a connection was closed because others needed its place.
	ErrClosed = errors.New("inbound: the connection was closed for others")
	// ErrRefused means that the head of a request was refused, and its client told so.
	ErrRefused = errors.New("inbound: the head was refused")
)

// chunked stands for the length of a body of unknown length.
const chunked = -1

// Conn is a connection of a client. The methods that read or that follow requests are called by one goroutine at a time, as
// net/http does.
type Conn struct {
	net.Conn
	entry    *connlimit.Conn
	listener *Listener
	window   *transport.WindowWatch

	scanner headScanner
	// head is the number of bytes of the present head, untaken the memory of those that has not been taken yet.
	head, untaken int64
	// last is what has been read of a chunked body last.
	last tail
	// bodyBuffer is set while the kernel's receive buffer is that for bodies.
	bodyBuffer bool
	// reading is set from the first byte of a head until its end, serving from there until the request has been answered.
	reading, serving bool
	// body is the number of bytes of the present body that have not been read, or chunked. It is atomic because the server may
	// begin to wait for the next request while the end of a chunked body is being recorded.
	body atomic.Int64
	// rest holds bytes that have been read from the connection and not handed out. They begin in buffer.
	rest   []byte
	buffer *[]byte
}

// Read implements net.Conn. It hands out no byte beyond the end of a head, and none beyond the end of a body of known length.
func (c *Conn) Read(p []byte) (int, error) {
	body := c.body.Load()
	if body > 0 && int64(len(p)) > body {
		p = p[:body]
	}
	n, err := c.readMore(p)
	switch {
	case n == 0:
		return 0, err
	case body == chunked:
		c.last.add(p[:n])
		if c.last.total > int64(c.listener.ReceiveBuffer) {
			c.setBodyBuffer(true)
		}
		return n, err
	case body > 0:
		return c.readBody(n, err)
	default:
		return c.readHead(p[:n], err)
	}
}

// readMore returns bytes that are left of an earlier read, or else reads from the connection.
func (c *Conn) readMore(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	if len(c.rest) == 0 {
		c.releaseBuffer()
	}
	return n, nil
}

// result returns the result of a read, which fails if the connection is no longer open for its client.
func (c *Conn) result(n int, err error, open bool) (int, error) {
	if !open {
		return 0, errors.WithStack(ErrClosed)
	}
	return n, err
}

func (c *Conn) readBody(n int, err error) (int, error) {
	if c.body.Add(-int64(n)) > 0 {
		return c.result(n, err, c.entry.ReadBody(time.Now()))
	}
	return c.result(n, err, c.entry.EndBody(time.Now()))
}

// readHead follows the bytes of a head, and keeps those that come after its end.
func (c *Conn) readHead(p []byte, err error) (int, error) {
	now := time.Now()
	// While a request is being served, the server reads a byte to learn that the client closes the connection.
	if !c.reading && !c.serving && !c.entry.BeginHead(now) {
		return 0, errors.WithStack(ErrClosed)
	}
	c.reading = true
	n, complete := c.scanner.scan(p)
	c.head += int64(n)
	c.untaken += headMemory(p[:n])
	if c.serving {
		return n, err
	}
	if refusal := c.takeHead(now); refusal != nil {
		return 0, refusal
	}
	if !complete {
		return n, err
	}
	c.keep(p[n:])
	c.scanner, c.head, c.reading, c.serving = headScanner{}, 0, false, true
	return c.result(n, err, c.entry.EndHead(now))
}

// takeHead takes the memory of what has been read of a head, or refuses the head.
func (c *Conn) takeHead(now time.Time) error {
	if limit := c.listener.HeadLimit; limit != nil && c.head > limit() {
		return c.refuse(tooLarge)
	}
	err := c.entry.TakeHead(c.untaken, now)
	c.untaken = 0
	switch {
	case errors.Is(err, connlimit.ErrNoMemory):
		return c.refuse(noMemory())
	case err != nil:
		return errors.WithStack(ErrClosed)
	}
	return nil
}

// buffers holds buffers for bytes that come after the end of a head.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

// keep keeps bytes for later reads.
func (c *Conn) keep(p []byte) {
	if len(p) == 0 {
		return
	}
	fresh := buffers.Get().(*[]byte)
	*fresh = append(append((*fresh)[:0], p...), c.rest...)
	c.releaseBuffer()
	c.buffer, c.rest = fresh, *fresh
}

func (c *Conn) releaseBuffer() {
	if c.buffer != nil {
		buffers.Put(c.buffer)
	}
	c.buffer, c.rest = nil, nil
}

// beginBody is called when the head of a request has been parsed.
func (c *Conn) beginBody(r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	c.body.Store(r.ContentLength)
	c.entry.ReadBody(time.Now())
	if r.ContentLength > int64(c.listener.ReceiveBuffer) {
		c.setBodyBuffer(true)
	}
	if r.ContentLength == chunked {
		r.Body = &chunkedBody{ReadCloser: r.Body, conn: c}
	}
}

// setBodyBuffer sets whether the kernel's receive buffer is that for bodies. Otherwise it is small, since clients may go on
// sending while nothing is read.
func (c *Conn) setBodyBuffer(body bool) {
	if c.bodyBuffer == body || c.listener.BodyBuffer == 0 {
		return
	}
	c.bodyBuffer = body
	size := c.listener.ReceiveBuffer
	if body {
		size = c.listener.BodyBuffer
	}
	if inner, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		// An error means that the connection is gone.
		_ = inner.SetReadBuffer(size)
	}
}

// chunkedBody is a body of unknown length, of which only the server knows where it ends.
type chunkedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.conn.body.Store(0)
		return b.conn.result(n, err, b.conn.entry.EndBody(time.Now()))
	case n > 0:
		return b.conn.result(n, err, b.conn.entry.ReadBody(time.Now()))
	}
	return n, err
}

// endRequest is called when a request has been answered and the connection waits for the next one.
func (c *Conn) endRequest() {
	c.serving = false
	c.body.Store(0)
	// Of what came after a chunked body the server may hold a part, which is one of the next head.
	c.untaken += c.last.memory()
	c.setBodyBuffer(false)
	now := time.Now()
	c.entry.EndRequest(now)
	if c.reading {
		c.entry.BeginHead(now)
	}
}

// CloseWrite closes the direction to the client.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.WithStack(half.CloseWrite())
	}
	return nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.window.Wrote(time.Now())
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.entry.Close()
	c.window.Close()
	return c.Conn.Close()
}
