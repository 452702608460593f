package ctl

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// ErrAuthority means that a certificate could not be made or that the files
// of the certificate authority are invalid.
var ErrAuthority = errors.New("chestnutctl: authority")

const (
	authorityName    = "authority"
	defaultValidity  = 30 * 24 * time.Hour
	clockSkew        = 5 * time.Minute
	serialBits       = 128
	privateFileMode  = 0o600
	publicFileMode   = 0o644
	certificateBlock = "CERTIFICATE"
	keyBlock         = "EC PRIVATE KEY"
)

// tlsCommand makes certificates for trials. A production environment uses a
// certificate authority of its own.
func tlsCommand(o *options) *cobra.Command {
	return group("tls", "Create a minimal certificate authority and certificates for IP addresses, for trials", authorityCommand(o), issueCommand(o))
}

func authorityCommand(o *options) *cobra.Command {
	var dir string
	var valid time.Duration
	c := &cobra.Command{
		Use:   "authority",
		Short: "Create a certificate authority: authority.pem and authority.key",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			template, err := template("chestnutarch test authority", valid)
			if err != nil {
				return err
			}
			template.IsCA = true
			template.BasicConstraintsValid = true
			template.KeyUsage = x509.KeyUsageCertSign
			return o.issue(dir, authorityName, template, nil)
		},
	}
	c.Flags().StringVar(&dir, "dir", ".", "`directory` to write the files to")
	c.Flags().DurationVar(&valid, "valid", defaultValidity, "validity period of the certificate")
	return c
}

func issueCommand(o *options) *cobra.Command {
	var dir string
	var ips []net.IP
	var valid time.Duration
	c := &cobra.Command{
		Use:   "issue NAME",
		Short: "Issue NAME.pem and NAME.key for the given IP addresses, or without addresses for an operator",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if args[0] != filepath.Base(args[0]) || args[0] == authorityName {
				return errors.Wrapf(ErrUsage, "name %q: contains a path or is reserved for the authority", args[0])
			}
			parent, err := loadAuthority(dir)
			if err != nil {
				return err
			}
			template, err := template(args[0], valid)
			if err != nil {
				return err
			}
			template.IPAddresses = ips
			template.KeyUsage = x509.KeyUsageDigitalSignature
			template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
			return o.issue(dir, args[0], template, parent)
		},
	}
	c.Flags().StringVar(&dir, "dir", ".", "`directory` of the authority's files, to which the new files are also written")
	c.Flags().IPSliceVar(&ips, "ip", nil, "`IP` addresses that the certificate is for")
	c.Flags().DurationVar(&valid, "valid", defaultValidity, "validity period of the certificate")
	return c
}

// authority is a certificate authority: its certificate and signing key.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func template(name string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(ErrAuthority, err.Error())
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(valid),
	}, nil
}

// issue generates a key and a certificate, which is signed by parent or, if
// parent is nil, self-signed. It never overwrites a file: a lost
// authority key cannot be recovered.
func (o *options) issue(dir, name string, template *x509.Certificate, parent *authority) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(ErrAuthority, err.Error())
	}
	signer := authority{certificate: template, key: key}
	if parent != nil {
		signer = *parent
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, signer.certificate, key.Public(), signer.key)
	if err != nil {
		return errors.Wrap(ErrAuthority, err.Error())
	}
	privateKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(ErrAuthority, err.Error())
	}
	if err := o.writePEM(filepath.Join(dir, name+".key"), keyBlock, privateKey, privateFileMode); err != nil {
		return err
	}
	return o.writePEM(filepath.Join(dir, name+".pem"), certificateBlock, certificate, publicFileMode)
}

func (o *options) writePEM(file, kind string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fileError(err)
	}
	defer f.Close()
	if err := pem.Encode(f, &pem.Block{Type: kind, Bytes: data}); err != nil {
		return fileError(err)
	}
	fmt.Fprintln(o.out, file)
	return fileError(f.Close())
}

func loadAuthority(dir string) (*authority, error) {
	certificate, err := readPEM(filepath.Join(dir, authorityName+".pem"), certificateBlock)
	if err != nil {
		return nil, err
	}
	privateKey, err := readPEM(filepath.Join(dir, authorityName+".key"), keyBlock)
	if err != nil {
		return nil, err
	}
	a := new(authority)
	if a.certificate, err = x509.ParseCertificate(certificate); err != nil {
		return nil, errors.Wrap(ErrAuthority, err.Error())
	}
	if a.key, err = x509.ParseECPrivateKey(privateKey); err != nil {
		return nil, errors.Wrap(ErrAuthority, err.Error())
	}
	return a, nil
}

func readPEM(file, kind string) ([]byte, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != kind {
		return nil, errors.Wrapf(ErrAuthority, "%s contains no PEM block of type %s", file, kind)
	}
	return block.Bytes, nil
}
