package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// ErrNotSent means that the upstream cannot have seen any byte of the request.
var ErrNotSent = errors.New("httpconn: the request was not sent")

// ErrBroken means that the connection failed after bytes of the request may have
// left. The upstream may have acted on it.
var ErrBroken = errors.New("httpconn: the connection broke")

const (
	// maxIdlePerHost bounds the kept connections to one upstream. A VM seldom has
	// more requests than this with one upstream at the same time.
	maxIdlePerHost = 24
	// defaultIdle is how long a connection is kept if the upstream does not say.
	// Before each use the connection is checked for a close that has arrived, so
	// only a close that is on its way can hit a request.
	defaultIdle = 20 * time.Second
	// idleMargin is how long before the upstream's own timeout a connection is
	// given up: the time in which a request could cross the upstream's close.
	idleMargin = 300 * time.Millisecond
	// readBuffer and writeChunk are the sizes of buffers in bytes.
	readBuffer = 4 << 10
	// asyncBody is the size of a request in bytes from which it is written beside
	// reading: an upstream may answer before it has read a long request, and then
	// never read on while a plain write waits for it.
	asyncBody = 8 << 10
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer

	mu    sync.Mutex
	idle  map[string][]*conn
	dials int64
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	// until is when the upstream may close the idle connection.
	until time.Time
}

// NewPool returns an empty pool whose connections are given up by the limits.
func NewPool(l transport.Limits) *Pool {
	return &Pool{dialer: transport.NewDialer(l), idle: make(map[string][]*conn)}
}

// Dials returns how many connections were opened.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Exchange is a request whose answer has begun. It must be closed.
type Exchange struct {
	Response *http.Response

	pool    *Pool
	address string
	conn    *conn
	stop    func() bool
	written chan error
}

// Do sends the request to an address and reads the head of the answer. The
// request's body must be repeatable from body. Ending ctx resets the connection,
// also while the answer's body is read. Errors are ErrNotSent or ErrBroken, wrapped.
func (p *Pool) Do(ctx context.Context, address string, r *http.Request, body []byte) (*Exchange, error) {
	c := p.take(address)
	if c == nil {
		dialled, err := p.dial(ctx, address)
		if err != nil {
			return nil, errors.Wrapf(ErrNotSent, "%v", err)
		}
		c = dialled
	}
	x := &Exchange{pool: p, address: address, conn: c}
	x.stop = context.AfterFunc(ctx, func() { c.reset() })
	wire, err := render(r, body)
	if err != nil {
		x.Close(false)
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	if err := x.write(wire); err != nil {
		x.Close(false)
		return nil, errors.Wrapf(ErrBroken, "%v", err)
	}
	response, err := http.ReadResponse(c.reader, r)
	for err == nil && response.StatusCode >= 100 && response.StatusCode < 200 {
		response, err = http.ReadResponse(c.reader, r)
	}
	if err != nil {
		x.Close(false)
		return nil, errors.Wrapf(ErrBroken, "%v", err)
	}
	x.Response = response
	return x, nil
}

func render(r *http.Request, body []byte) ([]byte, error) {
	var wire bytes.Buffer
	wire.Grow(len(body) + 1024)
	r.ContentLength = int64(len(body))
	r.Body = http.NoBody
	if len(body) > 0 {
		r.Body = readCloser{bytes.NewReader(body)}
	}
	if err := r.Write(&wire); err != nil {
		return nil, err
	}
	return wire.Bytes(), nil
}

type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }

func (x *Exchange) write(wire []byte) error {
	if len(wire) < asyncBody {
		_, err := x.conn.Write(wire)
		return err
	}
	x.written = make(chan error, 1)
	go func() {
		_, err := x.conn.Write(wire)
		x.written <- err
	}()
	return nil
}

// Close ends the exchange. The connection is kept only if keep is set, the answer
// was read to its end and nothing stands against using it again.
func (x *Exchange) Close(keep bool) {
	live := x.stop()
	if keep && live && x.reusable() {
		x.pool.put(x.address, x.conn, x.Response.Header)
		return
	}
	x.conn.reset()
}

func (x *Exchange) reusable() bool {
	if x.Response == nil || x.Response.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	if x.written == nil {
		return true
	}
	// An answer that came before the request was read leaves a connection on which
	// the upstream still expects the rest of the body.
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// reset closes the connection at once and drops what is still to be sent, so
// that a request which a partition holds up is not delivered later.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// take returns an idle connection that still looks usable, the one used last
// first, or nil.
func (p *Pool) take(address string) *conn {
	for {
		c := p.pop(address)
		if c == nil || c.usable(time.Now()) {
			return c
		}
		c.reset()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// usable reports whether nothing has arrived on the idle connection: neither a
// close nor bytes that belong to no request. A second answer that came late would
// otherwise be taken for the answer to the next request.
func (c *conn) usable(now time.Time) bool {
	if now.After(c.until) {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		clean = errors.Is(failed, syscall.EAGAIN)
		return true
	})
	return err == nil && clean
}

func (p *Pool) put(address string, c *conn, header http.Header) {
	idle := idleTimeout(header)
	if idle <= 0 {
		c.reset()
		return
	}
	c.until = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerHost {
		c.reset()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// idleTimeout reads the upstream's own timeout from a Keep-Alive header
// ("timeout=5, max=100").
func idleTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.reset()
	}
}

// Keep forgets the addresses that are not named.
func (p *Pool) Keep(addresses map[string]bool) {
	p.mu.Lock()
	var gone []string
	for a := range p.idle {
		if !addresses[a] {
			gone = append(gone, a)
		}
	}
	p.mu.Unlock()
	for _, a := range gone {
		p.Forget(a)
	}
}
