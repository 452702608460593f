package configstate

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

var (
	// ErrUnknownKey means that no team has the key.
	ErrUnknownKey = errors.New("configstate: unknown key")
	// ErrKeyWithdrawn means that the key was withdrawn. A withdrawal is permanent.
	ErrKeyWithdrawn = errors.New("configstate: key withdrawn")
)

// KeyOwner is the owner of a key.
type KeyOwner struct {
	// Team is the name of the team.
	Team string
	// KeyID identifies the key in logs.
	KeyID string
}

// Snapshot is a configuration in force. It is immutable once published.
type Snapshot struct {
	// Version counts accepted configurations from 1.
	Version int64
	// ChangeID identifies the change that was accepted.
	ChangeID string
	// Digest is the hexadecimal SHA-256 digest of the document's text.
	Digest string
	// Document is the validated document.
	Document *document.Document

	owners       map[string]KeyOwner
	withdrawn    map[string]struct{}
	withdrawnSum uint64
}

// NewSnapshot indexes a validated document. The withdrawn digests are hexadecimal.
func NewSnapshot(version int64, changeID, digest string, doc *document.Document, withdrawn []string) *Snapshot {
	s := &Snapshot{
		Version:   version,
		ChangeID:  changeID,
		Digest:    digest,
		Document:  doc,
		owners:    make(map[string]KeyOwner),
		withdrawn: make(map[string]struct{}, len(withdrawn)),
	}
	for _, d := range withdrawn {
		s.withdrawn[d] = struct{}{}
		s.withdrawnSum ^= xxhash.Sum64String(d)
	}
	for _, team := range doc.Teams {
		for _, key := range team.Keys {
			s.owners[key.SHA256] = KeyOwner{Team: team.Name, KeyID: key.ID}
		}
	}
	return s
}

// WithdrawnSum returns a checksum of the set of withdrawals. Peers compare it,
// because a withdrawal that is pushed while the service is down does not change
// the version.
func (s *Snapshot) WithdrawnSum() uint64 { return s.withdrawnSum }

// Withdrawn returns the number of withdrawn keys in the snapshot.
func (s *Snapshot) Withdrawn() int { return len(s.withdrawn) }

// DigestKey returns the hexadecimal SHA-256 digest of a caller's key.
func DigestKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the owner of the key with this digest. It returns
// ErrKeyWithdrawn or ErrUnknownKey if there is none.
func (s *Snapshot) Authenticate(digest string) (KeyOwner, error) {
	if _, withdrawn := s.withdrawn[digest]; withdrawn {
		return KeyOwner{}, ErrKeyWithdrawn
	}
	owner, ok := s.owners[digest]
	if !ok {
		return KeyOwner{}, ErrUnknownKey
	}
	return owner, nil
}
