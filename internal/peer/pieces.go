package peer

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// ErrTooLarge means that a message in pieces is larger than 32 MiB.
var ErrTooLarge = errors.New("peer: message in pieces exceeds the size limit")

const (
	// pieceBytes is the size of a piece: what a link of 1 Mbit/s carries in an eighth of
	// a second.
	pieceBytes = 16 << 10
	// maxAssembledBytes is the largest size of a message in pieces.
	maxAssembledBytes = 32 << 20
	// emptyPieceInterval is the time between empty pieces, which is less than the timeouts
	// of receivers. emptyPieceTimeout is the time after which no more of them are sent.
	emptyPieceInterval = 500 * time.Millisecond
	emptyPieceTimeout  = 5 * time.Second
	// pieceTimeout is the longest time between two pieces. A packet that is lost three times
	// in a row arrives 1.4 s late, and waiting for it costs less than a new transfer.
	pieceTimeout = 1500 * time.Millisecond
)

// PieceStream is the receiving side of a stream of a message's pieces.
type PieceStream = grpc.ServerStreamingClient[peerpb.Piece]

// OpenStream starts a call whose answer is a message in pieces.
type OpenStream func(context.Context, grpc.ClientConnInterface) (PieceStream, error)

// SendPieces sends the message that build returns in pieces. While build runs, it sends
// empty pieces, for emptyPieceTimeout at most. Without them, the receiver could not
// distinguish a busy peer from an unreachable one and would ask the next peer, which is as
// busy.
func SendPieces(stream grpc.ServerStreamingServer[peerpb.Piece], build func() (proto.Message, error)) error {
	type result struct {
		message proto.Message
		err     error
	}
	built := make(chan result, 1)
	go func() {
		message, err := build()
		built <- result{message, err}
	}()
	emptyPieces, timeout := time.NewTicker(emptyPieceInterval), time.NewTimer(emptyPieceTimeout)
	defer emptyPieces.Stop()
	defer timeout.Stop()
	for {
		select {
		case r := <-built:
			if r.err != nil {
				return r.err
			}
			return sendEncoded(stream, r.message)
		case <-emptyPieces.C:
			if err := stream.Send(&peerpb.Piece{}); err != nil {
				return err
			}
		case <-timeout.C:
			emptyPieces.Stop()
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

func sendEncoded(stream grpc.ServerStreamingServer[peerpb.Piece], message proto.Message) error {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return errors.WithStack(err)
	}
	for part := range slices.Chunk(encoded, pieceBytes) {
		if err := stream.Send(&peerpb.Piece{Data: part}); err != nil {
			return err
		}
	}
	return nil
}

// ReceivePieces calls the peer at address and reads a message in pieces. The call fails if the
// first piece does not arrive within firstPieceTimeout or a later one within pieceTimeout;
// the total time is not limited. It returns the time from the first piece with data to the
// last one. Errors are those of Call, and ErrTooLarge, wrapped.
func (p *Pool) ReceivePieces(ctx context.Context, address string, firstPieceTimeout time.Duration, open OpenStream, message proto.Message) (transferTime time.Duration, err error) {
	c, err := p.connection(address)
	if err != nil {
		return 0, err
	}
	ctx, idle := transport.WithIdleTimeout(ctx, firstPieceTimeout, pieceTimeout)
	defer idle.Stop()
	onPiece := func() {
		idle.Received()
		p.resetTimeouts(c)
	}
	transferTime, err = receive(ctx, c.conn, open, message, onPiece)
	if errors.Is(context.Cause(ctx), transport.ErrIdleTimeout) {
		err = status.Error(codes.DeadlineExceeded, transport.ErrIdleTimeout.Error())
	}
	p.recordOutcome(address, c, err)
	return transferTime, callError(address, err)
}

// receive reads a message's pieces and calls onPiece for each, empty ones included.
func receive(ctx context.Context, conn grpc.ClientConnInterface, open OpenStream, message proto.Message, onPiece func()) (transferTime time.Duration, err error) {
	stream, err := open(ctx, conn)
	if err != nil {
		return 0, err
	}
	var encoded []byte
	var first time.Time
	for {
		piece, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return transferTime, errors.WithStack(proto.Unmarshal(encoded, message))
		}
		if err != nil {
			return 0, err
		}
		onPiece()
		if len(piece.Data) == 0 {
			continue
		}
		if first.IsZero() {
			first = time.Now()
		}
		transferTime = time.Since(first)
		encoded = append(encoded, piece.Data...)
		if len(encoded) > maxAssembledBytes {
			return 0, errors.Wrapf(ErrTooLarge, "%d bytes received so far", len(encoded))
		}
	}
}
