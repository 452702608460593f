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
	// releasePause is the time between two tries.
	releasePause = time.Second
)

// Releaser tells other VMs that a stream is read here now.
type Releaser struct {
	// Pool makes the calls.
	Pool *peer.Pool
	// Address returns a VM's address for peers, or "".
	Address func(vm string) string
	// For is how long an unanswered call is repeated. It is the grace time of the
	// VMs: after that the stream has been stopped, or its VM is gone.
	For time.Duration
}

// Release tells a VM, in the background. If the VM never hears it, because it has
// died, it cannot stop the stream either.
func (r Releaser) Release(vm, streamID string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.For)
		defer cancel()
		for ctx.Err() == nil && !r.try(ctx, vm, streamID) {
			select {
			case <-time.After(releasePause):
			case <-ctx.Done():
			}
		}
	}()
}

func (r Releaser) try(ctx context.Context, vm, streamID string) bool {
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

// Server answers other VMs.
type Server struct {
	peerpb.UnimplementedStreamsServer
	relay *Relay
}

// Register adds the service to a server of peers.
func (r *Relay) Register(s grpc.ServiceRegistrar) {
	peerpb.RegisterStreamsServer(s, &Server{relay: r})
}

// ReleaseStream ends this VM's part in a stream.
func (s *Server) ReleaseStream(_ context.Context, in *peerpb.ReleaseStreamRequest) (*peerpb.ReleaseStreamResponse, error) {
	return &peerpb.ReleaseStreamResponse{Found: s.relay.Release(in.GetStream())}, nil
}
