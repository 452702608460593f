package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrCorrupt means that a segment's value cannot be read.
	ErrCorrupt = errors.New("claim: corrupt segment")
	// ErrFull means that every segment of the shard holds claims that are still
	// alive.
	ErrFull = errors.New("claim: shard full")
	// ErrDeadline means that the deadline passed before the claim was settled.
	ErrDeadline = errors.New("claim: not settled in time")
)

// Shards is the number of shards. It is a constant of the stored format: with
// another number, a key's claim would be looked for where it is not.
const Shards = 16

const (
	// Slots is the number of segments in a shard's ring.
	Slots = 32
	// MaxRecords is the number of claims after which a segment is sealed.
	MaxRecords = 256
	// MaxAnswerBytes bounds the body of an answer that is kept with its claim.
	MaxAnswerBytes = 1 << 10
	// maxSegmentBytes bounds a segment's value, well under what the key-value
	// service holds.
	maxSegmentBytes = 512 << 10
	// sealBytes is the size after which a segment takes no new claims.
	sealBytes = 128 << 10
)

// Key identifies an action: a digest of the team and its idempotency key.
type Key string

// KeyOf returns the key of a team's idempotency key.
func KeyOf(team, idempotencyKey string) Key {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(team)))
	h.Write(length[:])
	h.Write([]byte(team))
	h.Write([]byte(idempotencyKey))
	return Key(base64.RawURLEncoding.EncodeToString(h.Sum(nil)))
}

// Shard returns the shard that holds the key's claim.
func (k Key) Shard() int {
	sum := sha256.Sum256([]byte(k))
	return int(binary.BigEndian.Uint16(sum[:2])) % Shards
}

// DigestBody returns the digest of what an action asks for: its method, path and
// query, and its body.
func DigestBody(method, target string, body []byte) string {
	h := sha256.New()
	for _, s := range []string{method, target} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(body)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// Record is one claim.
type Record struct {
	// Key is the action's.
	Key Key `json:"k"`
	// Body is the digest of what was asked for.
	Body string `json:"b"`
	// VM is the name of the VM that claimed.
	VM string `json:"v"`
	// Attempt is unique for ever. Only the holder of the attempt may dispatch.
	Attempt string `json:"a"`
	// ClaimedAt is when the claim was made, by the claimant's clock.
	ClaimedAt time.Time `json:"t"`
	// Answer is the action's answer, once it is known.
	Answer *Answer `json:"r,omitempty"`
}

// Answer is the stored answer of an action.
type Answer struct {
	// Status is the HTTP status code.
	Status int `json:"s"`
	// ContentType is the type of Body.
	ContentType string `json:"c,omitempty"`
	// Body is the answer's body.
	Body []byte `json:"b,omitempty"`
	// Omitted means that the body was too large to keep.
	Omitted bool `json:"o,omitempty"`
}

// segment is one key's value.
type segment struct {
	// Generation counts a shard's segments from 1. It stands in the ring at
	// Generation modulo Slots.
	Generation int64 `json:"g"`
	// Sealed means that no claim is added any more. The next generation may
	// exist only if this is set.
	Sealed bool `json:"z,omitempty"`
	// Records are in the order of their claims.
	Records []Record `json:"r"`
}

func decode(value []byte) (*segment, error) {
	s := &segment{}
	if err := json.Unmarshal(value, s); err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	if s.Generation < 1 {
		return nil, errors.Wrap(ErrCorrupt, "no generation")
	}
	return s, nil
}

func (s *segment) encode() []byte {
	value, err := json.Marshal(s)
	if err != nil {
		// The types above always marshal.
		panic(err)
	}
	return value
}

// clone copies a segment for a change that may not take effect.
func (s *segment) clone() *segment {
	c := *s
	c.Records = append(make([]Record, 0, len(s.Records)+1), s.Records...)
	return &c
}

func (s *segment) find(k Key) *Record {
	for i := range s.Records {
		if s.Records[i].Key == k {
			return &s.Records[i]
		}
	}
	return nil
}

// expired reports whether every claim has outlived the lifetime.
func (s *segment) expired(now time.Time, lifetime time.Duration) bool {
	for i := range s.Records {
		if now.Sub(s.Records[i].ClaimedAt) <= lifetime {
			return false
		}
	}
	return true
}
