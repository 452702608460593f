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
// request failed. Without the wait, its next attempt could reach another VM before the news.
const shareTimeout = 500 * time.Millisecond

// contentsHash identifies a request by what stays the same when its caller repeats it: the team, the service and what
// the upstream is sent. The caller's ID is new in each attempt.
func (j *job) contentsHash() quarantine.Request {
	if j.contents != 0 {
		return j.contents
	}
	j.contents = quarantine.Request(j.request.hash(j.team, j.service))
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

// inQuarantine reports whether the request must not be sent any more, and for how long.
func (j *job) inQuarantine() (left time.Duration, in bool) {
	if !j.core.options.Quarantine.InUse() {
		return 0, false
	}
	return j.core.options.Quarantine.Quarantined(j.contentsHash(), time.Now())
}

// refuseQuarantined returns the refusal of a request that must not be sent any more, nil if it may be.
func (c *Core) refuseQuarantined(j *job) *Refusal {
	left, in := j.inQuarantine()
	if !in {
		return nil
	}
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: reasonQuarantined,
		Detail: "upstreams have ended while they ran this request; it was not run", RetryAfter: left,
	}
}

const reasonQuarantined = "request_quarantined"

// recordBreak records that an exchange broke without an answer, and begins to tell the other VMs if its upstream has ended.
func (j *job) recordBreak(ctx context.Context, i *upstream.Instance) {
	j.waitingFor = waitBreak
	if !j.core.options.HasEnded(ctx, i) {
		j.core.options.Quarantine.RecordBreak(j.contentsHash(), i.IncarnationID(), time.Now())
		if j.brokeAlive == nil {
			j.brokeAlive = make(map[string]bool)
		}
		j.brokeAlive[i.ID] = true
		return
	}
	j.told = append(j.told, j.core.recordEnd(j.request.ID, j.contentsHash(), i))
}

// recordSilence finds out whether the upstream of an exchange that was ended for its silence has ended. The request is sent
// elsewhere meanwhile.
func (j *job) recordSilence(i *upstream.Instance) {
	request, contents, told := j.request.ID, j.contentsHash(), make(chan struct{})
	j.told = append(j.told, told)
	go func() {
		defer close(told)
		if j.core.options.HasEnded(context.Background(), i) {
			<-j.core.recordEnd(request, contents, i)
		}
	}()
}

// recordEnd records that an upstream has ended while it had a request. The channel is closed once the other VMs know.
func (c *Core) recordEnd(request string, contents quarantine.Request, i *upstream.Instance) <-chan struct{} {
	c.options.Quarantine.RecordEnd(contents, i.IncarnationID(), time.Now())
	c.logUpstreamEnded(request, contents, i)
	return c.options.ShareEnds([]quarantine.Request{contents})
}

// awaitTold returns once the other VMs know of the upstreams that have ended under the request, after shareTimeout at the
// latest.
func (j *job) awaitTold(ctx context.Context) {
	timer := time.NewTimer(shareTimeout)
	defer timer.Stop()
	for _, told := range j.told {
		j.waitingFor = waitBreak
		select {
		case <-told:
		case <-timer.C:
			return
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

// recordAnswer records that an upstream has answered the request completely, whatever the answer was.
func (j *job) recordAnswer() {
	o := &j.core.options
	if o.Quarantine.InUse() && o.Quarantine.RecordAnswer(j.contentsHash(), time.Now()) {
		o.ShareEnds([]quarantine.Request{j.contentsHash()})
	}
}
