package peer

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

const (
	// pingAfter is how long a connection may be idle before it is pinged, and
	// pingTimeout how long the answer may take. A connection can go silent without
	// a reset when a device between the ends loses its state. Without pings, every
	// call on it would wait for its deadline until the kernel closes the connection,
	// minutes later. gRPC permits client pings at most every ten seconds, so the
	// server, which may ping more often, checks connections too, and a client
	// closes a connection after repeated timeouts (see Pool).
	pingAfter   = 2 * time.Second
	pingTimeout = 2 * time.Second
	// minClientPing is the shortest interval at which clients may ping.
	minClientPing = 5 * time.Second
	// maxMessageBytes is the largest size of one message: a configuration envelope and its
	// frame.
	maxMessageBytes = 2 << 20
	// maxHeaderBytes bounds the header fields of one call, which are those of gRPC and of traces.
	maxHeaderBytes = 8 << 10
	// maxCalls bounds the calls that run on one connection.
	maxCalls = 256
	// handshakeTimeout bounds the time in which a client has to open a connection.
	handshakeTimeout = 5 * time.Second
)

// Server answers the calls of other VMs.
type Server struct {
	grpc *grpc.Server
}

// NewServer returns a server without services. It returns ErrNoCredentials if security has
// neither credentials nor AllowPlainText.
func NewServer(security Security) (*Server, error) {
	transport, err := security.transport()
	if err != nil {
		return nil, err
	}
	return &Server{grpc: grpc.NewServer(
		grpc.Creds(transport),
		grpc.StatsHandler(otelgrpc.NewServerHandler(otelgrpc.WithFilter(traced))),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.MaxConcurrentStreams(maxCalls),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingAfter, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPing, PermitWithoutStream: true}),
	)}, nil
}

// RegisterMembership adds the membership service. It must be called before Serve.
func (s *Server) RegisterMembership(m peerpb.MembershipServer) {
	peerpb.RegisterMembershipServer(s.grpc, m)
}

// RegisterQuota adds the quota service. It must be called before Serve.
func (s *Server) RegisterQuota(q peerpb.QuotaServer) {
	peerpb.RegisterQuotaServer(s.grpc, q)
}

// Registrar returns the registrar for further services, which must be added before Serve.
func (s *Server) Registrar() grpc.ServiceRegistrar {
	return s.grpc
}

// Serve answers calls on lis until ctx ends, then waits at most grace for running
// calls. It returns nil after such a stop, and an error if serving fails before.
func (s *Server) Serve(ctx context.Context, lis net.Listener, grace time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- s.grpc.Serve(lis) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "peer: serve")
	case <-ctx.Done():
	}
	stopped := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(grace):
		s.grpc.Stop()
	}
	return nil
}
