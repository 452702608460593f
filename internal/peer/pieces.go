package peer

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// ErrTooLarge means that a message in pieces is larger than maxPieces.
var ErrTooLarge = errors.New("peer: the message is too large")

const (
	// pieceBytes is the size of a piece: what a link of 1 Mbit/s carries in an eighth of
	// a second.
	pieceBytes = 16 << 10
	// maxPieces bounds a message in pieces, in bytes.
	maxPieces = 32 << 20
)

// Pieces is a stream of a message's pieces, as its receiver sees it.
type Pieces = grpc.ServerStreamingClient[peerpb.Piece]

// Open begins a call whose answer comes in pieces.
type Open func(context.Context, grpc.ClientConnInterface) (Pieces, error)

// SendPieces sends a message in pieces, at least one.
func SendPieces(stream grpc.ServerStreamingServer[peerpb.Piece], message proto.Message) error {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return errors.WithStack(err)
	}
	for {
		n := min(len(encoded), pieceBytes)
		if err := stream.Send(&peerpb.Piece{Data: encoded[:n]}); err != nil {
			return err
		}
		encoded = encoded[n:]
		if len(encoded) == 0 {
			return nil
		}
	}
}

// Receive calls the peer at address and reads a message that comes in pieces. The call ends
// when no piece arrives for silence, not when the whole takes long. It returns how long
// after the first piece the last one came, and the errors of Call.
func (p *Pool) Receive(ctx context.Context, address string, silence time.Duration, open Open, message proto.Message) (took time.Duration, err error) {
	c, err := p.get(address)
	if err != nil {
		return 0, err
	}
	ctx, idle := transport.WithIdle(ctx, silence, silence)
	defer idle.Stop()
	arrived := func() {
		idle.Received()
		p.heard(c)
	}
	took, err = receive(ctx, c.conn, open, message, arrived)
	if errors.Is(context.Cause(ctx), transport.ErrIdle) {
		err = status.Error(codes.DeadlineExceeded, transport.ErrIdle.Error())
	}
	p.settle(address, c, err)
	return took, callError(address, err)
}

// receive reads a message's pieces and tells arrived of each.
func receive(ctx context.Context, conn grpc.ClientConnInterface, open Open, message proto.Message, arrived func()) (took time.Duration, err error) {
	stream, err := open(ctx, conn)
	if err != nil {
		return 0, err
	}
	var encoded []byte
	var first time.Time
	for {
		piece, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return time.Since(first), errors.WithStack(proto.Unmarshal(encoded, message))
		}
		if err != nil {
			return 0, err
		}
		if first.IsZero() {
			first = time.Now()
		}
		arrived()
		encoded = append(encoded, piece.Data...)
		if len(encoded) > maxPieces {
			return 0, errors.Wrapf(ErrTooLarge, "%d bytes and more", len(encoded))
		}
	}
}
