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

// Security holds the certificates of a process. A nil reloader means plain text.
type Security struct {
	// Callers and Operators are for the listeners for callers and operators.
	Callers, Operators *credentials.Reloader
	// Upstreams and KV are for connections to upstreams and to the key-value
	// service.
	Upstreams, KV *credentials.Reloader
	// Peers is for both sides of connections between the processes of the
	// system.
	Peers peer.Security
	// PeerReloader reloads the certificates that Peers uses; nil for plain text.
	PeerReloader *credentials.Reloader
}

// NewSecurity loads the certificates that the settings name. Its errors are those
// of credentials.New.
func NewSecurity(t settings.TLS) (*Security, error) {
	s := &Security{}
	for _, wanted := range []struct {
		files  settings.Certificate
		target **credentials.Reloader
	}{
		{t.Callers, &s.Callers}, {t.Operators, &s.Operators},
		{t.Upstreams, &s.Upstreams}, {t.KV, &s.KV}, {t.Peers, &s.PeerReloader},
	} {
		loaded, err := reloader(wanted.files)
		if err != nil {
			return nil, err
		}
		*wanted.target = loaded
	}
	// Settings with plain text are refused earlier unless it is on loopback or
	// explicitly allowed.
	s.Peers = peer.Security{AllowPlainText: true}
	if s.PeerReloader != nil {
		s.Peers = peer.Security{Credentials: s.PeerReloader.GRPC()}
	}
	return s, nil
}

// reloader returns nil if the settings name no file.
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

// NewStore returns a client of the key-value service. It sets the URLs, the HTTP
// client and the call timeout of the options. Its errors are those of kv.NewHTTP.
func (s *Security) NewStore(k settings.KV, o kv.Options) (*kv.HTTP, error) {
	o.URLs = k.URLs
	o.CallTimeout = k.Timeout
	o.Client = &http.Client{Transport: transport.New(transport.Limits{}, transport.Pool{}, ClientTLS(s.KV))}
	return kv.NewHTTP(o)
}
