package traffic

import (
	"maps"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

const (
	// minStreamSilence is the shortest time without an event after which a stream is moved
	// away from an inactive upstream. Callers disconnect after two seconds.
	minStreamSilence = 1200 * time.Millisecond
	// queuedSilenceShare is the share of the caller's event timeout for which a silent
	// stream stays on an engine that still produces events for other streams.
	queuedSilenceShare = 0.5
	// minEventTimeout, eventTimeoutObjectives and eventTimeoutGaps determine how long
	// callers wait for the next event of a stream: the longest of a fixed time and of
	// multiples of the route's two objectives.
	minEventTimeout        = 2 * time.Second
	eventTimeoutObjectives = 4
	eventTimeoutGaps       = 8
	// handoverRetryInterval is the time between two attempts to reserve a slot on another
	// upstream.
	handoverRetryInterval = 200 * time.Millisecond
	// activityWindow is how recently an engine must have sent an event of any stream to
	// count as active.
	activityWindow = 400 * time.Millisecond
)

// handover cancels an exchange whose upstream is silent and moves its request to another
// upstream. An upstream that has become unreachable sends no reset, so its callers would
// wait until they time out.
//
// Silence alone does not prove a failure. An engine that runs out of memory preempts
// streams for seconds and then continues them, and one whose batch is full queues requests.
// If the exchange is cancelled too early, a response that was still being generated is
// lost. An exchange is therefore cancelled only once a slot elsewhere is reserved and the
// retry budget allows the repeat, and later if the engine sends events of other streams
// meanwhile.
type handover struct {
	job      *job
	request  assign.Request
	instance string
	// silenceTimeout is how long the upstream may send nothing, queuedTimeout the same for
	// an engine that still sends events of other streams.
	silenceTimeout, queuedTimeout time.Duration
	cancel                        func()

	mu        sync.Mutex
	timer     *time.Timer
	lastEvent time.Time
	stopped   bool
	// reserved is the slot reserved on another upstream.
	reserved *assign.Choice
}

// watchSilence starts watching an exchange, or returns nil if the request may not be sent
// to another upstream. cancel must make the exchange fail at once.
func (j *job) watchSilence(choice *assign.Choice, cancel func()) *handover {
	if !j.route.Repeatable() || j.possibleRuns+1 >= j.route.Attempts || j.route.Objective == 0 || j.sends >= maxSends {
		return nil
	}
	h := &handover{job: j, request: j.assignRequest(), instance: choice.Instance, cancel: cancel, lastEvent: time.Now()}
	h.request.Avoid = maps.Clone(j.avoid)
	if h.request.Avoid == nil {
		h.request.Avoid = make(map[string]bool)
	}
	h.request.Avoid[choice.Instance] = true
	h.request.AllowUnresponsive = false
	// The reservation holds a lock that the stream needs, so it cannot wait for a permit.
	h.request.WithoutPermit = true
	h.silenceTimeout = time.Duration(repeatAfter * float64(j.route.Objective))
	if j.route.Kind == catalog.Streaming {
		h.silenceTimeout = max(minStreamSilence, 3*choice.Expected)
	}
	h.queuedTimeout = max(h.silenceTimeout, time.Duration(queuedSilenceShare*float64(callerEventTimeout(j.route))))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(h.silenceTimeout, h.onTimer)
	return h
}

// callerEventTimeout returns how long callers wait for the next event of a stream.
func callerEventTimeout(r *catalog.Route) time.Duration {
	return max(minEventTimeout, eventTimeoutObjectives*r.Objective, eventTimeoutGaps*r.GapObjective)
}

// noteEvent records that the exchange itself received something from its upstream.
func (h *handover) noteEvent(now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastEvent = now
}

// bind restricts reservations to the version that has begun the stream.
func (h *handover) bind(version string) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.request.Version = version
}

// onTimer runs when the exchange may have been silent for silenceTimeout. It cancels the
// exchange if a slot elsewhere can be reserved, and otherwise rearms the timer.
func (h *handover) onTimer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	now := time.Now()
	if left := h.silenceTimeout - now.Sub(h.lastEvent); left > 0 {
		h.timer.Reset(left)
		return
	}
	h.reserved = h.reserve(now)
	if h.reserved == nil {
		h.timer.Reset(handoverRetryInterval)
		return
	}
	h.stopped = true
	h.cancel()
}

// reserve reserves a slot on another upstream. It returns nil if there is none or the
// exchange should continue.
func (h *handover) reserve(now time.Time) *assign.Choice {
	o := &h.job.core.options
	if now.Sub(h.lastEvent) < h.queuedTimeout && o.Assigner.RecentlyActive(h.instance, activityWindow, now) {
		return nil
	}
	if h.job.deadline.Sub(now) < minTimeLeft {
		return nil
	}
	choice, err := o.Assigner.Choose(h.request, now)
	if err != nil {
		return nil
	}
	if !o.Budget.AllowRetry(h.job.service, o.VMs(), now) {
		o.Assigner.Finish(choice, assign.Neutral, now)
		return nil
	}
	return choice
}

// stop ends the watch and returns the reserved slot, nil if there is none.
func (h *handover) stop() *assign.Choice {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	h.timer.Stop()
	return h.reserved
}
