package credentials

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{certificate: certificate, key: key}
}

// issue writes a certificate for an IP address into dir.
func (a *authority) issue(t *testing.T, dir, ip string) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: ip}, IPAddresses: []net.IP{net.ParseIP(ip)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	files := Files{Certificate: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "k.pem"), Authority: filepath.Join(dir, "a.pem")}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// handshake connects a client to a server and returns the client's error. The
// client believes that it has dialled ip.
func handshake(t *testing.T, server, client *tls.Config, ip string) error {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(never))
		conn.Write([]byte{1})
	}()
	client = client.Clone()
	client.ServerName = ip
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(never))
	// In TLS 1.3 a server's refusal of the client shows at the first read.
	_, err = conn.Read(make([]byte, 1))
	return err
}

// never bounds a handshake that would otherwise hang.
const never = 30 * time.Second

func mustNew(t *testing.T, files Files) *Reloader {
	r, err := New(files)
	require.NoError(t, err)
	return r
}

// Something on the way answers in a VM's place with a certificate of the same
// authority for another address. If the address were not compared, a caller's
// request would be read by a stranger.
func TestClientRefusesCertificateOfAnotherAddress(t *testing.T) {
	a := newAuthority(t)
	server := mustNew(t, a.issue(t, t.TempDir(), "127.0.0.1")).Server(ServerOptions{})
	client := mustNew(t, a.issue(t, t.TempDir(), "127.0.0.9"))
	require.NoError(t, handshake(t, server, client.Client(), "127.0.0.1"))
	require.Error(t, handshake(t, server, client.Client(), "127.0.0.2"))
	stranger := mustNew(t, newAuthority(t).issue(t, t.TempDir(), "127.0.0.1"))
	require.Error(t, handshake(t, stranger.Server(ServerOptions{}), client.Client(), "127.0.0.1"))
}

// A process that is none of ours connects to the peers' port. It could
// withdraw keys or take loans if it were let in.
func TestServerRefusesPeerWithoutCertificate(t *testing.T) {
	a := newAuthority(t)
	server := mustNew(t, a.issue(t, t.TempDir(), "127.0.0.1")).Server(ServerOptions{RequireClientCertificate: true})
	bare := mustNew(t, Files{Authority: a.issue(t, t.TempDir(), "127.0.0.9").Authority})
	require.Error(t, handshake(t, server, bare.Client(), "127.0.0.1"))
	foreign := newAuthority(t).issue(t, t.TempDir(), "127.0.0.9")
	foreign.Authority = a.issue(t, t.TempDir(), "127.0.0.8").Authority
	require.Error(t, handshake(t, server, mustNew(t, foreign).Client(), "127.0.0.1"))
}

// Certificates are renewed while the process runs, first of all before they
// run out at night. A process that kept the old ones would drop off the fleet
// at their end.
func TestRenewedFilesCountWithoutRestart(t *testing.T) {
	dir, old := t.TempDir(), newAuthority(t)
	r := mustNew(t, old.issue(t, dir, "127.0.0.1"))
	server := r.Server(ServerOptions{})
	renewed := newAuthority(t)
	renewed.issue(t, dir, "127.0.0.1")
	client := mustNew(t, renewed.issue(t, t.TempDir(), "127.0.0.9"))
	require.Error(t, handshake(t, server, client.Client(), "127.0.0.1"), "not looked at yet")
	r.expire()
	require.NoError(t, handshake(t, server, client.Client(), "127.0.0.1"))
}

// A renewal is caught half way: the new certificate is there, the new key is
// not. The old pair has to stay in use until both fit.
func TestHalfRenewedFilesAreNotUsed(t *testing.T) {
	dir, a := t.TempDir(), newAuthority(t)
	files := a.issue(t, dir, "127.0.0.1")
	r := mustNew(t, files)
	other := a.issue(t, t.TempDir(), "127.0.0.1")
	content, err := os.ReadFile(other.Certificate)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.Certificate, content, 0o600))
	r.expire()
	client := mustNew(t, a.issue(t, t.TempDir(), "127.0.0.9"))
	require.NoError(t, handshake(t, r.Server(ServerOptions{}), client.Client(), "127.0.0.1"))
}

func TestNewReportsUnreadableFiles(t *testing.T) {
	_, err := New(Files{Certificate: "none", Key: "none"})
	require.ErrorIs(t, err, ErrCertificate)
	_, err = New(Files{Authority: "none"})
	require.ErrorIs(t, err, ErrAuthority)
}

// expire makes the next handshake look at the files.
func (r *Reloader) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checked = time.Time{}
	r.modified = [3]time.Time{}
}
