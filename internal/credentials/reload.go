package credentials

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrCertificate means that a certificate and its key can't be read or
	// don't belong together.
	ErrCertificate = errors.New("credentials: cannot load certificate")
	// ErrAuthority means that a file of authorities can't be read or holds no
	// certificate.
	ErrAuthority = errors.New("credentials: cannot load authority")
)

// checkInterval is how often the files are looked at, at the next handshake.
const checkInterval = 5 * time.Second

// Files names PEM files. Empty names are left out of the configuration.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Reloader holds the newest readable content of its files. It is safe for use
// by several goroutines.
type Reloader struct {
	files Files

	mu          sync.Mutex
	checked     time.Time
	modified    [3]time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// New reads the files. It returns ErrCertificate or ErrAuthority, wrapped.
func New(files Files) (*Reloader, error) {
	r := &Reloader{files: files}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.checked = time.Now()
	r.modified = r.times()
	return r, nil
}

func (r *Reloader) times() [3]time.Time {
	var times [3]time.Time
	for i, file := range []string{r.files.Certificate, r.files.Key, r.files.Authority} {
		if info, err := os.Stat(file); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

func (r *Reloader) load() error {
	if r.files.Certificate != "" {
		certificate, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
		if err != nil {
			return errors.Wrap(ErrCertificate, err.Error())
		}
		r.certificate = &certificate
	}
	if r.files.Authority == "" {
		return nil
	}
	pem, err := os.ReadFile(r.files.Authority)
	if err != nil {
		return errors.Wrap(ErrAuthority, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Wrap(ErrAuthority, r.files.Authority+" holds no certificate")
	}
	r.authorities = pool
	return nil
}

// current returns the newest content. Files that are being replaced may not
// match for a moment: the old content then stays in use and the files are
// tried again, so that a renewal never cuts connections off.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checked) >= checkInterval {
		r.checked = time.Now()
		if times := r.times(); times != r.modified && r.load() == nil {
			r.modified = times
		}
	}
	return r.certificate, r.authorities
}

// ServerOptions says what a server asks of its clients.
type ServerOptions struct {
	// RequireClientCertificate refuses clients without a certificate that the
	// authority signed.
	RequireClientCertificate bool
	// NextProtos is offered by ALPN.
	NextProtos []string
}

// Server returns a server's configuration, made anew for each handshake.
func (r *Reloader) Server(o ServerOptions) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: o.NextProtos}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		certificate, authorities := r.current()
		c := &tls.Config{
			MinVersion:   tls.VersionTLS13,
			NextProtos:   o.NextProtos,
			Certificates: []tls.Certificate{*certificate},
			ClientCAs:    authorities,
		}
		switch {
		case o.RequireClientCertificate:
			c.ClientAuth = tls.RequireAndVerifyClientCert
		case authorities != nil:
			c.ClientAuth = tls.VerifyClientCertIfGiven
		}
		return c, nil
	}
	return base
}

// Client returns a client's configuration for one connection. The server's
// certificate must name the IP address that is dialled and be signed by the
// newest authority. It has to be called for each new connection: the standard
// check runs against the authorities that the configuration was made with.
func (r *Reloader) Client() *tls.Config {
	certificate, authorities := r.current()
	c := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: authorities}
	if certificate != nil {
		c.Certificates = []tls.Certificate{*certificate}
	}
	return c
}
