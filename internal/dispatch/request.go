package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/route"
)

var (
	// ErrStopped means that the dispatcher no longer runs. The request was not
	// run.
	ErrStopped = errors.New("dispatch: stopped")
	// ErrNoReplica means that no upstream had the item for as long as a request
	// waits for one. The request was not run.
	ErrNoReplica = errors.New("dispatch: no upstream serves the item")
)

// Request is one request that needs an upstream.
type Request struct {
	// Team is whose it is.
	Team string
	// Item is what it asks for.
	Item route.Item
	// Version is the version of the item in force.
	Version string
	// Prefix is the prompt's, or route.NoPrefix.
	Prefix route.Prefix
	// MaxInFlight is the item's limit over all VMs, or 0.
	MaxInFlight int
	// Tokens is what it is expected to cost.
	Tokens int64
	// Bytes is the memory that it holds.
	Bytes int64
	// Deadline is when its answer has to be whole.
	Deadline time.Time
	// Run is how long it takes at least. 0 leaves it to what earlier requests for
	// the item took.
	Run time.Duration
	// Avoid names upstreams that have failed the request.
	Avoid []string
	// Check is asked in the moment of dispatch, after any time in the queue. An
	// error refuses the request as not run. It must not block.
	Check func() error
}

// class groups the requests that the same upstreams can serve.
func (r *Request) class() string {
	parts := []string{r.Item.Model, r.Item.Adapter, r.Version, strconv.Itoa(r.MaxInFlight)}
	return strings.Join(append(parts, r.Avoid...), "\x00")
}

func (r *Request) query(part int) route.Request {
	return route.Request{Item: r.Item, Version: r.Version, Prefix: r.Prefix, Limited: r.MaxInFlight > 0, MaxInFlight: part, Avoid: r.Avoid}
}

// Grant is leave to send one request to one upstream.
type Grant struct {
	// Upstream is where to send it.
	Upstream route.Engine

	dispatcher *Dispatcher
	request    *Request
	since      time.Time
	finished   bool
}

// Finish says how the request ended: whether the upstream did its part, and how
// many tokens it took. Only the first call counts.
func (g *Grant) Finish(healthy bool, tokens int64) {
	if g.finished {
		return
	}
	g.finished = true
	g.dispatcher.send(finish{grant: g, healthy: healthy, tokens: tokens})
}

// Peers is what the heartbeats tell of all VMs.
type Peers struct {
	// VMs is the number of VMs that serve, this one included.
	VMs int
	// Rank is this VM's place in the order of their names, from 0.
	Rank int
	// InFlight is the number of requests in flight at the other VMs.
	InFlight int
	// Served counts the tokens by team that the other VMs have served, since
	// whatever time.
	Served map[string]int64
}

// Stats is the state of a dispatcher. It is immutable.
type Stats struct {
	// Queued is the number of queued requests by team.
	Queued map[string]int
	// InFlight is the number of requests at upstreams.
	InFlight int
	// Served counts the tokens by team since the start.
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

// Causes lists the causes of a refusal. "check" stands for what Request.Check said,
// such as a key that was withdrawn.
var Causes = []string{causeDeadline, causeFull, causeNoReplica, causeCheck}
