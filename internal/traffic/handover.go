package traffic

import (
	"maps"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

const (
	// resumeSilence is how long an upstream that shows no sign of life keeps a stream that
	// can go on elsewhere. Callers leave after two seconds.
	resumeSilence = 1200 * time.Millisecond
	// waitingShare is the part of a caller's patience for which an engine that goes on with
	// other streams keeps one that is silent.
	waitingShare = 0.5
	// leastPatience, objectivePatience and pausePatience say how long callers wait for the
	// next event of a stream: the longest of a fixed time and of multiples of the route's
	// two objectives.
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	pausePatience     = 8
	// handoverRetry is the pause between two looks for another place.
	handoverRetry = 200 * time.Millisecond
	// livesWithin is how lately an engine has to have passed on an event of any stream to
	// count as alive.
	livesWithin = 400 * time.Millisecond
)

// handover ends an exchange whose upstream says nothing, and moves its request to another
// one. An upstream that has gone dark sends no reset, so its callers would wait until they
// give up.
//
// Silence alone is no proof. An engine that runs out of memory puts streams back for
// seconds and then goes on with them, and one whose batch is full lets requests wait.
// Ended too early, an answer that was still being made is lost. So an exchange is ended
// only once a place elsewhere is booked and the retry budget allows the repeat, and later
// if the engine passes on events of other streams meanwhile.
type handover struct {
	job      *job
	ask      assign.Ask
	instance string
	// silence is how long the upstream may say nothing, waiting the same for an engine that
	// goes on with other streams.
	silence, waiting time.Duration
	end              func()

	mu      sync.Mutex
	timer   *time.Timer
	heard   time.Time
	stopped bool
	// next is the place that was booked.
	next *assign.Choice
}

// watchSilence starts the watch over an exchange, or returns nil where the request may not
// go to another upstream. end must make the exchange fail at once.
func (j *job) watchSilence(choice *assign.Choice, end func()) *handover {
	if !j.route.Repeatable() || j.ran+1 >= j.route.Attempts || j.route.Objective == 0 || j.sends >= maxSends {
		return nil
	}
	h := &handover{job: j, ask: j.ask(), instance: choice.Instance, end: end, heard: time.Now()}
	h.ask.Avoid = maps.Clone(j.avoid)
	if h.ask.Avoid == nil {
		h.ask.Avoid = make(map[string]bool)
	}
	h.ask.Avoid[choice.Instance] = true
	h.silence = time.Duration(repeatAfter * float64(j.route.Objective))
	if j.route.Kind == catalog.Streaming {
		h.silence = max(resumeSilence, 3*choice.Expected)
	}
	h.waiting = max(h.silence, time.Duration(waitingShare*float64(callerPatience(j.route))))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(h.silence, h.expired)
	return h
}

// callerPatience is how long callers wait for the next event of a stream.
func callerPatience(r *catalog.Route) time.Duration {
	return max(leastPatience, objectivePatience*r.Objective, pausePatience*r.GapObjective)
}

// noteEvent notes a sign of life of the exchange itself.
func (h *handover) noteEvent(now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard = now
}

// expired runs when the exchange may have been silent for long enough.
func (h *handover) expired() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	now := time.Now()
	if left := h.silence - now.Sub(h.heard); left > 0 {
		h.timer.Reset(left)
		return
	}
	h.next = h.book(now)
	if h.next == nil {
		h.timer.Reset(handoverRetry)
		return
	}
	h.stopped = true
	h.end()
}

// book takes a place elsewhere, nil if there is none or the exchange should go on.
func (h *handover) book(now time.Time) *assign.Choice {
	o := &h.job.core.options
	if now.Sub(h.heard) < h.waiting && o.Assigner.Lives(h.instance, livesWithin, now) {
		return nil
	}
	if h.job.deadline.Sub(now) < leastWork {
		return nil
	}
	choice, err := o.Assigner.Choose(h.ask, now)
	if err != nil {
		return nil
	}
	if !o.Budget.Take(h.job.service, o.VMs(), now) {
		o.Assigner.Finish(choice, assign.Neutral, now)
		return nil
	}
	return choice
}

// stop ends the watch and returns the place that was booked, nil if there is none.
func (h *handover) stop() *assign.Choice {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	h.timer.Stop()
	return h.next
}
