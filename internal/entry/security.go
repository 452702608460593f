package entry

import (
	"crypto/tls"
	"net/http"

	"github.com/chestnutarch/chestnutarch/internal/credentials"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/settings"
	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// security is the certificates of the process. A nil reloader means plain text.
type security struct {
	callers, operators, upstream, kv *credentials.Reloader
	peers                            peer.Security
}

// reloader returns nil if no file is named.
func reloader(c settings.Certificate) (*credentials.Reloader, error) {
	if c == (settings.Certificate{}) {
		return nil, nil
	}
	return credentials.New(credentials.Files{Certificate: c.Certificate, Key: c.Key, Authority: c.Authority})
}

func (p *Process) buildSecurity() error {
	t := p.settings.TLS
	s := &p.security
	for _, wanted := range []struct {
		files settings.Certificate
		into  **credentials.Reloader
	}{
		{t.Callers, &s.callers}, {t.Operators, &s.operators}, {t.Upstreams, &s.upstream}, {t.KV, &s.kv},
	} {
		loaded, err := reloader(wanted.files)
		if err != nil {
			return err
		}
		*wanted.into = loaded
	}
	peers, err := reloader(t.Peers)
	if err != nil {
		return err
	}
	if peers == nil {
		// settings.Validate has made sure that this is loopback or allowed.
		s.peers = peer.Security{AllowPlainText: true}
		return nil
	}
	s.peers = peer.Security{Credentials: peers.GRPC()}
	return nil
}

// upstreams returns the TLS configuration towards upstreams, nil for defaults.
func (s *security) upstreams() *tls.Config {
	if s.upstream == nil {
		return nil
	}
	return s.upstream.Client()
}

// kvClient returns the HTTP client for the key-value service.
func (s *security) kvClient() *http.Client {
	if s.kv == nil {
		return &http.Client{Transport: transport.New(transport.Limits{}, transport.Pool{}, nil)}
	}
	return &http.Client{Transport: transport.New(transport.Limits{}, transport.Pool{}, s.kv.Client())}
}
