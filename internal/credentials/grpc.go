package credentials

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
)

// peerProtocol is the protocol that gRPC offers by ALPN.
const peerProtocol = "h2"

// GRPC returns the transport credentials for connections between the system's own
// processes. Both sides must present a certificate that the authority signed, and
// each handshake uses the newest files.
func (r *Reloader) GRPC() credentials.TransportCredentials {
	server := r.Server(ServerOptions{RequireClientCertificate: true, NextProtos: []string{peerProtocol}})
	return &grpcCredentials{TransportCredentials: credentials.NewTLS(server), reloader: r}
}

// grpcCredentials creates the client configuration for each handshake. The server
// configuration already does so in GetConfigForClient.
type grpcCredentials struct {
	credentials.TransportCredentials
	reloader *Reloader
}

// ClientHandshake performs the handshake of a new connection, in which both sides
// authenticate.
func (c *grpcCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.reloader.Client()).ClientHandshake(ctx, authority, conn)
}

// Clone returns a copy.
func (c *grpcCredentials) Clone() credentials.TransportCredentials {
	return &grpcCredentials{TransportCredentials: c.TransportCredentials.Clone(), reloader: c.reloader}
}
