package settings

import "github.com/pkg/errors"

var (
	// ErrRequired means that a field without a default is empty.
	ErrRequired = errors.New("required")
	// ErrNotIPAddress means that an address is not "IP:port". Host names are not
	// resolved, so that a failure of a name service cannot stop the system.
	ErrNotIPAddress = errors.New("not an IP:port address")
	// ErrNotURL means that a URL is not "http://IP:port" or "https://IP:port".
	ErrNotURL = errors.New("not an http or https URL with an IP address and port")
	// ErrPlainText means that an address other than loopback would be served
	// without TLS.
	ErrPlainText = errors.New("plain text on an address that is not loopback; give certificates, or set allow_plain_text")
	// ErrIncomplete means that a certificate is given without its key or a key
	// without its certificate, or that tls.peers has no authority.
	ErrIncomplete = errors.New("incomplete: certificate and key must be given together, and tls.peers also needs an authority")
	// ErrNotDigest means that a digest is not 64 lower-case hexadecimal digits.
	ErrNotDigest = errors.New("not a lower-case hexadecimal SHA-256 digest")
	// ErrRange means that a number is outside its permitted range.
	ErrRange = errors.New("out of range")
	// ErrRead means that the settings file cannot be read.
	ErrRead = errors.New("cannot read settings file")
)
