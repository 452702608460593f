package process

import (
	"crypto/tls"
	"net/http"

	"github.com/chestnutarch/chestnutarch/internal/credentials"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/settings"
	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// Security is the certificates of a process. A nil reloader means plain text.
type Security struct {
	// Callers and Operators are what is served there.
	Callers, Operators *credentials.Reloader
	// Upstreams and KV are for connections to them.
	Upstreams, KV *credentials.Reloader
	// Peers is for both sides of connections between own processes.
	Peers peer.Security
	// PeerFiles is what Peers was made from, nil for plain text.
	PeerFiles *credentials.Reloader
}

// NewSecurity reads the files. It returns what credentials.New returns.
func NewSecurity(t settings.TLS) (*Security, error) {
	s := &Security{}
	for _, wanted := range []struct {
		files settings.Certificate
		into  **credentials.Reloader
	}{
		{t.Callers, &s.Callers}, {t.Operators, &s.Operators},
		{t.Upstreams, &s.Upstreams}, {t.KV, &s.KV}, {t.Peers, &s.PeerFiles},
	} {
		loaded, err := reloader(wanted.files)
		if err != nil {
			return nil, err
		}
		*wanted.into = loaded
	}
	// The settings were refused unless plain text is on loopback or allowed.
	s.Peers = peer.Security{AllowPlainText: true}
	if s.PeerFiles != nil {
		s.Peers = peer.Security{Credentials: s.PeerFiles.GRPC()}
	}
	return s, nil
}

// reloader returns nil if no file is named.
func reloader(c settings.Certificate) (*credentials.Reloader, error) {
	if c == (settings.Certificate{}) {
		return nil, nil
	}
	return credentials.New(credentials.Files{Certificate: c.Certificate, Key: c.Key, Authority: c.Authority})
}

// ClientTLS returns a client's TLS configurations, nil for the defaults.
func ClientTLS(r *credentials.Reloader) transport.TLS {
	if r == nil {
		return nil
	}
	return r.Client
}

// ServerTLS returns a server's TLS configuration, nil for plain text.
func ServerTLS(r *credentials.Reloader) *tls.Config {
	if r == nil {
		return nil
	}
	return r.Server(credentials.ServerOptions{NextProtos: []string{"http/1.1"}})
}

// NewStore returns the client of the key-value service. It returns what
// kv.NewHTTP returns. The options' URLs, client and timeout are set here.
func (s *Security) NewStore(k settings.KV, o kv.Options) (*kv.HTTP, error) {
	o.URLs = k.URLs
	o.CallTimeout = k.Timeout
	o.Client = &http.Client{Transport: transport.New(transport.Limits{}, transport.Pool{}, ClientTLS(s.KV))}
	return kv.NewHTTP(o)
}
