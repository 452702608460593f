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
	// maxTimeouts is the number of calls in a row without an answer after which
	// a connection is replaced. The client's own pings come too seldom to find a
	// silent connection within the few seconds that leases live.
	maxTimeouts = 2
	// windowBytes is how much a peer may send before it is acknowledged. With a window that
	// adapts, gRPC adds a ping and its answer to nearly every call, and most calls between
	// VMs are a few hundred bytes.
	windowBytes = 1 << 20
)

// Pool keeps one connection for each peer address. It is safe for concurrent use.
type Pool struct {
	options []grpc.DialOption
	mu      sync.Mutex
	closed  bool
	conns   map[string]*pooled
}

type pooled struct {
	conn     *grpc.ClientConn
	timeouts int
}

// NewPool returns an empty pool. It returns ErrNoCredentials.
func NewPool(security Security) (*Pool, error) {
	transport, err := security.transport()
	if err != nil {
		return nil, err
	}
	retry := backoff.Config{BaseDelay: reconnectBase, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMax}
	return &Pool{
		conns: make(map[string]*pooled),
		options: []grpc.DialOption{
			grpc.WithTransportCredentials(transport),
			grpc.WithStatsHandler(otelgrpc.NewClientHandler(otelgrpc.WithFilter(traced))),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
			grpc.WithStaticStreamWindowSize(windowBytes),
			grpc.WithStaticConnWindowSize(windowBytes),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: clientPingAfter, Timeout: clientPingTimeout, PermitWithoutStream: true}),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: time.Second}),
			// A retry inside the library could deliver a call twice.
			grpc.WithDisableRetry(),
			grpc.WithNoProxy(),
		},
	}, nil
}

func (p *Pool) get(address string) (*pooled, error) {
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
	c := &pooled{conn: conn}
	p.conns[address] = c
	return c, nil
}

// heard notes that something arrives on a connection. Other calls on it may end without an
// answer meanwhile, since a large message fills the link.
func (p *Pool) heard(c *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.timeouts = 0
}

// settle counts calls without an answer and drops the connection after a few.
func (p *Pool) settle(address string, c *pooled, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if status.Code(err) != codes.DeadlineExceeded {
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
// ErrUnreachable when nothing is known of the call's effect, and the call's own
// error when the peer answered with one.
func (p *Pool) Call(ctx context.Context, address string, timeout time.Duration, call func(context.Context, grpc.ClientConnInterface) error) error {
	c, err := p.get(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = call(ctx, c.conn)
	p.settle(address, c, err)
	return callError(address, err)
}

// callError tells what a peer answered with from what leaves a call's effect unknown.
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

// Heartbeat tells the peer at address how this VM is and returns its answer.
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

// Forget closes the connection to a peer that is gone.
func (p *Pool) Forget(address string) {
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
