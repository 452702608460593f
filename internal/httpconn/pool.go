package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// ErrNotSent means that the upstream cannot have received any byte of the request.
var ErrNotSent = errors.New("httpconn: the request was not sent")

// ErrBroken means that the connection failed after bytes of the request may have been
// sent. The upstream may have acted on the request.
var ErrBroken = errors.New("httpconn: the connection broke")

const (
	// maxIdlePerHost bounds the idle connections to one upstream. A VM rarely has more
	// requests in flight to one upstream.
	maxIdlePerHost = 24
	// defaultIdleTimeout is how long an idle connection is kept if the upstream sends no
	// timeout. Before each use the connection is checked for a close that has arrived,
	// so only a close that is still in transit can break a request.
	defaultIdleTimeout = 20 * time.Second
	// defaultSweepInterval is well below defaultIdleTimeout: an upstream may close a connection sooner, which then keeps its
	// descriptor here.
	defaultSweepInterval = 10 * time.Second
	// idleMargin is how long before the upstream's own timeout a connection is no longer
	// used: the time in which a request could cross the upstream's close.
	idleMargin = 300 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
	// asyncWriteMin is the size of a request in bytes from which it is written
	// concurrently with reading the response: an upstream may answer before it has read
	// a long request and then stop reading, which would block a synchronous write.
	asyncWriteMin = 8 << 10
	// maxSkipped bounds a response that is skipped, in bytes.
	maxSkipped = 256 << 10
)

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	// DialContext opens a connection to an address. It may be replaced before the pool is used.
	DialContext func(ctx context.Context, address string) (net.Conn, error)

	// userTimeout is the TCP_USER_TIMEOUT of the connections.
	userTimeout time.Duration
	// sweepInterval is the time between two searches for idle connections that are no longer usable.
	sweepInterval time.Duration

	mu    sync.Mutex
	idle  map[string][]*conn
	dials int64
	// sweeping is set while a search is to come.
	sweeping bool
}

type conn struct {
	net.Conn
	// number identifies the connection in its pool; uses counts the requests for which it was taken.
	number int64
	uses   int
	reader *bufio.Reader
	// bound is what the reader reads from.
	bound *boundedReader
	// window is the watch of the upstream's receive window.
	window *transport.WindowWatch
	// idleDeadline is the time after which the idle connection is no longer used,
	// because the upstream may close it.
	idleDeadline time.Time
}

// NewPool returns an empty pool whose connections have the timeouts of the limits.
func NewPool(l transport.Limits) *Pool {
	dialer := transport.NewDialer(l)
	return &Pool{
		DialContext: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		},
		userTimeout:   l.UserTimeout,
		sweepInterval: defaultSweepInterval,
		idle:          make(map[string][]*conn),
	}
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Exchange is a request whose response headers have been read. It must be closed.
type Exchange struct {
	Response *http.Response

	pool      *Pool
	address   string
	request   *http.Request
	conn      *conn
	stopReset func() bool
	writeDone chan error
}

// Send is a request and how it is to be sent.
type Send struct {
	Address string
	// Request is the head. Its Body and ContentLength are replaced.
	Request *http.Request
	Body    []byte
	// BeforeWrite, unless nil, is called once there is a connection, before the first byte is written. If it returns an error,
	// nothing is written.
	BeforeWrite func() error
	// Avoid lists connections that are not used for the request, by their numbers.
	Avoid []int64
}

// Do sends a request and reads the response headers. Errors are that of BeforeWrite, and ErrNotSent or ErrBroken, wrapped;
// HeadTooLargeError is one of the latter. Cancelling ctx resets the connection, also while the response body is read.
func (p *Pool) Do(ctx context.Context, s Send) (*Exchange, error) {
	c := p.idleConn(s.Address, s.Avoid)
	if c == nil {
		dialled, err := p.dial(ctx, s.Address)
		if err != nil {
			return nil, errors.Wrapf(ErrNotSent, "%v", err)
		}
		c = dialled
	}
	c.uses++
	x := &Exchange{pool: p, address: s.Address, request: s.Request, conn: c}
	x.stopReset = context.AfterFunc(ctx, func() { c.reset() })
	head, err := serializeHead(s.Request, s.Body)
	if err != nil {
		x.Close(false)
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	if s.BeforeWrite != nil {
		if err := s.BeforeWrite(); err != nil {
			x.Close(false)
			return nil, err
		}
	}
	if err := x.write(head, s.Body); err != nil {
		x.Close(false)
		return nil, errors.Wrapf(ErrBroken, "%v", err)
	}
	if err := x.readResponse(); err != nil {
		x.Close(false)
		return nil, err
	}
	return x, nil
}

// readResponse reads the headers of a response. The errors are ErrBroken, wrapped, and HeadTooLargeError.
func (x *Exchange) readResponse() error {
	response, tooLarge, err := x.conn.readHead(x.request)
	if tooLarge {
		return errors.WithStack(&HeadTooLargeError{Address: x.address, Bound: maxHeadSize})
	}
	if err != nil {
		return errors.Wrapf(ErrBroken, "%v", err)
	}
	if !transport.IsStatus(response.StatusCode) {
		return errors.Wrapf(ErrBroken, "invalid status %q", response.Status)
	}
	if x.writeDone != nil && isCloseDelimited(response) {
		response.Body = &closeDelimitedBody{ReadCloser: response.Body, exchange: x}
	}
	x.Response = response
	return nil
}

// Skip drops a response that belongs to an earlier request of the connection, and reads the headers of the next one. Errors are
// those of Do; also if the response does not end by itself, or is longer than maxSkipped. The exchange has to be closed then.
func (x *Exchange) Skip() error {
	if x.Response.Close {
		return errors.Wrap(ErrBroken, "no response follows the one to skip")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, maxSkipped+1))
	if err != nil {
		return errors.Wrapf(ErrBroken, "response to skip: %v", err)
	}
	if n > maxSkipped {
		return errors.Wrapf(ErrBroken, "response to skip: more than %d bytes", maxSkipped)
	}
	return x.readResponse()
}

// readHead reads the head of an answer, and those of the interim answers before it. tooLarge means that the error comes from
// the bound on their size.
func (c *conn) readHead(r *http.Request) (response *http.Response, tooLarge bool, err error) {
	c.bound.left = maxHeadSize
	response, err = http.ReadResponse(c.reader, r)
	for err == nil && response.StatusCode >= 100 && response.StatusCode < 200 {
		response, err = http.ReadResponse(c.reader, r)
	}
	tooLarge = err != nil && c.bound.left == 0
	c.bound.left = unbounded
	return response, tooLarge, err
}

// write writes the request. A long body is written from where it is, since a copy would double its memory for as long as
// the upstream takes to read it.
func (x *Exchange) write(head, body []byte) error {
	x.conn.window.WroteRequest(time.Now())
	if len(head)+len(body) < asyncWriteMin {
		_, err := x.conn.Write(append(head, body...))
		return err
	}
	x.writeDone = make(chan error, 1)
	go func() {
		wire := net.Buffers{head, body}
		_, err := wire.WriteTo(x.conn.Conn)
		x.writeDone <- err
	}()
	return nil
}

// Connection identifies the connection among those of its pool.
func (x *Exchange) Connection() int64 { return x.conn.number }

// Uses returns how many requests the connection was taken for, this one included.
func (x *Exchange) Uses() int { return x.conn.uses }

// Written reports whether the whole request has been written, so that its body is not used any more. It must not be called
// after Close.
func (x *Exchange) Written() bool { return x.writeDone == nil || len(x.writeDone) > 0 }

// Close ends the exchange. The connection is kept for reuse only if keep is set, which
// means that the response was read to its end, ctx has not been cancelled and the
// connection is reusable. Otherwise it is reset.
func (x *Exchange) Close(keep bool) {
	notReset := x.stopReset()
	if keep && notReset && x.reusable() {
		x.pool.putIdle(x.address, x.conn, x.Response.Header)
		return
	}
	x.conn.reset()
}

func (x *Exchange) reusable() bool {
	if x.Response == nil || x.Response.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	if x.writeDone == nil {
		return true
	}
	// If the response arrived before the upstream read the whole request, the upstream
	// still expects the rest of the body on this connection.
	select {
	case err := <-x.writeDone:
		return err == nil
	default:
		return false
	}
}

// reset closes the connection at once and discards unsent data, so that a request delayed
// by a network partition is not delivered later.
func (c *conn) reset() {
	c.window.Close()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.DialContext(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dials++
	number := p.dials
	p.mu.Unlock()
	bound := &boundedReader{source: raw, left: unbounded}
	return &conn{
		Conn: raw, number: number, reader: bufio.NewReaderSize(bound, readBufferSize), bound: bound,
		window: transport.NewWindowWatch(raw, p.userTimeout),
	}, nil
}

// Connect opens a connection to an address, which is kept as an idle one. The error is that of the dialer.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err == nil {
		p.putIdle(address, c, nil)
	}
	return err
}
