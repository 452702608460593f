// Package certtest creates TLS certificates for tests.
package certtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
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

// validity is the length of the validity period of certificates, which starts an
// hour in the past.
const validity = 2 * time.Hour

// Files holds the paths of the PEM files of a certificate, its key and its
// authority.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Authority is a certificate authority.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New returns an authority with a new self-signed certificate.
func New(t testing.TB) *Authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := template("authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &Authority{certificate: certificate, key: key}
}

// Issue writes a certificate for an IP address into dir, with its key and its
// authority. It is valid for servers and clients. Existing files are overwritten.
func (a *Authority) Issue(t testing.TB, dir, ip string) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := template(ip)
	template.IPAddresses = []net.IP{net.ParseIP(ip)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	files := Files{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	write(t, files.Certificate, "CERTIFICATE", der)
	write(t, files.Key, "EC PRIVATE KEY", keyDER)
	write(t, files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-validity / 2),
		NotAfter:     time.Now().Add(validity / 2),
	}
}

func write(t testing.TB, file, kind string, der []byte) {
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}
