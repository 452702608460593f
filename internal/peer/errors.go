package peer

import (
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var (
	// ErrNoCredentials means that neither transport credentials were given nor
	// plain text was allowed.
	ErrNoCredentials = errors.New("peer: no transport credentials, and plain text is not allowed")
	// ErrUnreachable means that a call gave no answer in time or could not be
	// made. The peer may or may not have taken it in.
	ErrUnreachable = errors.New("peer: no answer")
	// ErrClosed means that the pool was closed.
	ErrClosed = errors.New("peer: pool closed")
)

// Unavailable turns an error into the gRPC status of a server that cannot
// answer now, so that the caller counts the call as unanswered.
func Unavailable(err error) error {
	return status.Error(codes.Unavailable, err.Error())
}
