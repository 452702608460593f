package traffic

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/origins"
)

// This file keeps a stream at the service and the software version that began it, also when its caller resumes it here.

// versionSource says how this VM knows which version began a stream, as it is written to logs.
type versionSource string

const (
	// versionOwn: this VM has forwarded events of the stream, or keeps its origin for others.
	versionOwn versionSource = "own"
	// versionForwarded: the VM that handed the request over told it.
	versionForwarded versionSource = "forwarded"
	versionPeer      versionSource = "peer"
	// versionOnly: no other version has served for longer than callers wait for a stream.
	versionOnly versionSource = "only"
)

// resolveVersion finds out which version began the stream that a caller resumes. It returns ErrVersionUnknown, wrapped,
// if that is not known: an upstream goes on from any event, whatever version wrote those before. It returns
// assign.ErrVersionNotServed, wrapped, if the route leads to another service now.
func (j *job) resolveVersion(ctx context.Context) error {
	if j.version != "" {
		j.versionSource = versionForwarded
		return nil
	}
	if j.route.Kind != catalog.Streaming || j.request.ResumeAfter == "" {
		return nil
	}
	o := &j.core.options
	if origin, ok := o.Origins.Find(j.streamID(), time.Now()); ok && j.request.Resumes != "" && !origin.Ambiguous {
		return j.bind(origin, versionOwn)
	}
	j.waitingFor = waitOrigin
	if origin, ok := o.AskOrigin(ctx, j.streamID()); ok && !origin.Ambiguous {
		return j.bind(origin, versionPeer)
	}
	if version, ok := o.OnlyVersion(j.service); ok && len(j.route.Shares) == 1 {
		return j.bind(origins.Origin{Service: j.service, Version: version}, versionOnly)
	}
	j.core.countVersionUnknown()
	return errors.Wrapf(ErrVersionUnknown, "stream of attempt %q", j.request.Resumes)
}

// streamID identifies the stream of the request: by the attempt that brought its first event, or by the contents of the
// request if its caller resumes a stream and names no attempt.
func (j *job) streamID() origins.Stream {
	switch {
	case j.request.ResumeAfter == "":
		return origins.StreamOf(j.team, j.request.ID)
	case j.request.Resumes != "":
		return origins.StreamOf(j.team, j.request.Resumes)
	}
	return j.contentsID()
}

// contentsID identifies the stream of the request by what stays the same when its caller resumes it.
func (j *job) contentsID() origins.Stream {
	q := j.request
	contents := []string{q.Method, q.Host, q.Target, q.Model, q.Adapter, string(q.Body)}
	for _, part := range q.Parts {
		contents = append(contents, part.ID)
	}
	return origins.StreamOfContents(j.team, contents...)
}

// bind restricts the request to the service and the version of its stream's origin. A route may be divided between services,
// by the ID of each attempt.
func (j *job) bind(o origins.Origin, source versionSource) error {
	j.version, j.versionSource, j.begunAt = o.Version, source, o.BegunAt
	if !j.route.Serves(o.Service) {
		return errors.Wrapf(assign.ErrVersionNotServed, "stream of service %q", o.Service)
	}
	j.service = o.Service
	return nil
}

// noteEvent records an event that is about to be forwarded: the first one binds the request to its upstream's version.
func (j *job) noteEvent(choice *assign.Choice, silence *handover, event []byte) {
	now := time.Now()
	if j.version == "" && j.lastEventID == "" {
		j.version, j.versionSource, j.begunAt = choice.Version, versionOwn, now
		silence.bind(j.version)
	}
	if !j.originShared && j.route.Repeatable() {
		j.originShared = true
		begunAt := j.begunAt
		if begunAt.IsZero() {
			begunAt = now
		}
		for _, stream := range []origins.Stream{j.streamID(), j.contentsID()} {
			j.core.shareOrigin(origins.Origin{Stream: stream, Service: j.service, Version: j.version, BegunAt: begunAt}, now)
		}
	}
	if id := eventID(event); id != "" {
		j.lastEventID = id
	}
}

// shareOrigin has this VM and others remember which version began a stream.
func (c *Core) shareOrigin(o origins.Origin, now time.Time) {
	if o.Version == "" {
		return
	}
	c.options.Origins.Record(o, now)
	c.options.ShareOrigin(o)
}
