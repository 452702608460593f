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
	// ErrCorrupt means that a segment's value cannot be decoded.
	ErrCorrupt = errors.New("claim: corrupt segment")
	// ErrFull means that no segment of the shard can be reused, because each holds
	// claims that have not expired.
	ErrFull = errors.New("claim: shard full")
	// ErrDeadline means that the deadline passed before the claim's outcome was known.
	ErrDeadline = errors.New("claim: not settled in time")
)

// Shards is the number of shards. It is part of the stored format: with another
// number, a key's claim would be looked up in a different shard from the one that holds it.
const Shards = 16

const (
	// Slots is the number of segments in a shard's ring.
	Slots = 32
	// MaxRecords is the number of claims at which a segment is sealed.
	MaxRecords = 256
	// MaxAnswerBytes is the size limit, in bytes, of an answer's body that is
	// stored with its claim.
	MaxAnswerBytes = 1 << 10
	// maxSegmentBytes is the encoded size in bytes above which answer bodies are
	// omitted. It is well below the key-value service's limit on a value.
	maxSegmentBytes = 512 << 10
	// sealBytes is the encoded size in bytes at which a segment is sealed against
	// new claims.
	sealBytes = 128 << 10
)

// Key identifies an action: a digest of the team and its idempotency key.
type Key string

// KeyOf returns the Key for a team's idempotency key.
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

// DigestBody returns the digest of an action's request: its method, its path and
// query (target), and its body.
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
	// Key identifies the action.
	Key Key `json:"k"`
	// BodyDigest is the digest of the action's request, as returned by DigestBody.
	BodyDigest string `json:"b"`
	// VM is the name of the VM that made the claim.
	VM string `json:"v"`
	// Attempt is an ID that is never reused. Only the VM that made the attempt may
	// dispatch the action.
	Attempt string `json:"a"`
	// ClaimedAt is when the claim was made, by the clock of the VM that made it.
	ClaimedAt time.Time `json:"t"`
	// Answer is the action's answer, or nil until it is stored.
	Answer *Answer `json:"r,omitempty"`
}

// Answer is the answer of an action, as stored with its claim.
type Answer struct {
	// Status is the HTTP status code.
	Status int `json:"s"`
	// ContentType is the type of Body.
	ContentType string `json:"c,omitempty"`
	Body        []byte `json:"b,omitempty"`
	// Omitted means that the body was dropped, because it was too large or to make
	// room in the segment.
	Omitted bool `json:"o,omitempty"`
}

// segment is the value of one key of the key-value service.
type segment struct {
	// Generation numbers a shard's segments from 1. The segment's slot in the ring
	// is Generation modulo Slots.
	Generation int64 `json:"g"`
	// Sealed means that no more claims are added. The next generation may exist
	// only if the segment is sealed.
	Sealed bool `json:"z,omitempty"`
	// Records are in the order in which their claims were added.
	Records []Record `json:"r"`
}

func decode(value []byte) (*segment, error) {
	s := &segment{}
	if err := json.Unmarshal(value, s); err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	if s.Generation < 1 {
		return nil, errors.Wrap(ErrCorrupt, "segment generation is missing or less than 1")
	}
	return s, nil
}

func (s *segment) encode() []byte {
	value, err := json.Marshal(s)
	if err != nil {
		// A segment's types always marshal.
		panic(err)
	}
	return value
}

// clone copies a segment, so that a change whose swap may not take effect leaves the
// original as it is.
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

// expired reports whether every claim of the segment is older than lifetime.
func (s *segment) expired(now time.Time, lifetime time.Duration) bool {
	for i := range s.Records {
		if now.Sub(s.Records[i].ClaimedAt) <= lifetime {
			return false
		}
	}
	return true
}
