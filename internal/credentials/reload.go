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
	// ErrCertificate means that a certificate or its key cannot be read, or that
	// they do not match.
	ErrCertificate = errors.New("credentials: cannot load certificate")
	// ErrAuthority means that the authority file cannot be read or contains no
	// certificate.
	ErrAuthority = errors.New("credentials: cannot load authority")
)

// checkInterval is the minimum time between two checks of the files. A check is
// part of the next handshake.
const checkInterval = 5 * time.Second

// Files holds the paths of PEM files. Empty paths are omitted from the
// configuration.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Reloader holds the newest valid content of its files. It is safe for concurrent
// use.
type Reloader struct {
	files Files

	mu           sync.Mutex
	lastCheck    time.Time
	lastModTimes [3]time.Time
	certificate  *tls.Certificate
	authorities  *x509.CertPool
}

// New reads the files. It returns ErrCertificate or ErrAuthority, wrapped.
func New(files Files) (*Reloader, error) {
	r := &Reloader{files: files}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.lastCheck = time.Now()
	r.lastModTimes = r.fileModTimes()
	return r, nil
}

func (r *Reloader) fileModTimes() [3]time.Time {
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
		return errors.Wrap(ErrAuthority, r.files.Authority+" contains no PEM certificate")
	}
	r.authorities = pool
	return nil
}

// current returns the newest valid content. While files are being replaced, the
// certificate and key may not match. The old content then stays in use and the
// files are read again at a later check, so that a renewal never causes failed
// handshakes.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastCheck) >= checkInterval {
		r.lastCheck = time.Now()
		if times := r.fileModTimes(); times != r.lastModTimes && r.load() == nil {
			r.lastModTimes = times
		}
	}
	return r.certificate, r.authorities
}

// ServerOptions configures a server's TLS handshakes.
type ServerOptions struct {
	// RequireClientCertificate rejects clients without a certificate that the
	// authority signed.
	RequireClientCertificate bool
	// NextProtos lists the protocols offered by ALPN.
	NextProtos []string
}

// Server returns a server configuration that uses the newest files for each
// handshake.
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

// Client returns a client configuration for one connection. The server's
// certificate must be valid for the IP address that is dialled and be signed by
// the newest authority. Client must be called for each new connection, because the
// standard verification uses the authorities that the configuration was created
// with.
func (r *Reloader) Client() *tls.Config {
	certificate, authorities := r.current()
	c := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: authorities}
	if certificate != nil {
		c.Certificates = []tls.Certificate{*certificate}
	}
	return c
}
