package traffic

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

// This file hands requests to VMs that reach an upstream while this one does not, and serves those of other VMs.

// ErrNotForwarded means that no other VM has taken a request: it was not run.
var ErrNotForwarded = errors.New("traffic: no other VM takes the request")

// Forwarded is a request that one VM has admitted, and another one sends to an upstream.
type Forwarded struct {
	// Request has no key. Its Timeout is the time left until the deadline, DueIn that until its response or first event
	// is due.
	Request *Request
	DueIn   time.Duration
	// Team is the team that holds the request's key, empty on anonymous routes.
	Team string
	// Service is the service that was selected for the request, empty from VMs of earlier builds.
	Service string
	// Sends counts the sends to upstreams so far, PossibleRuns those that may have run the request.
	Sends, PossibleRuns int
	// LastEventID is the last event that the caller has received; ResponseBegun means that it has received the
	// beginning of a response.
	LastEventID   string
	ResponseBegun bool
	// Version is the version of the upstream software that began the stream, empty before the first event.
	Version string
}

// ForwardEnd says how a forwarded request ended.
type ForwardEnd struct {
	// Sends and PossibleRuns include those of Forwarded.
	Sends, PossibleRuns int
	// Upstream is the upstream that had the request last.
	Upstream string
	// Truncated means that the response was begun and is not complete.
	Truncated bool
}

// ForwardFunc has another VM send a request to an upstream of a service and writes the response to sink. It returns
// ErrNotForwarded if no VM has taken the request, and ErrUnknown, wrapped, if the connection to the VM that took it broke.
type ForwardFunc func(ctx context.Context, service string, f Forwarded, sink Sink) (ForwardEnd, error)

// shouldForward reports whether the request has to be handed to another VM. One that was handed over is not handed on.
func (j *job) shouldForward() bool {
	if j.fromVM || j.notForwarded || j.reserved != nil {
		return false
	}
	return j.unreached || j.core.options.Reach.Cut(j.service)
}

// forward hands the request to another VM. It returns false if none takes it. failed is set if its connection broke.
func (j *job) forward(ctx context.Context) (taken bool, failed *failure, err error) {
	j.waitingFor = waitVM
	sink := &forwardSink{job: j}
	end, err := j.core.options.Forward(ctx, j.service, j.forwarded(), sink)
	if errors.Is(err, ErrNotForwarded) {
		j.notForwarded = true
		return false, nil, nil
	}
	j.core.logForwarded(j, err)
	if err != nil {
		// The other VM may have made all attempts that the route allows.
		j.sends++
		j.possibleRuns = max(j.possibleRuns+1, j.route.Attempts)
		return true, &failure{kind: unknown, err: err}, nil
	}
	j.sends, j.possibleRuns, j.upstream = end.Sends, end.PossibleRuns, end.Upstream
	return true, nil, j.endForwarded(sink, end)
}

func (j *job) forwarded() Forwarded {
	request := *j.request
	request.Key = ""
	request.Timeout = time.Until(j.deadline)
	return Forwarded{
		Request: &request, DueIn: time.Until(j.due), Team: j.team, Service: j.service, Sends: j.sends, PossibleRuns: j.possibleRuns,
		LastEventID: j.lastEventID, ResponseBegun: j.responseBegun, Version: j.version,
	}
}

// endForwarded ends a request whose response another VM has given.
func (j *job) endForwarded(sink *forwardSink, end ForwardEnd) error {
	// Where the response had begun, the other VM goes on with it and does not begin it again.
	if j.responseBegun && sink.status == 0 {
		sink.status = http.StatusOK
	}
	switch {
	case end.Truncated || (sink.refusal != nil && j.responseBegun) || (sink.refusal == nil && sink.status == 0):
		j.outcome = outcomeTruncated
		return errors.Wrap(ErrTruncated, "another VM gave the response up")
	case sink.refusal == nil:
		j.outcome, j.status = outcomeAnswered, sink.status
		if sink.status >= http.StatusInternalServerError {
			j.outcome = outcomeFailed
		}
		j.recordAnswer(sink.status)
		return nil
	}
	refusal := *sink.refusal
	j.outcome = outcomeRefused
	if j.possibleRuns > 0 {
		j.outcome = outcomeUnknown
		refusal = mayHaveRun(refusal)
	}
	j.refundUnlessRun()
	j.status, j.retryAfter = refusal.Status, refusal.RetryAfter
	j.sink.Refuse(refusal)
	return nil
}

// mayHaveRun returns a refusal for a request that may have run: the other VM may speak of its own part only.
func mayHaveRun(r Refusal) Refusal {
	if r.Status == http.StatusGatewayTimeout {
		return r
	}
	return Refusal{Status: http.StatusBadGateway, Reason: "upstream_failed", Detail: "the upstream failed; the request may have run"}
}

// forwardSink passes the response to a forwarded request on to the caller. A refusal is kept until it is known whether
// the request may have run.
type forwardSink struct {
	job     *job
	refusal *Refusal
	status  int
	// expired means that the response began after the request had been given up.
	expired bool
}

// Refuse implements Sink.
func (s *forwardSink) Refuse(r Refusal) { s.refusal = &r }

// withhold keeps a response from the caller whose status may not be passed on, and reports whether it did. VMs of earlier builds
// pass on every status of an upstream.
func (s *forwardSink) withhold(status int) bool {
	if s.job.mayPassOn(status, true) {
		return false
	}
	refusal := mayHaveRun(Refusal{Status: status})
	s.refusal = &refusal
	return true
}

// WriteResponse implements Sink.
func (s *forwardSink) WriteResponse(status int, header http.Header, body []byte) {
	if s.withhold(status) {
		return
	}
	s.status = status
	s.noteFirst()
	s.job.sink.WriteResponse(status, header, body)
}

// Begin implements Sink.
func (s *forwardSink) Begin(status int, header http.Header) {
	if s.withhold(status) {
		return
	}
	s.status = status
	if s.job.responseBegun {
		return
	}
	if s.expired = !s.job.beginResponse(); s.expired {
		return
	}
	s.job.sink.Begin(status, header)
}

// WriteChunk implements Sink.
func (s *forwardSink) WriteChunk(events []byte) error {
	if s.expired {
		return errors.WithStack(context.DeadlineExceeded)
	}
	if s.refusal != nil {
		return errors.WithStack(ErrUpstreamFailed)
	}
	if s.status == 0 && !s.job.responseBegun {
		return errors.Wrap(ErrTruncated, "the response has no beginning")
	}
	s.noteFirst()
	if s.job.route.Kind != catalog.Streaming {
		return s.job.sink.WriteChunk(events)
	}
	for event := range bytes.SplitAfterSeq(events, eventEnd) {
		if id := eventID(event); id != "" {
			s.job.lastEventID = id
		}
	}
	s.job.pauses.noteEvent(time.Now(), s.job.lastEventID)
	return s.job.sink.WriteChunk(events)
}

// Flush implements Sink.
func (s *forwardSink) Flush() error { return s.job.sink.Flush() }

func (s *forwardSink) noteFirst() {
	if s.job.timeToFirst == 0 {
		s.job.timeToFirst = time.Since(s.job.request.Arrived)
	}
}

// ServeForwarded serves a request that another VM has admitted: its key and its team's rate have been checked there.
func (c *Core) ServeForwarded(ctx context.Context, f Forwarded, sink Sink) ForwardEnd {
	j, refusal := c.newForwardedJob(f)
	if refusal != nil {
		sink.Refuse(*refusal)
		return ForwardEnd{Sends: f.Sends, PossibleRuns: f.PossibleRuns}
	}
	j.sink = sink
	ctx, cancel := j.withDeadline(ctx)
	defer cancel()
	err := j.run(ctx)
	c.logEnd(j)
	return ForwardEnd{Sends: j.sends, PossibleRuns: j.possibleRuns, Upstream: j.upstream, Truncated: err != nil}
}

// newForwardedJob returns the job of a request that another VM has admitted, or why this VM does not take it.
func (c *Core) newForwardedJob(f Forwarded) (*job, *Refusal) {
	config := c.catalog.Load()
	if config == nil || c.refusing.Load() {
		return nil, notReadyRefusal()
	}
	route := config.Match(f.Request.Host, f.Request.Path)
	if route == nil || (f.Service != "" && !route.Serves(f.Service)) {
		// The other VM has another configuration.
		return nil, &Refusal{
			Status: http.StatusServiceUnavailable, Reason: "configuration_outdated",
			Detail: "the VM that was handed the request does not know its route; the request was not run", RetryAfter: outdatedRetry,
		}
	}
	j := c.newJob(config, route, f.Request, f.Team)
	j.fromVM = true
	j.sends, j.possibleRuns, j.lastEventID, j.responseBegun = f.Sends, f.PossibleRuns, f.LastEventID, f.ResponseBegun
	j.version = f.Version
	if f.Service != "" {
		j.service = f.Service
	}
	j.setDeadlines()
	j.due = f.Request.Arrived.Add(max(f.DueIn, time.Millisecond))
	return j, nil
}
