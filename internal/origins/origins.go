package origins

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lifetime is how long an origin is remembered: longer than callers wait for a stream.
	Lifetime = time.Minute
	// MaxOrigins bounds a table, to a few megabytes.
	MaxOrigins = 50_000
	// expireInterval is the least time between two searches for old origins.
	expireInterval = time.Second
)

// Stream identifies a stream by the attempt that brought its first event, or by the contents of its request.
type Stream uint64

// contentsBit is set in the streams that are identified by contents.
const contentsBit Stream = 1

// StreamOf returns the stream that a team's attempt began. Teams choose the IDs of their attempts by themselves.
func StreamOf(team, attempt string) Stream {
	return Stream(xxhash.Sum64String(team+"\x00"+attempt)) &^ contentsBit
}

// StreamOfContents returns the stream of a team's request whose contents have a hash, for callers that name no attempt.
// Requests with the same contents count as one stream.
func StreamOfContents(team string, contents uint64) Stream {
	return Stream(xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(team+"\x00contents\x00"), contents))) | contentsBit
}

// SettledBy reports whether no other answer can change an origin. Streams that are identified by contents may have begun at
// several versions, of which each VM may know one.
func (s Stream) SettledBy(o Origin) bool {
	return o.Ambiguous || (o.Known() && s&contentsBit == 0)
}

// Origin says which software version of which service began a stream, and when.
type Origin struct {
	Stream           Stream
	Service, Version string
	BegunAt          time.Time
	// Ambiguous means that streams which count as this one began at different services or versions.
	Ambiguous bool
}

// Known reports whether it is known where the stream began; that of a stream nobody remembers is the zero value.
func (o Origin) Known() bool { return o.Version != "" }

// Merge returns what two origins of a stream say together. Either may be unknown.
func (o Origin) Merge(other Origin) Origin {
	if !other.Known() {
		return o
	}
	if !o.Known() {
		return other
	}
	if other.Ambiguous || o.Service != other.Service || o.Version != other.Version {
		o.Ambiguous = true
	}
	return o
}

// Reply is what came of asking a VM for an origin, which is empty if that VM does not know it.
type Reply struct {
	Origin Origin
	// Answered means that the VM answered, Keeper that it is one of those that remember the stream.
	Answered, Keeper bool
}

// Gather merges an origin with the replies of n VMs. It returns as soon as no other reply can change the result: a VM that
// is gone may not answer before a timeout. If no keeper has answered, what is known of a stream that several versions may
// have begun says nothing: the keepers may know another one.
func Gather(s Stream, known Origin, replies <-chan Reply, n int) Origin {
	heard := n == 0
	for range n {
		if s.SettledBy(known) {
			break
		}
		r := <-replies
		heard = heard || (r.Answered && r.Keeper)
		known = known.Merge(r.Origin)
	}
	if !heard && !s.SettledBy(known) {
		return Origin{}
	}
	return known
}

// Table holds origins. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	origins   map[Stream]Origin
	expiredAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{origins: make(map[Stream]Origin)} }

// Record remembers an origin, and reports whether it was not known.
func (t *Table) Record(o Origin, now time.Time) (news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if !o.Known() {
		return false
	}
	before := t.origins[o.Stream]
	after := before.Merge(o)
	t.origins[o.Stream] = after
	return !before.Known() || after.Ambiguous != before.Ambiguous
}

// Find returns the origin of a stream, and false if it is not remembered.
func (t *Table) Find(s Stream, now time.Time) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.origins[s]
	if !o.Known() || now.Sub(o.BegunAt) >= Lifetime {
		return Origin{}, false
	}
	return o, true
}

// Len returns the number of origins.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.origins)
}

// expire forgets what is old, and the older half if there are too many. It must be called with the lock held.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.expiredAt) >= expireInterval {
		t.expiredAt = now
		maps.DeleteFunc(t.origins, func(_ Stream, o Origin) bool { return now.Sub(o.BegunAt) >= Lifetime })
	}
	if len(t.origins) < MaxOrigins {
		return
	}
	oldest := slices.SortedFunc(maps.Values(t.origins), func(a, b Origin) int { return a.BegunAt.Compare(b.BegunAt) })
	for _, o := range oldest[:MaxOrigins/2] {
		delete(t.origins, o.Stream)
	}
}
