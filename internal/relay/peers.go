package relay

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

const (
	// releaseTimeout bounds one call to another VM.
	releaseTimeout = 500 * time.Millisecond
	// releaseRetryDelay is the delay between two attempts.
	releaseRetryDelay = time.Second
)

// Releaser makes other VMs release streams that this VM has taken over.
type Releaser struct {
	// Pool makes the calls.
	Pool *peer.Pool
	// Address returns a VM's peer address, or "" if it has none.
	Address func(vm string) string
	// RetryTimeout is how long a failing call is retried. It is the grace period of the
	// VMs: after that the stream has been stopped, or its VM is gone.
	RetryTimeout time.Duration
}

// Release asks a VM in the background to release a stream, and retries until the call
// succeeds or the retry time has passed. A VM that receives no call because it has died
// cannot stop the stream either.
func (r Releaser) Release(vm, streamID string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.RetryTimeout)
		defer cancel()
		for ctx.Err() == nil && !r.call(ctx, vm, streamID) {
			select {
			case <-time.After(releaseRetryDelay):
			case <-ctx.Done():
			}
		}
	}()
}

func (r Releaser) call(ctx context.Context, vm, streamID string) bool {
	address := r.Address(vm)
	if address == "" {
		return false
	}
	err := r.Pool.Call(ctx, address, releaseTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := peerpb.NewStreamsClient(conn).ReleaseStream(ctx, &peerpb.ReleaseStreamRequest{Stream: streamID})
		return err
	})
	return err == nil
}

// Server serves the release calls of other VMs.
type Server struct {
	peerpb.UnimplementedStreamsServer
	relay *Relay
}

// Register registers the service with a gRPC server for peers.
func (r *Relay) Register(s grpc.ServiceRegistrar) {
	peerpb.RegisterStreamsServer(s, &Server{relay: r})
}

// ReleaseStream makes this VM stop reading a stream without stopping its engine.
func (s *Server) ReleaseStream(_ context.Context, in *peerpb.ReleaseStreamRequest) (*peerpb.ReleaseStreamResponse, error) {
	return &peerpb.ReleaseStreamResponse{Found: s.relay.Release(in.GetStream())}, nil
}
