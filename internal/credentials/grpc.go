package credentials

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
)

// peerProtocol is what gRPC offers by ALPN.
const peerProtocol = "h2"

// GRPC returns the transport credentials of own processes: both sides show a
// certificate that the authority signed, and the newest files count for each
// handshake.
func (r *Reloader) GRPC() credentials.TransportCredentials {
	server := r.Server(ServerOptions{RequireClientCertificate: true, NextProtos: []string{peerProtocol}})
	return &grpcCredentials{TransportCredentials: credentials.NewTLS(server), reloader: r}
}

// grpcCredentials makes the client's side anew for each handshake. The server's
// side already does so through its configuration.
type grpcCredentials struct {
	credentials.TransportCredentials
	reloader *Reloader
}

// ClientHandshake proves both sides to each other on a new connection.
func (c *grpcCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.reloader.Client()).ClientHandshake(ctx, authority, conn)
}

// Clone returns a copy.
func (c *grpcCredentials) Clone() credentials.TransportCredentials {
	return &grpcCredentials{TransportCredentials: c.TransportCredentials.Clone(), reloader: c.reloader}
}
