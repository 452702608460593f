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

// serveTLS starts a server that answers every request with 200, and returns its
// address.
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

func clientConfig(t *testing.T, files certtest.Files) *tls.Config {
	pem, err := os.ReadFile(files.Authority)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(pem))
	return &tls.Config{RootCAs: pool}
}

// The certificate authority of the upstreams is replaced while the process runs. A
// client that kept the old one would reject every upstream with a renewed
// certificate until a restart.
func TestRenewedAuthorityAppliesToNewConnections(t *testing.T) {
	old := certtest.New(t).Issue(t, t.TempDir(), "127.0.0.1")
	renewed := certtest.New(t).Issue(t, t.TempDir(), "127.0.0.1")
	var config atomic.Pointer[tls.Config]
	config.Store(clientConfig(t, old))
	client := &http.Client{Transport: New(Limits{}, Pool{}, config.Load)}
	get := func(address string) error {
		answer, err := client.Get("https://" + address)
		if err == nil {
			err = answer.Body.Close()
		}
		return err
	}
	require.NoError(t, get(serveTLS(t, old)))
	renewedAddress := serveTLS(t, renewed)
	require.Error(t, get(renewedAddress))
	config.Store(clientConfig(t, renewed))
	require.NoError(t, get(renewedAddress))
}

// Another process answers at an upstream's address with a certificate for a
// different address. If the client accepted it, that process could read prompts.
func TestCertificateOfAnotherAddressIsRejected(t *testing.T) {
	files := certtest.New(t).Issue(t, t.TempDir(), "127.0.0.9")
	client := &http.Client{Transport: New(Limits{}, Pool{}, func() *tls.Config { return clientConfig(t, files) })}
	_, port, err := net.SplitHostPort(serveTLS(t, files))
	require.NoError(t, err)
	_, err = client.Get("https://127.0.0.1:" + port)
	require.Error(t, err)
}
