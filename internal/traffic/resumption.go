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
	o, stream := &j.core.options, j.streamID()
	if origin, ok := o.Origins.Find(stream, time.Now()); ok && j.request.Resumes != "" && !origin.Ambiguous {
		return j.bind(origin, versionOwn)
	}
	j.waitingFor = waitOrigin
	if origin, ok := o.AskOrigin(ctx, stream); ok && !origin.Ambiguous {
		return j.bind(origin, versionPeer)
	}
	if len(j.route.Shares) == 1 {
		if version, ok := o.OnlyVersion(ctx, j.service); ok {
			return j.bind(origins.Origin{Service: j.service, Version: version}, versionOnly)
		}
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
	parts := make([]string, 0, len(j.request.Parts))
	for _, part := range j.request.Parts {
		parts = append(parts, part.ID)
	}
	return origins.StreamOfContents(j.team, j.request.hash(parts...))
}

// bind restricts the request to the service and the version of its stream's origin. A route may be divided between services,
// by the ID of each attempt.
func (j *job) bind(o origins.Origin, source versionSource) error {
	j.version, j.versionSource, j.begunAt = o.Version, source, o.BegunAt
	if !j.route.Serves(o.Service) {
		return errors.Wrapf(&assign.Refused{Cause: assign.ErrVersionNotServed}, "stream of service %q", o.Service)
	}
	j.service = o.Service
	return nil
}

// noteEvent records an event that is about to be forwarded: the first one binds the request to its upstream's version.
func (j *job) noteEvent(choice *assign.Choice, silence *handover, event []byte) {
	if j.version == "" && j.lastEventID == "" {
		j.version, j.versionSource, j.begunAt = choice.Version, versionOwn, time.Now()
		silence.bind(j.version)
	}
	if !j.originShared && j.route.Repeatable() {
		j.originShared = true
		j.shareOrigin()
	}
	if id := eventID(event); id != "" {
		j.lastEventID = id
	}
}

// shareOrigin has this VM and others remember which version began the stream, by its attempt and by its contents.
func (j *job) shareOrigin() {
	now := time.Now()
	origin := origins.Origin{Service: j.service, Version: j.version, BegunAt: j.begunAt}
	if !origin.Known() {
		return
	}
	if origin.BegunAt.IsZero() {
		origin.BegunAt = now
	}
	for _, origin.Stream = range []origins.Stream{j.streamID(), j.contentsID()} {
		j.core.options.Origins.Record(origin, now)
		j.core.options.ShareOrigin(origin)
	}
}
