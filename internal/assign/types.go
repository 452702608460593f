package assign

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

var (
	// ErrNoUpstream means that no instance of the service accepts requests, or that the request
	// has failed at every instance that could serve it.
	ErrNoUpstream = errors.New("assign: no upstream can take the request")
	// ErrNotLoaded means that no engine holds the model.
	ErrNotLoaded = errors.New("assign: no engine holds the model")
	// ErrAdapterNotLoaded means that engines hold the model but none the adapter.
	ErrAdapterNotLoaded = errors.New("assign: no engine holds the adapter")
	// ErrCold means that all instances which could serve the request have just started, and get
	// few requests until they are warm.
	ErrCold = errors.New("assign: every upstream that could serve the request is cold")
	// ErrRateLimited means that all instances which could serve the request name a rate limit, and no
	// permit is available for them.
	ErrRateLimited = errors.New("assign: every upstream that could serve the request is at its rate limit")
	// ErrNoRoom means that all instances which could serve the request are brittle, and run as many requests as they can.
	ErrNoRoom = errors.New("assign: every upstream that could serve the request is brittle and full")
	// ErrRetryLater means that all instances which could serve the request have asked this VM for no
	// requests for a time.
	ErrRetryLater = errors.New("assign: every upstream that could serve the request has asked for no requests for a time")
	// ErrVersionNotServed means that no instance of the version that began a stream can go on with it.
	ErrVersionNotServed = errors.New("assign: no upstream of the version that began the stream can go on with it")
	// ErrPrefillPaced means that streams of the engines would stall for too long if the engines
	// prefilled the prompt now.
	ErrPrefillPaced = errors.New("assign: prefilling the prompt now would stall the streams of every engine with a free place")
	// ErrOverloaded means that all upstreams are full, or that the request would start too
	// late to meet its objective.
	ErrOverloaded = errors.New("assign: all upstreams are full or would start the request too late")
)

// Refused is the error of Choose: it says why no upstream was chosen and when to try again.
type Refused struct {
	// Cause is one of this package's errors.
	Cause error
	// RetryAfter is the delay after which another try may succeed.
	RetryAfter time.Duration
	// Holdable means that a place may become free within the time for which the request may be
	// held: try again soon.
	Holdable bool
	// Wait is the known time until a place may become free, 0 if it is not known.
	Wait time.Duration
	// EarliestStart is the earliest start that was found, as the time from now to the first event.
	// It is for logs.
	EarliestStart time.Duration
}

// Error returns the message of the cause.
func (r *Refused) Error() string { return r.Cause.Error() }

// Unwrap returns the cause.
func (r *Refused) Unwrap() error { return r.Cause }

// Prefix is a prefix of a prompt: a hash of everything up to its end, and the number of
// tokens up to there.
type Prefix struct {
	Hash   uint64
	Tokens int
}

// Request is a request that needs an upstream.
type Request struct {
	Service string
	// Route is the route on which the request came, BodyBytes the size of its body.
	Route     string
	BodyBytes int
	// Model is empty for services without engines.
	Model, Adapter string
	// Prefixes are the prefixes of the prompt, shortest first, the whole prompt last.
	Prefixes     []Prefix
	PromptTokens int
	OutputTokens int
	// StartBy is when the first event is due, or the answer of a service without engines.
	StartBy time.Time
	// MaxGap is the longest allowed time between two events of the answer, 0 if it is not
	// bounded.
	MaxGap time.Duration
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Urgency is the request's priority rank; 0 is the most urgent.
	Urgency int
	// Team is the team that holds the request's key, empty on routes that need none.
	Team string
	// RegionAllowed reports whether upstreams of a region may run the request. Nil means that all
	// regions may.
	RegionAllowed func(region string) bool
	// Version, unless empty, is the software version that began the stream which the request resumes: only instances of
	// this version may go on with it.
	Version string
	// Avoid names instances that failed this request.
	Avoid map[string]bool
	// Room says what the request may take while its service is asked for more than it can serve in time.
	Room RoomRule
	// WithoutPermit excludes the upstreams that get requests only with permits.
	WithoutPermit bool
	// AllowUnresponsive allows an upstream that has sent nothing for a while if there is no other, and the objective can be
	// met if it is sound.
	AllowUnresponsive bool
}

// RoomRule says what a request may take of the room of its service.
type RoomRule int

// The rules. RoomAny is that of a service with room for all requests.
const (
	RoomAny RoomRule = iota
	// RoomFirst requests come first: they may wait at an engine without a free slot, whose queue they do not make much longer.
	RoomFirst
	// RoomLast requests leave a part of an engine's KV cache free, for requests that come before them.
	RoomLast
)

// KnownLoad is the work known to be at an upstream when it was chosen.
type KnownLoad struct {
	// Requests is the number of requests in flight, PeerRequests how many of them other VMs
	// reported.
	Requests, PeerRequests int
	// PrefillTokens is the number of prompt tokens that were waiting to be prefilled.
	PrefillTokens int
	// ReportAge is the age of the oldest report that is counted, 0 if there is none.
	ReportAge time.Duration
}

// Choice is a reserved place at an upstream. Every Choice must be passed to Finish.
type Choice struct {
	// Instance is the ID of the upstream.
	Instance string
	// Version is the version of the upstream's software.
	Version string
	// Uncached is how many prompt tokens the engine is expected to prefill.
	Uncached int
	// Expected is the expected time from the choice to the first event.
	Expected time.Duration
	// Late means that the objective can no longer be met.
	Late bool
	// KnownLoad is the work known to be at the upstream when it was chosen.
	KnownLoad KnownLoad
	// Key identifies the upstream's incarnation.
	Key upstreamrate.Key
	// NeedsPermit means that the request may be sent only with a permit, because the upstream names a rate limit or is
	// brittle.
	NeedsPermit bool
	// Brittle means that the permit has to be released when the request has ended at the upstream.
	Brittle bool
	// Permit is the number of the permit that was granted at a brittle upstream, zero if there is none. Rejected means that the
	// upstream has rejected the request for want of room.
	Permit   uint64
	Rejected bool
	// LastChoice means that an upstream that needs a permit was chosen because no other one could be.
	LastChoice bool

	// awaitsPermit is set until the permit is granted or denied.
	awaitsPermit bool

	node     *node
	request  Request
	placedAt time.Time
	kvTokens int
	// took is the time to the answer of a service without engines, zero before it.
	took    time.Duration
	started bool
	done    bool
	// released is set when the place is free.
	released bool
}

// PlacedAt returns when the place was reserved.
func (c *Choice) PlacedAt() time.Time { return c.placedAt }
