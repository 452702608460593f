package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

const (
	clientPingAfter   = 10 * time.Second
	clientPingTimeout = 2 * time.Second
	reconnectBase     = 100 * time.Millisecond
	reconnectMax      = 2 * time.Second
	// maxTimeouts is the number of consecutive calls without an answer after which
	// a connection is replaced. The client's own pings are too rare to detect a
	// silent connection within the lifetime of leases, which is a few seconds.
	maxTimeouts = 2
	// windowBytes is the size of the flow-control windows, in bytes. With dynamic windows,
	// gRPC adds a ping and its answer to nearly every call, and most calls between VMs are a
	// few hundred bytes.
	windowBytes = 1 << 20
)

// Pool keeps one connection for each peer address. It is safe for concurrent use.
type Pool struct {
	options []grpc.DialOption
	mu      sync.Mutex
	closed  bool
	conns   map[string]*pooledConn
}

type pooledConn struct {
	conn *grpc.ClientConn
	// timeouts counts consecutive calls without an answer.
	timeouts int
}

// NewPool returns an empty pool. It returns ErrNoCredentials if security has neither
// credentials nor AllowPlainText.
func NewPool(security Security) (*Pool, error) {
	transport, err := security.transport()
	if err != nil {
		return nil, err
	}
	retry := backoff.Config{BaseDelay: reconnectBase, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMax}
	return &Pool{
		conns: make(map[string]*pooledConn),
		options: []grpc.DialOption{
			grpc.WithTransportCredentials(transport),
			grpc.WithStatsHandler(otelgrpc.NewClientHandler(otelgrpc.WithFilter(traced))),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
			grpc.WithStaticStreamWindowSize(windowBytes),
			grpc.WithStaticConnWindowSize(windowBytes),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: clientPingAfter, Timeout: clientPingTimeout, PermitWithoutStream: true}),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: time.Second}),
			// A retry by the library could deliver a call twice.
			grpc.WithDisableRetry(),
			grpc.WithNoProxy(),
		},
	}, nil
}

func (p *Pool) connection(address string) (*pooledConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, p.options...)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "connect to %s: %v", address, err)
	}
	c := &pooledConn{conn: conn}
	p.conns[address] = c
	return c, nil
}

// resetTimeouts records that data has arrived on a connection. While a large message fills
// the link, other calls on the connection may time out although the peer is alive.
func (p *Pool) resetTimeouts(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.timeouts = 0
}

// recordOutcome counts consecutive calls without an answer and closes the connection after
// maxTimeouts of them.
func (p *Pool) recordOutcome(address string, c *pooledConn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch status.Code(err) {
	case codes.DeadlineExceeded:
	case codes.Canceled:
		// The caller no longer waits, which says nothing about the peer.
		return
	default:
		c.timeouts = 0
		return
	}
	c.timeouts++
	if c.timeouts >= maxTimeouts && p.conns[address] == c {
		delete(p.conns, address)
		_ = c.conn.Close()
	}
}

// Call makes one call to the peer at address with a deadline. It returns
// ErrUnreachable, wrapped, if the call's effect is unknown, the call's own error,
// wrapped, if the peer answered with one, and ErrClosed after Close.
func (p *Pool) Call(ctx context.Context, address string, timeout time.Duration, call func(context.Context, grpc.ClientConnInterface) error) error {
	c, err := p.connection(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = call(ctx, c.conn)
	p.recordOutcome(address, c, err)
	return callError(address, err)
}

// Stream makes a call to the peer at address that lasts until ctx ends at the latest. Its errors are those of Call. That it
// is ended by its deadline says nothing about the peer, so it does not count as a call without an answer.
func (p *Pool) Stream(ctx context.Context, address string, call func(context.Context, grpc.ClientConnInterface) error) error {
	c, err := p.connection(address)
	if err != nil {
		return err
	}
	return callError(address, call(ctx, c.conn))
}

// callError converts the error of a call: to ErrUnreachable if the call's effect is unknown,
// else to the wrapped error that the peer answered with.
func callError(address string, err error) error {
	switch status.Code(err) {
	case codes.OK:
		return nil
	case codes.DeadlineExceeded, codes.Unavailable, codes.Canceled:
		return errors.Wrapf(ErrUnreachable, "%s: %v", address, err)
	default:
		return errors.Wrapf(err, "peer %s", address)
	}
}

// Heartbeat sends this VM's report to the peer at address and returns the peer's.
func (p *Pool) Heartbeat(ctx context.Context, address string, timeout time.Duration, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	var out *peerpb.HeartbeatResponse
	err := p.Call(ctx, address, timeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		out, err = peerpb.NewMembershipClient(conn).Heartbeat(ctx, in)
		return err
	})
	return out, err
}

// FetchConfig asks the peer at address for its configuration envelope.
func (p *Pool) FetchConfig(ctx context.Context, address string, timeout time.Duration, have int64) (*peerpb.FetchConfigResponse, error) {
	var out *peerpb.FetchConfigResponse
	err := p.Call(ctx, address, timeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		out, err = peerpb.NewMembershipClient(conn).FetchConfig(ctx, &peerpb.FetchConfigRequest{HaveVersion: have})
		return err
	})
	return out, err
}

// ExchangeQuota delivers quota messages to the peer at address and returns its
// replies.
func (p *Pool) ExchangeQuota(ctx context.Context, address string, timeout time.Duration, in *peerpb.QuotaBatch) (*peerpb.QuotaBatch, error) {
	var out *peerpb.QuotaBatch
	err := p.Call(ctx, address, timeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		out, err = peerpb.NewQuotaClient(conn).Exchange(ctx, in)
		return err
	})
	return out, err
}

// Disconnect closes the connection to a peer that has been removed.
func (p *Pool) Disconnect(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		delete(p.conns, address)
		_ = c.conn.Close()
	}
}

// Close closes every connection. Later calls return ErrClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, c := range p.conns {
		delete(p.conns, address)
		_ = c.conn.Close()
	}
}
