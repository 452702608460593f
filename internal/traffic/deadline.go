package traffic

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxAnswerReserve is the time that an answer of this VM needs to reach its caller, whose deadline runs from
	// when it sent the request. The reserve is also limited to the caller's timeout divided by
	// answerReserveDivisor.
	maxAnswerReserve     = 50 * time.Millisecond
	answerReserveDivisor = 20
	// forwardedReserveDivisor limits the reserve of a request that another VM has handed over, which is twice as long: the
	// answer has to reach that VM before it gives the request up.
	forwardedReserveDivisor = 4
)

// setDeadlines sets when the request is due, when it is given up, and its deadline.
func (j *job) setDeadlines() {
	wait := j.request.Timeout
	if wait == 0 {
		wait = defaultWait
	}
	giveUp := wait - j.answerReserve()
	if j.route.Timeout > 0 {
		wait, giveUp = min(wait, j.route.Timeout), min(giveUp, j.route.Timeout)
	}
	j.deadline, j.giveUpAt = j.request.Arrived.Add(wait), j.request.Arrived.Add(giveUp)
	j.due = j.deadline
	if j.route.Objective > 0 && j.route.Objective < wait {
		j.due = j.request.Arrived.Add(j.route.Objective)
	}
}

// allowUnread lets the caller leave an answer or a refusal unread until its deadline, if that is known.
func (j *job) allowUnread() {
	if sink, ok := j.sink.(unreadDeadliner); ok {
		sink.AllowUnreadUntil(j.deadline)
	}
}

// answerReserve returns how long before the caller's deadline an answer has to leave.
func (j *job) answerReserve() time.Duration {
	if j.fromVM {
		return min(2*maxAnswerReserve, j.request.Timeout/forwardedReserveDivisor)
	}
	return min(maxAnswerReserve, j.request.Timeout/answerReserveDivisor)
}

// withDeadline returns a context that ends when the request is to be given up: at giveUpAt, or at the deadline itself
// once a response has begun. Its cause is then context.DeadlineExceeded. It is ErrStopping if no response has begun when this VM
// stops.
func (j *job) withDeadline(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	j.expiry = time.AfterFunc(j.timeLeft(), func() { cancel(context.DeadlineExceeded) })
	keepRunning := context.AfterFunc(j.core.running, func() {
		if !j.responseBegunShared.Load() {
			cancel(ErrStopping)
		}
	})
	return ctx, func() {
		keepRunning()
		j.expiry.Stop()
		cancel(context.Canceled)
	}
}

// beginResponse records that a response begins, which may go on until the deadline. It returns false if the request has
// been given up.
func (j *job) beginResponse() bool {
	if !j.expiry.Stop() {
		return false
	}
	j.responseBegun = true
	j.responseBegunShared.Store(true)
	j.boundWrites()
	j.expiry.Reset(time.Until(j.deadline))
	return true
}

// timeLeft returns the time left until the request is given up.
func (j *job) timeLeft() time.Duration {
	if j.responseBegun {
		return time.Until(j.deadline)
	}
	return time.Until(j.giveUpAt)
}

// callerLeft reports whether the request's context has ended because the caller disconnected.
func callerLeft(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }
