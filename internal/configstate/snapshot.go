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
	// ErrKeyWithdrawn means that the key was withdrawn. It never comes back.
	ErrKeyWithdrawn = errors.New("configstate: key withdrawn")
)

// Holder says whose a key is.
type Holder struct {
	// Team is the name of the team.
	Team string
	// KeyID names the key in logs.
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
	// Document is the checked document.
	Document *document.Document

	holders      map[string]Holder
	withdrawn    map[string]struct{}
	withdrawnSum uint64
}

// NewSnapshot indexes a checked document. The withdrawn digests are hexadecimal.
func NewSnapshot(version int64, changeID, digest string, doc *document.Document, withdrawn []string) *Snapshot {
	s := &Snapshot{
		Version:   version,
		ChangeID:  changeID,
		Digest:    digest,
		Document:  doc,
		holders:   make(map[string]Holder),
		withdrawn: make(map[string]struct{}, len(withdrawn)),
	}
	for _, d := range withdrawn {
		s.withdrawn[d] = struct{}{}
		s.withdrawnSum ^= xxhash.Sum64String(d)
	}
	for _, team := range doc.Teams {
		for _, key := range team.Keys {
			s.holders[key.SHA256] = Holder{Team: team.Name, KeyID: key.ID}
		}
	}
	return s
}

// WithdrawnSum returns a number that differs between snapshots that know of
// different withdrawals. Peers compare it: a withdrawal that was pushed while
// the service is down does not change the version.
func (s *Snapshot) WithdrawnSum() uint64 { return s.withdrawnSum }

// Withdrawn returns the number of withdrawn keys that are known.
func (s *Snapshot) Withdrawn() int { return len(s.withdrawn) }

// DigestKey returns the hexadecimal SHA-256 digest of a caller's key.
func DigestKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns whose the key with this digest is. It returns
// ErrKeyWithdrawn or ErrUnknownKey.
func (s *Snapshot) Authenticate(digest string) (Holder, error) {
	if _, gone := s.withdrawn[digest]; gone {
		return Holder{}, ErrKeyWithdrawn
	}
	holder, ok := s.holders[digest]
	if !ok {
		return Holder{}, ErrUnknownKey
	}
	return holder, nil
}
