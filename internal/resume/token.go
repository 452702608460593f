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
	// ErrMalformed means that an event ID is not a well-formed token.
	ErrMalformed = errors.New("resume: malformed token")
	// ErrBadSignature means that the token is not signed with an accepted secret.
	ErrBadSignature = errors.New("resume: token not signed by an accepted secret")
	// ErrWrongTeam means that the token belongs to another team.
	ErrWrongTeam = errors.New("resume: token of another team")
	// ErrWeakSecret means that a secret is shorter than MinSecretBytes.
	ErrWeakSecret = errors.New("resume: secret too short")
	// ErrNoSecret means that no secret was passed to NewKeyring.
	ErrNoSecret = errors.New("resume: no secret given")
)

const (
	// MinSecretBytes is the minimum length of a secret in bytes.
	MinSecretBytes = 32
	// MaxTokenBytes is the maximum length of an event ID in bytes. Longer ones are
	// rejected without decoding.
	MaxTokenBytes = 1024
	// maxFieldBytes bounds the length of each name in a token.
	maxFieldBytes = 200
	// tagBytes is the length of the signature: HMAC-SHA-256 truncated to 128 bits.
	tagBytes = 16
	// tokenFormat is the first byte of every token.
	tokenFormat = 1
)

// Token is a position in a stream.
type Token struct {
	// Team is the team that owns the stream.
	Team string
	// VM is the name of the entry VM that relays the stream.
	VM string
	// Engine is the name of the engine that generates the stream.
	Engine string
	// Stream is the stream's request ID at the engine.
	Stream string
	// Offset is the engine's ID of the last event that the caller has received. It
	// is 0 before the first event.
	Offset int64
}

// Keyring is a keyring of the signing secrets. It is immutable and safe for concurrent
// use.
type Keyring struct {
	secrets [][]byte
}

// NewKeyring returns a keyring that signs with the first secret and accepts tokens signed
// with any of them. To rotate, append the new secret on every VM, then move it to the
// front, then remove the old one. Errors are ErrNoSecret and ErrWeakSecret.
func NewKeyring(secrets ...[]byte) (*Keyring, error) {
	if len(secrets) == 0 {
		return nil, ErrNoSecret
	}
	for _, s := range secrets {
		if len(s) < MinSecretBytes {
			return nil, ErrWeakSecret
		}
	}
	return &Keyring{secrets: secrets}, nil
}

// Signer creates the tokens of one stream. It is not safe for concurrent use.
type Signer struct {
	mac    hash.Hash
	prefix []byte
	buffer []byte
}

// Signer returns a signer for the stream of a token; the token's offset is ignored.
// Names longer than 200 bytes are rejected with ErrMalformed.
func (r *Keyring) Signer(t Token) (*Signer, error) {
	prefix := []byte{tokenFormat}
	for _, field := range []string{t.Team, t.VM, t.Engine, t.Stream} {
		if len(field) > maxFieldBytes {
			return nil, errors.Wrap(ErrMalformed, "a name in the token is longer than the limit")
		}
		prefix = binary.AppendUvarint(prefix, uint64(len(field)))
		prefix = append(prefix, field...)
	}
	return &Signer{mac: hmac.New(sha256.New, r.secrets[0]), prefix: prefix}, nil
}

// Append appends the encoded token for an offset to dst and returns the result.
func (s *Signer) Append(dst []byte, offset int64) []byte {
	s.buffer = append(s.buffer[:0], s.prefix...)
	s.buffer = binary.AppendUvarint(s.buffer, uint64(offset))
	s.mac.Reset()
	s.mac.Write(s.buffer)
	signed := s.mac.Sum(s.buffer)
	signed = signed[:len(s.buffer)+tagBytes]
	s.buffer = signed
	return base64.RawURLEncoding.AppendEncode(dst, signed)
}

// Open decodes and verifies the token in an event ID that a caller of the team sent
// back. Errors are ErrMalformed, ErrBadSignature and ErrWrongTeam.
func (r *Keyring) Open(id, team string) (Token, error) {
	if len(id) > MaxTokenBytes {
		return Token{}, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(id)
	if err != nil || len(raw) < tagBytes+1 {
		return Token{}, ErrMalformed
	}
	signed, tag := raw[:len(raw)-tagBytes], raw[len(raw)-tagBytes:]
	if !r.verify(signed, tag) {
		return Token{}, ErrBadSignature
	}
	token, err := parse(signed)
	if err != nil {
		return Token{}, err
	}
	if token.Team != team {
		return Token{}, ErrWrongTeam
	}
	return token, nil
}

func (r *Keyring) verify(message, tag []byte) bool {
	for _, secret := range r.secrets {
		mac := hmac.New(sha256.New, secret)
		mac.Write(message)
		if hmac.Equal(mac.Sum(nil)[:tagBytes], tag) {
			return true
		}
	}
	return false
}

// parse decodes the signed part of a token.
func parse(b []byte) (Token, error) {
	if b[0] != tokenFormat {
		return Token{}, ErrMalformed
	}
	b = b[1:]
	var fields [4]string
	for i := range fields {
		length, used := binary.Uvarint(b)
		if used <= 0 || length > maxFieldBytes || uint64(len(b)-used) < length {
			return Token{}, ErrMalformed
		}
		b = b[used:]
		fields[i], b = string(b[:length]), b[length:]
	}
	offset, used := binary.Uvarint(b)
	if used <= 0 || used != len(b) || int64(offset) < 0 {
		return Token{}, ErrMalformed
	}
	return Token{Team: fields[0], VM: fields[1], Engine: fields[2], Stream: fields[3], Offset: int64(offset)}, nil
}
