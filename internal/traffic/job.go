package traffic

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/quarantine"
	"github.com/chestnutarch/chestnutarch/internal/teamrate"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

const (
	// maxSends bounds how often a request is sent, including sends to upstreams that
	// certainly did not run it.
	maxSends = 4
	// repeatAfter is the share of its objective after which an idempotent request that an
	// upstream has not answered is cancelled and sent to another one: late enough that a
	// healthy upstream has answered, early enough that the other one can still answer in
	// time.
	repeatAfter = 0.6
	// minTimeLeft is the time that must be left until the deadline for a request to be sent.
	minTimeLeft = 5 * time.Millisecond
	// holdPollInterval is how often a held request tries to reserve a slot even if none
	// was reported free.
	holdPollInterval = 20 * time.Millisecond
	// ensureTimeout bounds the wait for the leader to have an adapter loaded.
	ensureTimeout = 1500 * time.Millisecond
	// maxBufferedBody bounds the body of a response that is buffered before it is
	// forwarded, in bytes.
	maxBufferedBody = 16 << 20
)

// job is one admitted request.
type job struct {
	core    *Core
	catalog *catalog.Catalog
	route   *catalog.Route
	request *Request
	sink    Sink
	service string
	team    string
	units   float64

	// urgency is the team's priority if it has one, else the route's; 0 is the most urgent.
	urgency int
	// cost is the expected cost of the request, 0 if it needs not be admitted; room says what it may take of a room that is
	// short.
	cost time.Duration
	room assign.RoomRule
	// waits is set while the request counts as waiting for a slot.
	waits bool
	// due is when the response or its first event is due; deadline is the earlier of the
	// caller's and the route's timeout. A request for which no response has begun is given up at
	// giveUpAt, so that the caller is told before its own deadline.
	due, deadline, giveUpAt time.Time
	// expiry ends the request at giveUpAt, and at deadline once a response has begun.
	expiry *time.Timer

	// sends counts how often the request was sent, possibleRuns how many of these sends may
	// have run it.
	sends, possibleRuns int
	avoid               map[string]bool
	// brokeAlive names the avoided upstreams whose connection broke although they have not ended.
	brokeAlive map[string]bool
	prefixes   []assign.Prefix
	// lastEventID is the ID of the last event forwarded; responseBegun means that a
	// response was begun.
	lastEventID   string
	responseBegun bool
	// responseBegunShared is responseBegun, for other goroutines.
	responseBegunShared atomic.Bool
	// answerBegun means that the caller has received the beginning of an answer that is not a stream, so that the request is
	// not sent again.
	answerBegun bool
	// version is the version of the upstream software that began the stream, empty before the first event. originShared
	// means that other VMs are told of it.
	version      string
	originShared bool
	// modelRequested means that the leader was asked for the model at that version, modelComes that it brings it.
	modelRequested, modelComes bool
	// fromVM means that another VM has admitted the request and handed it over.
	fromVM bool
	// unreached means that several upstreams could not be connected to for this request, or all that are left, which one
	// alone does not show; notForwarded that no other VM takes it.
	unreached, notForwarded bool
	// connectFailures counts the connections that failed for this request.
	connectFailures int
	// sentTo is the upstream of the last exchange, as it was known then.
	sentTo *upstream.Instance
	// usedConnections are the connections on which the request was answered, in connectionRoom unless they are many.
	usedConnections []int64
	connectionRoom  [maxSends]int64
	// exchange is the state of the present exchange.
	exchange *exchangeState
	// contents is the hash that the attempts of a request share, 0 until it is needed.
	contents quarantine.Key
	// parts are the parts of the prompt that other requests may share, nil until they are needed.
	parts []quarantine.Part
	// quarantined is the part of the prompt that is quarantined, if any. onTrial means that the request is sent although it or
	// that part is held, to find out whether upstreams still end.
	quarantined quarantine.Part
	onTrial     bool
	// told are closed once the other VMs know of the upstreams that have ended under the request.
	told []<-chan struct{}
	// reserved is a slot that was reserved while an exchange was silent. The retry budget
	// has been charged for it.
	reserved *assign.Choice
	pauses   pauses
	// failureReply is an upstream's failure response, which is forwarded if no other
	// upstream gives a better one.
	failureReply *bufferedReply

	// The fields below are for logs and metrics.
	// waitingFor is what the request waits for, or waited for last.
	waitingFor  wait
	outcome     string
	status      int
	retryAfter  time.Duration
	upstream    string
	cause       error
	timeToFirst time.Duration
	expected    time.Duration
	// answer is what is known of the last answer of an upstream.
	answer answerLog
	// rate is the state of the team's rate if it refused the request.
	rate teamrate.State
	// versionSource says how version is known, begunAt when the stream began, zero if that is not known.
	versionSource versionSource
	begunAt       time.Time
	// writeWait is the time from the last choice of an upstream to the first byte that was written to it.
	writeWait time.Duration
	// writtenAt is when that byte was written, eventsBefore the number of events that the caller had got by then.
	writtenAt    time.Time
	eventsBefore int
}

// wait names what a request waits for, as it is written to logs.
type wait string

const (
	waitSlot       wait = "slot"
	waitPermit     wait = "permit"
	waitAdapter    wait = "adapter"
	waitModel      wait = "model"
	waitConnection wait = "connection"
	// waitNews: the table of upstreams is out of date, since the process stood still.
	waitNews     wait = "news"
	waitUpstream wait = "upstream"
	// waitVM: another VM has been offered the request, or has taken it.
	waitVM wait = "vm"
	// waitOrigin: other VMs are asked which version began the stream that is resumed.
	waitOrigin wait = "origin"
	// waitBreak: the exchange broke, and it is being found out whether its upstream has ended.
	waitBreak wait = "break"
)

type bufferedReply struct {
	status int
	header http.Header
	body   []byte
}

// failureKind says whether a failed send can have run the request.
type failureKind int

const (
	// notSent: the upstream has not received the request.
	notSent failureKind = iota
	// notExecuted: the upstream states that it did not run the request.
	notExecuted
	// unknown: the request may have run.
	unknown
	// withdrawn: before the first byte was written, the upstream was found to take no requests any more.
	withdrawn
	// quarantined: before the first byte was written, the request was found to end upstreams.
	quarantined
)

// failureKindNames are the names of the kinds in logs.
var failureKindNames = map[failureKind]string{
	notSent: "not_sent", notExecuted: "not_executed", unknown: "unknown", withdrawn: "withdrawn", quarantined: "quarantined",
}

// String returns the name of the kind that is used in logs.
func (k failureKind) String() string { return failureKindNames[k] }

// failure is a send that gave no response to forward.
type failure struct {
	kind failureKind
	err  error
}

// run sends the request until it is answered or may not be sent again.
func (j *job) run(ctx context.Context) error {
	if err := j.claimRoom(time.Now()); err != nil {
		return j.endUnanswered(ctx, err)
	}
	if err := j.resolveVersion(ctx); err != nil {
		return j.endUnanswered(ctx, err)
	}
	for {
		if j.shouldForward() {
			taken, failed, err := j.forward(ctx)
			switch {
			case taken && failed == nil:
				return err
			case taken && (ctx.Err() != nil || !j.mayRepeat(failed.kind)):
				return j.endUnanswered(ctx, failed.err)
			case taken:
				continue
			}
		}
		choice, err := j.acquire(ctx)
		if err != nil && j.connectFailures > 0 && !j.unreached && ctx.Err() == nil {
			// No upstream is left that was not tried; another VM may reach those that were.
			j.unreached = true
			continue
		}
		if err != nil && ctx.Err() == nil && j.readmitBroken(err) {
			continue
		}
		if err != nil {
			return j.endUnanswered(ctx, err)
		}
		failed := j.attempt(ctx, choice)
		if failed == nil {
			j.releaseReserved()
			return nil
		}
		j.cause = failed.err
		if failed.kind == withdrawn && ctx.Err() == nil {
			continue
		}
		j.core.logSendFailed(j, choice, failed)
		if errors.Is(failed.err, ErrUnknown) {
			j.recordUnanswered(ctx)
		}
		if ctx.Err() != nil || (j.reserved == nil && !j.mayRepeat(failed.kind)) {
			j.releaseReserved()
			return j.endUnanswered(ctx, failed.err)
		}
	}
}

// releaseReserved releases a reserved slot that is not needed, because the exchange ended
// by itself just as it was about to be cancelled.
func (j *job) releaseReserved() {
	if j.reserved != nil {
		j.finish(j.reserved, assign.Neutral)
		j.reserved = nil
	}
}

// attempt sends the request once. It returns nil if the caller received a response.
func (j *job) attempt(ctx context.Context, choice *assign.Choice) *failure {
	instance := j.core.options.Instance(choice.Instance)
	if instance == nil {
		j.finish(choice, assign.Neutral)
		j.avoidInstance(choice.Instance)
		return &failure{kind: notSent, err: assign.ErrNoUpstream}
	}
	if j.core.options.Assigner.Withdrawn(choice, time.Now()) {
		return j.withdraw(choice)
	}
	j.sends++
	j.upstream, j.sentTo, j.expected = choice.Instance, instance, choice.Expected
	j.core.logSent(j, choice)
	if j.resumeAfter() != "" {
		j.core.logResumed(j, choice)
	}
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	exchange := j.beginExchange(choice, cancel)
	silence := j.watchSilence(choice, cancel)
	j.waitingFor, j.answer = waitConnection, answerLog{}
	defer func() { j.reserved = silence.stop() }()
	reply, err := j.core.options.Upstreams.Send(inner, Attempt{
		Request: j.request, Instance: instance, Team: j.team, TimeLeft: time.Until(j.deadline),
		Priority: j.enginePriority(choice), ResumeAfter: j.lastEventID, AvoidConnections: j.usedConnections, BeforeWrite: func() error { return j.checkWrite(inner, choice) },
	})
	j.core.options.Reach.End(exchange, (errors.Is(err, ErrNotSent) || errors.Is(err, ErrUnknown)) && oversizedIn(err) == nil && ctx.Err() == nil, time.Now())
	if errors.Is(err, ErrWithdrawn) {
		j.sends--
		return j.withdraw(choice)
	}
	if errors.Is(err, ErrQuarantined) {
		j.sends--
		j.finish(choice, assign.Neutral)
		return &failure{kind: quarantined, err: err}
	}
	if err != nil {
		return j.sendFailed(ctx, choice, err)
	}
	if j.usedConnections == nil {
		j.usedConnections = j.connectionRoom[:0]
	}
	j.usedConnections = append(j.usedConnections, reply.Connection)
	j.recordHead(reply)
	j.core.recordAlive(instance, choice.PlacedAt().Add(j.writeWait))
	j.core.options.Reach.Sign(j.service, time.Now())
	j.recordRateLimit(choice, reply)
	j.recordPushback(choice, instance, reply)
	j.recordLoad(choice, reply)
	if reply.NotExecuted {
		return j.refusedByUpstream(choice, reply)
	}
	j.possibleRuns++
	if reply.Status/100 == 2 && !reply.Signed {
		reply.Close(false)
		return j.failedBy(choice, errors.Wrapf(ErrMismatchedReply, "%s: successful response without the upstream's signature", choice.Instance))
	}
	if !j.mayPassOn(reply.Status, reply.Signed) {
		return j.promisedByUpstream(choice, reply)
	}
	if j.route.Kind == catalog.Streaming && reply.Status == http.StatusOK {
		silence.noteEvent(time.Now())
		return j.stream(ctx, choice, reply, silence)
	}
	if j.responseBegun {
		// The caller already has an upstream's headers, so a failure status cannot be sent.
		reply.Close(false)
		return j.streamBroke(ctx, choice, errors.Wrapf(ErrUpstreamFailed, "status %d", reply.Status))
	}
	return j.forwardAnswer(inner, cancel, choice, reply, silence)
}

// checkWrite is called when the first byte of the request is about to be written. It returns ErrWithdrawn if
// the upstream takes no requests any more: the choice may be seconds old, and so may be what it rests on; also if the
// request was given up meanwhile. It returns ErrQuarantined if upstreams have ended under the request meanwhile.
func (j *job) checkWrite(ctx context.Context, choice *assign.Choice) error {
	j.waitingFor = waitNews
	j.core.options.AwaitUpstreams(ctx)
	j.waitingFor = waitUpstream
	now := time.Now()
	j.writeWait, j.writtenAt, j.eventsBefore = now.Sub(choice.PlacedAt()), now, j.pauses.count
	if ctx.Err() != nil {
		return ErrWithdrawn
	}
	if j.core.options.Assigner.Withdrawn(choice, now) || !j.exchange.write() {
		return ErrWithdrawn
	}
	if reason, _, in := j.inQuarantine(); in && (reason != reasonSuspected || !j.trySuspected()) {
		return ErrQuarantined
	}
	return nil
}

// withdraw gives back a choice whose upstream takes no requests any more.
func (j *job) withdraw(choice *assign.Choice) *failure {
	j.core.logWithdrawn(j, choice)
	j.finish(choice, assign.Neutral)
	return &failure{kind: withdrawn, err: errors.Wrap(ErrWithdrawn, choice.Instance)}
}

// enginePriority returns the request's priority in an engine: by urgency, and after all
// requests that can still meet their objective if this one cannot.
func (j *job) enginePriority(c *assign.Choice) int {
	if c.Late {
		return latePriority
	}
	priority := 1 + 2*min(j.urgency, 3)
	if j.route.Objective > relaxedObjective {
		priority++
	}
	return priority
}

const (
	// latePriority is the lowest priority of an engine.
	latePriority = 9
	// relaxedObjective is the objective above which a route's requests rank below others
	// of the same urgency.
	relaxedObjective = 2 * time.Second
)

// sendFailed handles an exchange without a response.
func (j *job) sendFailed(ctx context.Context, choice *assign.Choice, err error) *failure {
	kind := unknown
	if errors.Is(err, ErrNotSent) {
		kind = notSent
		j.connectFailures++
		j.unreached = j.unreached || j.connectFailures > 1
	} else {
		j.possibleRuns++
	}
	outcome := assign.Failed
	if ctx.Err() != nil && time.Since(j.request.Arrived) < 2*j.due.Sub(j.request.Arrived) {
		// The caller disconnected early, which is no evidence against the upstream.
		outcome = assign.Neutral
	}
	j.finish(choice, outcome)
	j.avoidInstance(choice.Instance)
	return &failure{kind: kind, err: err}
}

// ErrUpstreamFailed means that an upstream ran a request and answered with a failure.
var ErrUpstreamFailed = errors.New("traffic: the upstream failed the request")

func (j *job) noteStarted(choice *assign.Choice) {
	if j.timeToFirst == 0 {
		j.timeToFirst = time.Since(j.request.Arrived)
	}
	j.core.options.Assigner.Started(choice, time.Now())
}

func (j *job) finish(choice *assign.Choice, outcome assign.Outcome) {
	j.core.options.Assigner.Finish(choice, outcome, time.Now())
	if outcome == assign.Succeeded {
		j.recordSlotTime(choice, time.Now())
	}
	if choice.Permit != 0 {
		j.core.options.ReleasePlace(choice.Key, choice.Permit, choice.Rejected)
		choice.Permit = 0
	}
}

// failedBy records that an upstream failed a request that it may have run.
func (j *job) failedBy(choice *assign.Choice, err error) *failure {
	j.finish(choice, assign.Failed)
	j.avoidInstance(choice.Instance)
	return &failure{kind: unknown, err: err}
}
