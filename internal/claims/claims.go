package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/claim"
	"github.com/chestnutarch/chestnutarch/internal/kv"
)

const (
	// DefaultTimeout is the default of Options.Timeout.
	DefaultTimeout = 3 * time.Second
	// storeTimeout bounds the attempts to store an answer.
	storeTimeout = 5 * time.Minute
	// maxClaimRounds bounds how often one request submits an operation on a claim
	// that other requests are trying to take over as well.
	maxClaimRounds = 4
)

// AttemptQuerier queries a VM for the state of an attempt that the VM made.
type AttemptQuerier interface {
	// QueryAttempt returns the attempt's state and its answer, or an error if the VM did
	// not reply.
	QueryAttempt(ctx context.Context, vm, attempt string) (claim.State, *claim.Answer, error)
}

// Options configures Claims.
type Options struct {
	// Store is the key-value service.
	Store kv.Store
	// Environment is the name of the environment.
	Environment string
	// VM is this VM's name.
	VM string
	// Querier queries other VMs.
	Querier AttemptQuerier
	// Forwarder submits operations to other VMs. If it is nil, every operation is
	// executed locally.
	Forwarder Forwarder
	// Preferred returns the VM that should write a shard, or "" if there is none.
	// It is required with a Forwarder and must not block.
	Preferred func(shard int) string
	// Timeout bounds the time to settle a claim. The default is 3s.
	Timeout time.Duration
}

// Claims manages this VM's attempts and its access to the claims of the fleet. It is
// safe for concurrent use. Operations are executed only while Run is running.
type Claims struct {
	options       Options
	shards        [claim.Shards]*shard
	nextID        atomic.Uint64
	pendingStores sync.WaitGroup

	// mu makes dispatching an attempt and reporting it as never dispatched mutually
	// exclusive.
	mu       sync.Mutex
	attempts *claim.Attempts
}

// New returns Claims that have not read anything from the key-value service yet.
func New(o Options) *Claims {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	c := &Claims{options: o, attempts: claim.NewAttempts()}
	for i := range c.shards {
		prefix := fmt.Sprintf("/chestnut/%s/claims/%02d/", o.Environment, i)
		c.shards[i] = newShard(o.Store, prefix)
	}
	return c
}

// Run serves the shards until ctx ends. Operations that are waiting then are refused.
func (c *Claims) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range c.shards {
		group.Go(func() error { return s.run(ctx) })
	}
	return group.Wait()
}

// Flush waits until the storing of all answers so far has ended. It returns the
// context's error if ctx ends first.
func (c *Claims) Flush(ctx context.Context) error {
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		c.pendingStores.Wait()
	}()
	select {
	case <-stored:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Attempt is the permission to run an action once.
type Attempt struct {
	claims *Claims
	record claim.Record
}

// Claim ensures that an action with an idempotency key has not run and that no other
// request runs it. It returns ErrUnavailable, ErrKeyReused, ErrInProgress,
// ErrOutcomeUnknown or an *AnsweredError if that is not the case. The caller must
// end the attempt with Answered, Lost or Abandon.
func (c *Claims) Claim(ctx context.Context, team, idempotencyKey, body string) (*Attempt, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	op := claim.Op{Kind: claim.Claim}
	rechecked := false
	for range maxClaimRounds {
		op.Record = claim.Record{
			Key: claim.KeyOf(team, idempotencyKey), BodyDigest: body, VM: c.options.VM,
			Attempt: uuid.NewString(), ClaimedAt: time.Now(),
		}
		verdict := c.submitAttempt(ctx, op)
		if verdict.Granted {
			return &Attempt{claims: c, record: op.Record}, nil
		}
		if verdict.Found == nil {
			return nil, errors.Wrap(ErrUnavailable, verdict.Err.Error())
		}
		from, err := c.resolveExisting(ctx, verdict.Found, body)
		switch {
		case errors.Is(err, ErrOutcomeUnknown) && !rechecked:
			// Between the read of the claim and the query, the claimant may have
			// stored the answer and forgotten the attempt. Reading the claim once
			// more finds the answer in that case.
			rechecked = true
			op.Kind, op.From = claim.Claim, ""
		case err != nil:
			return nil, err
		default:
			op.Kind, op.From = claim.TakeOver, from
		}
	}
	return nil, errors.WithStack(ErrInProgress)
}

// submitAttempt submits an operation under a new attempt. Unless the operation is
// granted the attempt is abandoned, so that the action is not run even if the claim
// is written later.
func (c *Claims) submitAttempt(ctx context.Context, op claim.Op) claim.Verdict {
	id := op.Record.Attempt
	c.withAttempts(func(a *claim.Attempts) { a.Begin(id, op.Record.ClaimedAt) })
	op.ID = c.nextID.Add(1)
	op.Deadline, _ = ctx.Deadline()
	verdict := c.execute(ctx, op)
	c.withAttempts(func(a *claim.Attempts) {
		if verdict.Granted {
			a.Grant(id)
			return
		}
		a.Abandon(id)
	})
	return verdict
}

// resolveExisting decides what an existing claim means for a request. It returns the
// attempt that the request may take over, or the error to return from Claim.
func (c *Claims) resolveExisting(ctx context.Context, found *claim.Record, body string) (string, error) {
	if found.BodyDigest != body {
		return "", errors.WithStack(ErrKeyReused)
	}
	if found.Answer != nil {
		return "", &AnsweredError{Answer: found.Answer}
	}
	state, answer, err := c.queryAttempt(ctx, found)
	if err != nil {
		return "", errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	switch state {
	case claim.Abandoned:
		return found.Attempt, nil
	case claim.Done:
		return "", &AnsweredError{Answer: answer}
	case claim.Waiting, claim.Running:
		return "", errors.WithStack(ErrInProgress)
	}
	return "", errors.WithStack(ErrOutcomeUnknown)
}

func (c *Claims) queryAttempt(ctx context.Context, found *claim.Record) (claim.State, *claim.Answer, error) {
	if found.VM == c.options.VM {
		state, answer := c.State(found.Attempt)
		return state, answer, nil
	}
	return c.options.Querier.QueryAttempt(ctx, found.VM, found.Attempt)
}

// State returns the state of an attempt that this VM made, and its answer if it is
// done.
func (c *Claims) State(attempt string) (state claim.State, answer *claim.Answer) {
	c.withAttempts(func(a *claim.Attempts) { state, answer = a.Lookup(attempt) })
	return state, answer
}

func (c *Claims) withAttempts(f func(*claim.Attempts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.attempts)
}

// Dispatch reports whether the action may be sent now. It returns true only once,
// unless RevertDispatch reverts the dispatch.
func (t *Attempt) Dispatch() (allowed bool) {
	t.claims.withAttempts(func(a *claim.Attempts) { allowed = a.Dispatch(t.record.Attempt, time.Now()) })
	return allowed
}

// RevertDispatch reverts a dispatch of which no byte can have reached the upstream.
func (t *Attempt) RevertDispatch() {
	t.claims.withAttempts(func(a *claim.Attempts) { a.RevertDispatch(t.record.Attempt) })
}

// Abandon gives the attempt up. It reports whether the action is certain not to have
// run. The claim remains, and the next request with the key takes it over.
func (t *Attempt) Abandon() (notRun bool) {
	t.claims.withAttempts(func(a *claim.Attempts) { notRun = a.Abandon(t.record.Attempt) })
	return notRun
}

// MarkLost ends an attempt that was dispatched and whose outcome is unknown.
func (t *Attempt) MarkLost() {
	t.claims.withAttempts(func(a *claim.Attempts) { a.Forget(t.record.Attempt) })
}

// Complete ends an attempt with its answer. It returns immediately and the answer is
// stored in the background. Until it is stored, this VM returns it to VMs that query
// the attempt. A body larger than claim.MaxAnswerBytes is omitted.
func (t *Attempt) Complete(status int, contentType string, body []byte) {
	answer := &claim.Answer{Status: status, ContentType: contentType, Body: body}
	if len(body) > claim.MaxAnswerBytes {
		answer.Body, answer.Omitted = nil, true
	}
	c := t.claims
	c.withAttempts(func(a *claim.Attempts) { a.Answer(t.record.Attempt, answer) })
	c.pendingStores.Add(1)
	go func() {
		defer c.pendingStores.Done()
		c.storeAnswer(t.record, answer)
	}()
}

func (c *Claims) storeAnswer(r claim.Record, answer *claim.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	r.Answer = answer
	op := claim.Op{ID: c.nextID.Add(1), Kind: claim.Store, Record: r}
	op.Deadline, _ = ctx.Deadline()
	c.execute(ctx, op)
	c.withAttempts(func(a *claim.Attempts) { a.Forget(r.Attempt) })
}
