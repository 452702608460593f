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

func mustNew(t *testing.T, files certtest.Files) *Reloader {
	r, err := New(Files(files))
	require.NoError(t, err)
	return r
}

// Something on the way answers in a VM's place with a certificate of the same
// authority for another address. If the address were not compared, a caller's
// request would be read by a stranger.
func TestClientRefusesCertificateOfAnotherAddress(t *testing.T) {
	a := certtest.New(t)
	server := mustNew(t, a.Issue(t, t.TempDir(), "127.0.0.1")).Server(ServerOptions{})
	client := mustNew(t, a.Issue(t, t.TempDir(), "127.0.0.9"))
	require.NoError(t, handshake(t, server, client.Client(), "127.0.0.1"))
	require.Error(t, handshake(t, server, client.Client(), "127.0.0.2"))
	stranger := mustNew(t, certtest.New(t).Issue(t, t.TempDir(), "127.0.0.1"))
	require.Error(t, handshake(t, stranger.Server(ServerOptions{}), client.Client(), "127.0.0.1"))
}

// A process that is none of ours connects to the peers' port. It could
// withdraw keys or take loans if it were let in.
func TestServerRefusesPeerWithoutCertificate(t *testing.T) {
	a := certtest.New(t)
	server := mustNew(t, a.Issue(t, t.TempDir(), "127.0.0.1")).Server(ServerOptions{RequireClientCertificate: true})
	bare := mustNew(t, certtest.Files{Authority: a.Issue(t, t.TempDir(), "127.0.0.9").Authority})
	require.Error(t, handshake(t, server, bare.Client(), "127.0.0.1"))
	foreign := certtest.New(t).Issue(t, t.TempDir(), "127.0.0.9")
	foreign.Authority = a.Issue(t, t.TempDir(), "127.0.0.8").Authority
	require.Error(t, handshake(t, server, mustNew(t, foreign).Client(), "127.0.0.1"))
}

// Certificates are renewed while the process runs, first of all before they
// run out at night. A process that kept the old ones would drop off the fleet
// at their end.
func TestRenewedFilesCountWithoutRestart(t *testing.T) {
	dir, old := t.TempDir(), certtest.New(t)
	r := mustNew(t, old.Issue(t, dir, "127.0.0.1"))
	server := r.Server(ServerOptions{})
	renewed := certtest.New(t)
	renewed.Issue(t, dir, "127.0.0.1")
	client := mustNew(t, renewed.Issue(t, t.TempDir(), "127.0.0.9"))
	require.Error(t, handshake(t, server, client.Client(), "127.0.0.1"), "not looked at yet")
	r.expire()
	require.NoError(t, handshake(t, server, client.Client(), "127.0.0.1"))
}

// A renewal is caught half way: the new certificate is there, the new key is
// not. The old pair has to stay in use until both fit.
func TestHalfRenewedFilesAreNotUsed(t *testing.T) {
	dir, a := t.TempDir(), certtest.New(t)
	files := a.Issue(t, dir, "127.0.0.1")
	r := mustNew(t, files)
	other := a.Issue(t, t.TempDir(), "127.0.0.1")
	content, err := os.ReadFile(other.Certificate)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.Certificate, content, 0o600))
	r.expire()
	client := mustNew(t, a.Issue(t, t.TempDir(), "127.0.0.9"))
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
