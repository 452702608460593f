package resume

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"

	"github.com/pkg/errors"
)

var (
	// ErrMalformed means that an event ID is not a token.
	ErrMalformed = errors.New("resume: malformed token")
	// ErrForged means that no accepted secret has signed the token.
	ErrForged = errors.New("resume: token not signed by an accepted secret")
	// ErrForeign means that the token is another team's.
	ErrForeign = errors.New("resume: token of another team")
	// ErrWeakSecret means that a secret is shorter than MinSecretBytes.
	ErrWeakSecret = errors.New("resume: secret too short")
	// ErrNoSecret means that a ring was made without a secret.
	ErrNoSecret = errors.New("resume: no secret")
)

const (
	// MinSecretBytes is the least length of a secret.
	MinSecretBytes = 32
	// MaxTokenBytes is the longest event ID that is looked at.
	MaxTokenBytes = 1024
	// maxFieldBytes bounds each name in a token.
	maxFieldBytes = 200
	// tagBytes is the length of the signature, SHA-256 cut to 128 bits.
	tagBytes = 16
	// format is the first byte of every token.
	format = 1
)

// Token is a place in a stream.
type Token struct {
	// Team is whose stream it is.
	Team string
	// VM is the name of the entry VM that passes it on.
	VM string
	// Engine is the name of the engine that makes it.
	Engine string
	// Stream is the stream's request ID at the engine.
	Stream string
	// Offset is the engine's ID of the last event that the caller has. It is
	// 0 before the first one.
	Offset int64
}

// Ring holds the secrets. It is immutable and safe for concurrent use.
type Ring struct {
	secrets [][]byte
}

// NewRing returns a ring that signs with the first secret and accepts them all.
// To rotate, put the new secret last on every VM, then first, then remove the
// old one. It returns ErrNoSecret or ErrWeakSecret.
func NewRing(secrets ...[]byte) (*Ring, error) {
	if len(secrets) == 0 {
		return nil, ErrNoSecret
	}
	for _, s := range secrets {
		if len(s) < MinSecretBytes {
			return nil, ErrWeakSecret
		}
	}
	return &Ring{secrets: secrets}, nil
}

// Signer makes the tokens of one stream. It is not safe for concurrent use.
type Signer struct {
	mac    hash.Hash
	prefix []byte
	buffer []byte
}

// Signer returns a signer for the stream of a token; its offset does not matter.
// Names longer than 200 bytes are refused with ErrMalformed.
func (r *Ring) Signer(t Token) (*Signer, error) {
	prefix := []byte{format}
	for _, field := range []string{t.Team, t.VM, t.Engine, t.Stream} {
		if len(field) > maxFieldBytes {
			return nil, errors.Wrap(ErrMalformed, "name too long")
		}
		prefix = binary.AppendUvarint(prefix, uint64(len(field)))
		prefix = append(prefix, field...)
	}
	return &Signer{mac: hmac.New(sha256.New, r.secrets[0]), prefix: prefix}, nil
}

// Append adds the token for an offset to dst.
func (s *Signer) Append(dst []byte, offset int64) []byte {
	s.buffer = append(s.buffer[:0], s.prefix...)
	s.buffer = binary.AppendUvarint(s.buffer, uint64(offset))
	s.mac.Reset()
	s.mac.Write(s.buffer)
	whole := s.mac.Sum(s.buffer)
	whole = whole[:len(s.buffer)+tagBytes]
	s.buffer = whole
	return base64.RawURLEncoding.AppendEncode(dst, whole)
}

// Open returns the token in an event ID that a caller of the team sent back. It
// returns ErrMalformed, ErrForged or ErrForeign.
func (r *Ring) Open(id, team string) (Token, error) {
	if len(id) > MaxTokenBytes {
		return Token{}, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(id)
	if err != nil || len(raw) < tagBytes+1 {
		return Token{}, ErrMalformed
	}
	signed, tag := raw[:len(raw)-tagBytes], raw[len(raw)-tagBytes:]
	if !r.signed(signed, tag) {
		return Token{}, ErrForged
	}
	token, err := parse(signed)
	if err != nil {
		return Token{}, err
	}
	if token.Team != team {
		return Token{}, ErrForeign
	}
	return token, nil
}

func (r *Ring) signed(message, tag []byte) bool {
	for _, secret := range r.secrets {
		mac := hmac.New(sha256.New, secret)
		mac.Write(message)
		if hmac.Equal(mac.Sum(nil)[:tagBytes], tag) {
			return true
		}
	}
	return false
}

// parse reads what a signer has put together.
func parse(b []byte) (Token, error) {
	if b[0] != format {
		return Token{}, ErrMalformed
	}
	b = b[1:]
	var fields [4]string
	for i := range fields {
		n, used := binary.Uvarint(b)
		if used <= 0 || n > maxFieldBytes || uint64(len(b)-used) < n {
			return Token{}, ErrMalformed
		}
		b = b[used:]
		fields[i], b = string(b[:n]), b[n:]
	}
	offset, used := binary.Uvarint(b)
	if used <= 0 || used != len(b) || int64(offset) < 0 {
		return Token{}, ErrMalformed
	}
	return Token{Team: fields[0], VM: fields[1], Engine: fields[2], Stream: fields[3], Offset: int64(offset)}, nil
}
