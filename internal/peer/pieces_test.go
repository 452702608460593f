package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// slowPeer sends a piece each time the test asks for one and does not answer reports.
type slowPeer struct {
	peerpb.UnimplementedVMsServer
	// Each value in nextPiece causes one piece to be sent; closing it ends the message.
	nextPiece chan struct{}
	// released is closed to end calls that get no answer.
	released chan struct{}
}

func (s *slowPeer) Exchange(ctx context.Context, _ *peerpb.VMReport) (*peerpb.VMReport, error) {
	select {
	case <-ctx.Done():
	case <-s.released:
	}
	return nil, status.Error(codes.Unavailable, "no answer")
}

// Configuration builds its message until nextPiece is received.
func (s *slowPeer) Configuration(in *peerpb.ConfigurationRequest, out grpc.ServerStreamingServer[peerpb.Piece]) error {
	return SendPieces(out, func() (proto.Message, error) {
		<-s.nextPiece
		return &peerpb.ConfigurationResponse{Item: &peerpb.StoreItem{Key: "k"}}, nil
	})
}

func (s *slowPeer) Follow(_ *peerpb.FollowRequest, out grpc.ServerStreamingServer[peerpb.Piece]) error {
	for range s.nextPiece {
		if err := out.Send(&peerpb.Piece{}); err != nil {
			return err
		}
	}
	return nil
}

func startSlowPeer(t *testing.T) (*slowPeer, *Pool, string) {
	s := &slowPeer{nextPiece: make(chan struct{}), released: make(chan struct{})}
	server, err := NewServer(Security{AllowPlainText: true})
	require.NoError(t, err)
	peerpb.RegisterVMsServer(server.Registrar(), s)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(ctx, listener, 0) }()
	pool, err := NewPool(Security{AllowPlainText: true})
	require.NoError(t, err)
	t.Cleanup(func() {
		close(s.released)
		pool.Close()
		cancel()
		require.NoError(t, <-stopped)
	})
	return s, pool, listener.Addr().String()
}

func follow(ctx context.Context, conn grpc.ClientConnInterface) (PieceStream, error) {
	return peerpb.NewVMsClient(conn).Follow(ctx, &peerpb.FollowRequest{})
}

const (
	testFirstPieceTimeout = 10 * time.Second
	testTimeout           = 50 * time.Millisecond
)

// A large message fills a narrow link, and reports on the same connection time out meanwhile.
// Replacing the connection after these timeouts would restart the message from its first
// piece, again and again.
func TestTimeoutsOfOtherCallsDoNotEndAMessageThatArrives(t *testing.T) {
	s, pool, address := startSlowPeer(t)
	done := make(chan error, 1)
	go func() {
		_, err := pool.ReceivePieces(t.Context(), address, testFirstPieceTimeout, follow, &peerpb.FollowResponse{})
		done <- err
	}()
	for range 2 * maxTimeouts {
		select {
		case s.nextPiece <- struct{}{}:
		case err := <-done:
			require.NoError(t, err, "the message was aborted while its pieces arrived")
			t.FailNow()
		}
		err := pool.Call(t.Context(), address, testTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) error {
			_, err := peerpb.NewVMsClient(conn).Exchange(ctx, &peerpb.VMReport{})
			return err
		})
		require.ErrorIs(t, err, ErrUnreachable)
	}
	close(s.nextPiece)
	require.NoError(t, <-done)
}

// A peer stops answering in the middle of a message, without a reset. A receiver that waited
// for the rest without a limit would keep an outdated view.
func TestReceiveTimesOutBetweenPieces(t *testing.T) {
	s, pool, address := startSlowPeer(t)
	defer close(s.nextPiece)
	go func() { s.nextPiece <- struct{}{} }()
	_, err := pool.ReceivePieces(t.Context(), address, 20*testTimeout, follow, &peerpb.FollowResponse{})
	require.ErrorIs(t, err, ErrUnreachable)
}

// A VM with little processor time computes the patch of a large value. If its peer treated it
// as unreachable and asked the next VM, that one would compute the patch as well, and a VM
// that the store rejects would get no configuration while its peers are busy.
func TestEmptyPiecesPreventTimeoutOfBusyPeer(t *testing.T) {
	s, pool, address := startSlowPeer(t)
	answer := &peerpb.ConfigurationResponse{}
	go func() {
		time.Sleep(2 * emptyPieceInterval)
		s.nextPiece <- struct{}{}
	}()
	_, err := pool.ReceivePieces(t.Context(), address, emptyPieceInterval*3/2, func(ctx context.Context, conn grpc.ClientConnInterface) (PieceStream, error) {
		return peerpb.NewVMsClient(conn).Configuration(ctx, &peerpb.ConfigurationRequest{})
	}, answer)
	require.NoError(t, err)
	require.Equal(t, "k", answer.Item.Key)
}
