package traffic

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutarch/chestnutarch/internal/quarantine"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// This file keeps a request from being sent any more once several upstreams have ended under it.

// shareTimeout bounds the wait until the other VMs know of an upstream that ended, before the caller is told that its
// request failed. Without the wait, its next attempt could reach another VM before the news. Once the next end would be
// the last that is allowed, the wait ends with the request's time.
const shareTimeout = 500 * time.Millisecond

// Liveness is what a new connection shows of an upstream.
type Liveness int

const (
	// LivenessUnknown means that the connection was neither accepted nor refused in time.
	LivenessUnknown Liveness = iota
	// Alive means that something listens at the upstream's address.
	Alive
	// Ended means that nothing does.
	Ended
)

// livenessNames are the names in logs of what does not show an end.
var livenessNames = map[Liveness]string{LivenessUnknown: "no_sign", Alive: "alive"}

const (
	// maxLivenessChecks is how often an upstream is checked that shows nothing, livenessPause the time between two checks.
	maxLivenessChecks = 10
	livenessPause     = 100 * time.Millisecond
)

// contentsHash identifies a request by what stays the same when its caller repeats it: the team, the service and what
// the upstream is sent. The caller's ID is new in each attempt.
func (j *job) contentsHash() quarantine.Key {
	if j.contents != 0 {
		return j.contents
	}
	j.contents = quarantine.Key(j.request.hash(j.team, j.service))
	return j.contents
}

// hash returns a hash of some texts and of what an upstream is sent that stays the same when the caller repeats the request.
func (q *Request) hash(texts ...string) uint64 {
	h := xxhash.New()
	for _, part := range append(texts, q.Method, q.Host, q.Target, q.Model, q.Adapter) {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.Body)
	return h.Sum64()
}

// sharedParts returns the parts of the prompt that requests of the service may share.
func (j *job) sharedParts() []quarantine.Part {
	if j.parts != nil || len(j.request.Parts) < 2 {
		return j.parts
	}
	j.parts = make([]quarantine.Part, len(j.request.Parts)-1)
	for i := range j.parts {
		j.parts[i] = quarantine.Part{Key: partKey(j.service, j.request.Parts[i].ID), Depth: i + 1}
	}
	return j.parts
}

// partKey identifies a part of prompts at the upstreams of a service.
func partKey(service, id string) quarantine.Key {
	var h xxhash.Digest
	h.Reset()
	for _, text := range []string{service, "part", id} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	return quarantine.Key(h.Sum64())
}

// suspectParts returns the parts that may be to blame if the upstream has ended: an answer that has begun clears them.
func (j *job) suspectParts() []quarantine.Part {
	if j.begun() {
		return nil
	}
	return j.sharedParts()
}

// inQuarantine reports whether the request must not be sent any more, why, and for how long.
func (j *job) inQuarantine() (reason string, left time.Duration, in bool) {
	table, now := j.core.options.Quarantine, time.Now()
	if !table.InUse() {
		return "", 0, false
	}
	if left, in = table.Quarantined(j.contentsHash(), now); in {
		return reasonQuarantined, left, true
	}
	if left, in = table.Suspected(j.contentsHash(), j.core.options.VMs(), now); in && !j.onTrial {
		return reasonSuspected, left, true
	}
	part, left, in := table.QuarantinedPart(j.sharedParts(), now)
	if !in || j.onTrial {
		return "", 0, false
	}
	j.quarantined = part
	return reasonPartQuarantined, left, true
}

// refuseQuarantined returns the refusal of a request that must not be sent any more, nil if it may be.
func (c *Core) refuseQuarantined(j *job) *Refusal {
	reason, left, in := j.inQuarantine()
	if !in || (reason == reasonSuspected && left == 0) || (reason == reasonPartQuarantined && j.tryPart()) {
		return nil
	}
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: reason,
		Detail: quarantineDetails[reason], RetryAfter: left,
	}
}

// tryPart reports whether the request is sent although a part of its prompt is quarantined, to find out whether the part still
// ends upstreams.
func (j *job) tryPart() bool {
	if !j.core.options.MayTry() || !j.core.options.Quarantine.Try(j.quarantined, time.Now()) {
		return false
	}
	j.onTrial = true
	j.core.logPartTrial(j)
	return true
}

// trySuspected reports whether the request, which is about to be written, is sent although it is suspected to end upstreams,
// to find out whether it does.
func (j *job) trySuspected() bool {
	if !j.core.options.Quarantine.TrySuspected(j.contentsHash(), j.core.options.VMs(), time.Now()) {
		return false
	}
	j.onTrial = true
	j.core.logRequestTrial(j)
	return true
}

// quarantinedPart returns the ID of the part of the prompt that is quarantined, empty if none is.
func (j *job) quarantinedPart() string {
	if j.quarantined.Depth == 0 {
		return ""
	}
	return j.request.Parts[j.quarantined.Depth-1].ID
}

const (
	reasonQuarantined     = "request_quarantined"
	reasonSuspected       = "request_suspected"
	reasonPartQuarantined = "prompt_part_quarantined"
)

// quarantineDetails are the texts that callers are told, by reason.
var quarantineDetails = map[string]string{
	reasonQuarantined:     "upstreams have ended while they ran this request; it was not run",
	reasonSuspected:       "several upstreams have ended at once while they ran this request; it is sent one at a time until one is answered, and was not run",
	reasonPartQuarantined: "upstreams have ended while they ran requests with a part of this prompt; it was not run",
}

// minDarkSilence is how long an upstream has to have sent nothing for a given-up exchange to count as one with an upstream
// that may have gone dark.
const minDarkSilence = 500 * time.Millisecond

// recordUnanswered records what the end of an exchange without an answer says about its upstream, and begins to tell the
// other VMs if it has ended. Connections show nothing while the service is not reached, and an exchange that was given up
// may be that of an upstream that went dark: then the upstream's entry shows whether it has ended.
func (j *job) recordUnanswered(ctx context.Context) {
	if ctx.Err() != nil && j.silentFor(time.Now()) < minDarkSilence {
		return
	}
	j.onTrial = false
	u := j.unanswered()
	if news := j.core.options.Quarantine.RecordBreak(u.contents, u.sentTo.IncarnationID(), time.Now(), u.parts...); len(news) > 0 {
		j.told = append(j.told, j.core.shareEnd(u, news))
		return
	}
	switch {
	case ctx.Err() != nil:
		j.core.logBreakNotCounted(j, "given_up")
	case j.core.options.Reach.Cut(j.service):
		j.core.logBreakNotCounted(j, "service_unreachable")
	case j.reserved != nil:
		j.checkAgain(u)
	default:
		j.checkBreak(ctx, u)
	}
}

// silentFor returns for how long the upstream has sent nothing since the request was written to it.
func (j *job) silentFor(now time.Time) time.Duration {
	if j.begun() {
		return now.Sub(j.pauses.lastAt)
	}
	return now.Sub(j.writtenAt)
}

// begun reports whether the upstream has sent an event since the request was written to it.
func (j *job) begun() bool { return j.pauses.count > j.eventsBefore }

// checkBreak finds out whether the upstream of an exchange that broke has ended.
func (j *job) checkBreak(ctx context.Context, u unanswered) {
	j.waitingFor = waitBreak
	liveness := j.core.options.Liveness(ctx, u.sentTo)
	if liveness == Ended {
		j.told = append(j.told, j.core.recordEnd(u))
		return
	}
	if j.brokeAlive == nil {
		j.brokeAlive = make(map[string]bool)
	}
	j.brokeAlive[u.sentTo.ID] = true
	j.core.logBreakNotCounted(j, livenessNames[liveness])
	if liveness == LivenessUnknown {
		j.checkAgain(u)
	}
}

// checkAgain finds out whether the upstream of an exchange without an answer has ended. The request is sent elsewhere
// meanwhile.
func (j *job) checkAgain(u unanswered) {
	told := make(chan struct{})
	j.told = append(j.told, told)
	go func() {
		defer close(told)
		if j.core.liveness(u.sentTo) == Ended {
			<-j.core.recordEnd(u)
		}
	}()
}

// unanswered is an exchange that got no answer.
type unanswered struct {
	request  string
	contents quarantine.Key
	// parts are those that may be to blame.
	parts  []quarantine.Part
	sentTo *upstream.Instance
}

// unanswered returns the last exchange.
func (j *job) unanswered() unanswered {
	return unanswered{request: j.request.ID, contents: j.contentsHash(), parts: j.suspectParts(), sentTo: j.sentTo}
}

// liveness finds out about an upstream, also if a first connection shows nothing: this VM may lack processor time.
func (c *Core) liveness(i *upstream.Instance) Liveness {
	for range maxLivenessChecks - 1 {
		if l := c.options.Liveness(context.Background(), i); l != LivenessUnknown {
			return l
		}
		time.Sleep(livenessPause)
	}
	return c.options.Liveness(context.Background(), i)
}

// recordEnd records that the upstream of an exchange has ended. The channel is closed once the other VMs know.
func (c *Core) recordEnd(u unanswered) <-chan struct{} {
	news := c.options.Quarantine.RecordEnd(u.contents, u.sentTo.IncarnationID(), time.Now(), u.parts...)
	return c.shareEnd(u, news)
}

// shareEnd logs that the upstream of an exchange has ended, and tells the other VMs what is news.
func (c *Core) shareEnd(u unanswered, news []quarantine.Key) <-chan struct{} {
	c.logUpstreamEnded(u)
	return c.options.ShareEnds(news)
}

// awaitAllTold returns once the other VMs know of the upstreams that have ended under the request, or need not before the
// caller is told.
func (j *job) awaitAllTold(ctx context.Context) {
	if len(j.told) == 0 {
		return
	}
	short, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	j.awaitTold(short)
	ends := j.core.options.Quarantine.Ends(j.contentsHash())
	if ends < quarantine.MaxEnds-1 {
		return
	}
	if ends > len(j.told) {
		j.told = append(j.told, j.core.options.ShareEnds([]quarantine.Key{j.contentsHash()}))
	}
	j.awaitTold(ctx)
}

// awaitTold returns once the other VMs know of the ends that this VM has told.
func (j *job) awaitTold(ctx context.Context) {
	for _, told := range j.told {
		j.waitingFor = waitBreak
		select {
		case <-told:
		case <-ctx.Done():
			return
		}
	}
}

// recordAlive records that an upstream has answered a request that was written at a time.
func (c *Core) recordAlive(i *upstream.Instance, written time.Time) {
	if c.options.Quarantine.InUse() {
		c.options.Quarantine.RecordAlive(i.IncarnationID(), written)
	}
}

// recordAnswer records that an upstream has answered the request completely. A failure does not show that upstreams can run
// the request.
func (j *job) recordAnswer(status int) {
	o := &j.core.options
	if status/100 == 2 {
		j.recordBegun()
	}
	if status >= http.StatusInternalServerError {
		return
	}
	cleared := o.Quarantine.RecordAnswer(j.contentsHash(), time.Now())
	if cleared == 0 {
		return
	}
	j.core.logEndsCleared(j, cleared, status)
	if cleared > 1 {
		o.ShareEnds([]quarantine.Key{j.contentsHash()})
	}
}

// recordBegun records that an upstream has begun to answer the request.
func (j *job) recordBegun() {
	parts := j.sharedParts()
	if len(parts) == 0 {
		return
	}
	cleared := j.core.options.Quarantine.RecordBegun(parts, time.Now())
	for _, key := range cleared {
		j.core.logPartCleared(j, key)
	}
	if len(cleared) > 0 {
		j.core.options.ShareEnds(cleared)
	}
}
