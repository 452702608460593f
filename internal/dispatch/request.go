package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/route"
)

var (
	// ErrStopped means that the dispatcher has stopped. The request was not run.
	ErrStopped = errors.New("dispatch: dispatcher stopped")
	// ErrNoReplica means that no upstream served the item within the time that a
	// request waits for one. The request was not run.
	ErrNoReplica = errors.New("dispatch: no upstream serves the item")
)

// Request is one request that needs an upstream.
type Request struct {
	// Team is the team that sent the request.
	Team string
	// Item is the requested item.
	Item route.Item
	// Version is the item's version in the active configuration.
	Version string
	// Prefix identifies the prompt's prefix, or is route.NoPrefix.
	Prefix route.Prefix
	// MaxInFlight is the item's limit on requests in flight over all VMs. 0 means no
	// limit.
	MaxInFlight int
	// Tokens is the expected cost of the request.
	Tokens int64
	// Bytes is the memory that the request occupies.
	Bytes int64
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
	// MinRunTime is the minimum run time of the request. With 0 it is estimated from
	// earlier requests for the item.
	MinRunTime time.Duration
	// Avoid names upstreams that have failed the request.
	Avoid []string
	// Check is called at dispatch, after any time in the queue. If it returns an
	// error, the request is refused as not run. It must not block.
	Check func() error
}

// class returns a key that is equal for requests that the same upstreams can serve.
func (r *Request) class() string {
	parts := []string{r.Item.Model, r.Item.Adapter, r.Version, strconv.Itoa(r.MaxInFlight)}
	return strings.Join(append(parts, r.Avoid...), "\x00")
}

func (r *Request) query(localLimit int) route.Request {
	return route.Request{Item: r.Item, Version: r.Version, Prefix: r.Prefix, Limited: r.MaxInFlight > 0, MaxInFlight: localLimit, Avoid: r.Avoid}
}

// Grant permits sending one request to one upstream.
type Grant struct {
	// Upstream is the upstream to send the request to.
	Upstream route.Engine

	dispatcher   *Dispatcher
	request      *Request
	dispatchedAt time.Time
	finished     bool
}

// Finish reports the end of the request: whether the upstream behaved correctly, and
// how many tokens the request used. Only the first call has an effect.
func (g *Grant) Finish(healthy bool, tokens int64) {
	if g.finished {
		return
	}
	g.finished = true
	g.dispatcher.send(finishMessage{grant: g, healthy: healthy, tokens: tokens})
}

// Peers is the state of the VMs as reported by heartbeats.
type Peers struct {
	// VMs is the number of VMs that serve requests, including this one.
	VMs int
	// Rank is this VM's index, from 0, among the VMs sorted by name.
	Rank int
	// InFlight is the number of requests in flight at the other VMs.
	InFlight int
	// Served counts the tokens by team that the other VMs have served. The start of
	// the count is arbitrary; only differences are used.
	Served map[string]int64
}

// Stats is a snapshot of a dispatcher's statistics. It is immutable.
type Stats struct {
	// Queued is the number of queued requests by team.
	Queued map[string]int
	// InFlight is the number of requests at upstreams.
	InFlight int
	// Served counts the tokens by team since the dispatcher was created.
	Served map[string]int64
	// Refused counts the refused requests by cause, one of Causes.
	Refused map[string]int64
}

// Waiting returns the number of queued requests.
func (s *Stats) Waiting() int {
	n := 0
	for _, queued := range s.Queued {
		n += queued
	}
	return n
}

// The causes of a refusal in the statistics.
const (
	causeDeadline  = "deadline"
	causeFull      = "full"
	causeNoReplica = "no_replica"
	causeCheck     = "check"
)

// Causes lists the causes of a refusal. "check" stands for an error of Request.Check,
// such as a withdrawn key.
var Causes = []string{causeDeadline, causeFull, causeNoReplica, causeCheck}
