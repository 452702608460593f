package transport

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/credentials/certtest"
)

// serveTLS answers every request with 200 and returns the address.
func serveTLS(t *testing.T, files certtest.Files) string {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	require.NoError(t, err)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{certificate}})
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func trusting(t *testing.T, files certtest.Files) *tls.Config {
	pem, err := os.ReadFile(files.Authority)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(pem))
	return &tls.Config{RootCAs: pool}
}

// The authority of the upstreams is replaced while the process runs. A client
// that kept the old one would refuse every renewed upstream until a restart.
func TestRenewedAuthorityCountsForNewConnections(t *testing.T) {
	old := certtest.New(t).Issue(t, t.TempDir(), "127.0.0.1")
	renewed := certtest.New(t).Issue(t, t.TempDir(), "127.0.0.1")
	var config atomic.Pointer[tls.Config]
	config.Store(trusting(t, old))
	client := &http.Client{Transport: New(Limits{}, Pool{}, config.Load)}
	get := func(address string) error {
		answer, err := client.Get("https://" + address)
		if err == nil {
			err = answer.Body.Close()
		}
		return err
	}
	require.NoError(t, get(serveTLS(t, old)))
	after := serveTLS(t, renewed)
	require.Error(t, get(after))
	config.Store(trusting(t, renewed))
	require.NoError(t, get(after))
}

// Something answers at an upstream's address with a certificate for another
// one. A prompt would be read by a stranger.
func TestCertificateOfAnotherAddressIsRefused(t *testing.T) {
	files := certtest.New(t).Issue(t, t.TempDir(), "127.0.0.9")
	client := &http.Client{Transport: New(Limits{}, Pool{}, func() *tls.Config { return trusting(t, files) })}
	_, port, err := net.SplitHostPort(serveTLS(t, files))
	require.NoError(t, err)
	_, err = client.Get("https://127.0.0.1:" + port)
	require.Error(t, err)
}
