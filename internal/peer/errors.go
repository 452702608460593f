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
	// ErrUnreachable means that a call was not answered in time or could not be
	// made. The peer may or may not have processed it.
	ErrUnreachable = errors.New("peer: no answer")
	// ErrClosed means that the pool was closed.
	ErrClosed = errors.New("peer: pool closed")
)

// Unavailable converts an error to the gRPC status Unavailable, for a server that
// cannot answer now. The caller treats the call as unanswered.
func Unavailable(err error) error {
	return status.Error(codes.Unavailable, err.Error())
}
