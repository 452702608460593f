package credentials

import (
	"crypto/tls"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/credentials/certtest"
)

// handshake connects a client to a server and returns the client's error. The
// client verifies the server's certificate against ip.
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
		conn.SetDeadline(time.Now().Add(handshakeTimeout))
		conn.Write([]byte{1})
	}()
	client = client.Clone()
	client.ServerName = ip
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	// In TLS 1.3 the client sees the server's rejection of its certificate at the
	// first read.
	_, err = conn.Read(make([]byte, 1))
	return err
}

// handshakeTimeout bounds a handshake that would otherwise hang.
const handshakeTimeout = 30 * time.Second

func mustNew(t *testing.T, files certtest.Files) *Reloader {
	r, err := New(Files(files))
	require.NoError(t, err)
	return r
}

// A man in the middle answers instead of a VM, with a certificate of the same
// authority for a different address. If the client did not verify the address,
// the man in the middle could read a caller's request.
func TestClientRejectsCertificateOfAnotherAddress(t *testing.T) {
	a := certtest.New(t)
	server := mustNew(t, a.Issue(t, t.TempDir(), "127.0.0.1")).Server(ServerOptions{})
	client := mustNew(t, a.Issue(t, t.TempDir(), "127.0.0.9"))
	require.NoError(t, handshake(t, server, client.Client(), "127.0.0.1"))
	require.Error(t, handshake(t, server, client.Client(), "127.0.0.2"))
	otherAuthority := mustNew(t, certtest.New(t).Issue(t, t.TempDir(), "127.0.0.1"))
	require.Error(t, handshake(t, otherAuthority.Server(ServerOptions{}), client.Client(), "127.0.0.1"))
}

// A process that is not part of the system connects to the peers' port. If it were
// accepted, it could withdraw keys or take loans.
func TestServerRejectsPeerWithoutCertificate(t *testing.T) {
	a := certtest.New(t)
	server := mustNew(t, a.Issue(t, t.TempDir(), "127.0.0.1")).Server(ServerOptions{RequireClientCertificate: true})
	noCertificate := mustNew(t, certtest.Files{Authority: a.Issue(t, t.TempDir(), "127.0.0.9").Authority})
	require.Error(t, handshake(t, server, noCertificate.Client(), "127.0.0.1"))
	foreign := certtest.New(t).Issue(t, t.TempDir(), "127.0.0.9")
	foreign.Authority = a.Issue(t, t.TempDir(), "127.0.0.8").Authority
	require.Error(t, handshake(t, server, mustNew(t, foreign).Client(), "127.0.0.1"))
}

// Certificates are renewed while the process runs, before they expire. A process
// that kept the old ones could not connect to the other VMs after the expiry.
func TestRenewedFilesAreUsedWithoutRestart(t *testing.T) {
	dir, old := t.TempDir(), certtest.New(t)
	r := mustNew(t, old.Issue(t, dir, "127.0.0.1"))
	server := r.Server(ServerOptions{})
	renewed := certtest.New(t)
	renewed.Issue(t, dir, "127.0.0.1")
	client := mustNew(t, renewed.Issue(t, t.TempDir(), "127.0.0.9"))
	require.Error(t, handshake(t, server, client.Client(), "127.0.0.1"), "the client must be rejected until the server checks its renewed files")
	r.forceCheck()
	require.NoError(t, handshake(t, server, client.Client(), "127.0.0.1"))
}

// A reload happens in the middle of a renewal: the new certificate is in place, the
// new key is not. The old pair must stay in use until certificate and key match.
func TestMismatchedFilesAreNotUsed(t *testing.T) {
	dir, a := t.TempDir(), certtest.New(t)
	files := a.Issue(t, dir, "127.0.0.1")
	r := mustNew(t, files)
	other := a.Issue(t, t.TempDir(), "127.0.0.1")
	content, err := os.ReadFile(other.Certificate)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.Certificate, content, 0o600))
	r.forceCheck()
	client := mustNew(t, a.Issue(t, t.TempDir(), "127.0.0.9"))
	require.NoError(t, handshake(t, r.Server(ServerOptions{}), client.Client(), "127.0.0.1"))
}

func TestNewReportsUnreadableFiles(t *testing.T) {
	_, err := New(Files{Certificate: "none", Key: "none"})
	require.ErrorIs(t, err, ErrCertificate)
	_, err = New(Files{Authority: "none"})
	require.ErrorIs(t, err, ErrAuthority)
}

// forceCheck makes the next handshake read the files.
func (r *Reloader) forceCheck() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastCheck = time.Time{}
	r.lastModTimes = [3]time.Time{}
}
