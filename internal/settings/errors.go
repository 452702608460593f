package settings

import "github.com/pkg/errors"

var (
	// ErrRequired means that a field without a default is empty.
	ErrRequired = errors.New("required")
	// ErrNotIPAddress means that an address is not "IP:port". Names are not
	// looked up, so that no name service can stop the system.
	ErrNotIPAddress = errors.New("not an IP:port address")
	// ErrNotURL means that a URL is not "http://IP:port" or "https://IP:port".
	ErrNotURL = errors.New("not an http or https URL with an IP address and port")
	// ErrPlainText means that an address other than loopback would be served
	// without TLS.
	ErrPlainText = errors.New("plain text on an address that is not loopback; give certificates, or set allow_plain_text")
	// ErrIncomplete means that only a part of a group of fields is given.
	ErrIncomplete = errors.New("certificate, key and authority belong together")
	// ErrNotDigest means that a digest is not 64 hexadecimal digits.
	ErrNotDigest = errors.New("not a lower-case hexadecimal SHA-256 digest")
	// ErrRange means that a number is out of its range.
	ErrRange = errors.New("out of range")
	// ErrRead means that the file of settings can't be read.
	ErrRead = errors.New("cannot read settings")
)
