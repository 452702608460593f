package peer

import (
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Security configures how connections between peers are protected. The zero value is
// rejected, so that plain text is never used by mistake.
type Security struct {
	// Credentials are the transport credentials, for example for mutual TLS.
	Credentials credentials.TransportCredentials
	// AllowPlainText permits connections without credentials.
	AllowPlainText bool
}

// transport returns the credentials to use, or ErrNoCredentials.
func (s Security) transport() (credentials.TransportCredentials, error) {
	if s.Credentials != nil {
		return s.Credentials, nil
	}
	if s.AllowPlainText {
		return insecure.NewCredentials(), nil
	}
	return nil, ErrNoCredentials
}
