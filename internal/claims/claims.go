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
	// storeTimeout is how long an answer is tried to be stored.
	storeTimeout = 5 * time.Minute
	// maxHandOvers bounds how often one request looks at a claim that other
	// requests want to take over too.
	maxHandOvers = 4
)

// Asker asks a VM about an attempt that it has made.
type Asker interface {
	// Ask returns the attempt's state and its answer, or an error if the VM did
	// not say.
	Ask(ctx context.Context, vm, attempt string) (claim.State, *claim.Answer, error)
}

// Options configures Claims.
type Options struct {
	// Store is the key-value service.
	Store kv.Store
	// Environment is the name of the environment.
	Environment string
	// VM is this VM's name.
	VM string
	// Asker asks other VMs.
	Asker Asker
	// Forwarder has other VMs carry operations out. It may be nil.
	Forwarder Forwarder
	// Preferred returns the VM that should write a shard, or "". It is needed
	// with a Forwarder and must not block.
	Preferred func(shard int) string
	// Timeout bounds how long a claim may take to be settled. The default is 3s.
	Timeout time.Duration
}

// Claims holds this VM's part in the claims. It is safe for concurrent use. Run
// makes it work.
type Claims struct {
	options Options
	shards  [claim.Shards]*shard
	nextID  atomic.Uint64
	stores  sync.WaitGroup

	// mu makes the decision to dispatch an attempt and the word that it will never
	// be dispatched exclude each other.
	mu       sync.Mutex
	attempts *claim.Attempts
}

// New returns claims of which nothing is known yet.
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

// Run serves the shards until ctx ends. What waits then is refused.
func (c *Claims) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range c.shards {
		group.Go(func() error { return s.run(ctx) })
	}
	return group.Wait()
}

// Flush waits until the answers that are known have been stored, or ctx ends.
func (c *Claims) Flush(ctx context.Context) error {
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		c.stores.Wait()
	}()
	select {
	case <-stored:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Attempt is leave to run an action once.
type Attempt struct {
	claims *Claims
	record claim.Record
}

// Claim makes sure that an action with an idempotency key has not run and that no
// other request runs it. Errors are ErrUnavailable, ErrKeyReused, ErrInProgress or
// ErrOutcomeUnknown, or an *AnsweredError. The attempt must be ended by Answered,
// Lost or Abandon.
func (c *Claims) Claim(ctx context.Context, team, idempotencyKey, body string) (*Attempt, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	op := claim.Op{Kind: claim.Claim}
	checkedAgain := false
	for range maxHandOvers {
		op.Record = claim.Record{
			Key: claim.KeyOf(team, idempotencyKey), Body: body, VM: c.options.VM,
			Attempt: uuid.NewString(), ClaimedAt: time.Now(),
		}
		verdict := c.try(ctx, op)
		if verdict.Granted {
			return &Attempt{claims: c, record: op.Record}, nil
		}
		if verdict.Found == nil {
			return nil, errors.Wrap(ErrUnavailable, verdict.Err.Error())
		}
		from, err := c.judge(ctx, verdict.Found, body)
		switch {
		case errors.Is(err, ErrOutcomeUnknown) && !checkedAgain:
			// Between the reading of the claim and the question, the claimant may
			// have stored the answer and forgotten the attempt. The claim as it
			// stands now says so.
			checkedAgain = true
			op.Kind, op.From = claim.Claim, ""
		case err != nil:
			return nil, err
		default:
			op.Kind, op.From = claim.TakeOver, from
		}
	}
	return nil, errors.WithStack(ErrInProgress)
}

// try submits an operation under a new attempt. Unless it is granted the attempt
// is abandoned, so that whatever still happens to the claim, it is not run.
func (c *Claims) try(ctx context.Context, op claim.Op) claim.Verdict {
	id := op.Record.Attempt
	c.with(func(a *claim.Attempts) { a.Begin(id, op.Record.ClaimedAt) })
	op.ID = c.nextID.Add(1)
	op.Deadline, _ = ctx.Deadline()
	verdict := c.do(ctx, op)
	c.with(func(a *claim.Attempts) {
		if verdict.Granted {
			a.Grant(id)
			return
		}
		a.Abandon(id)
	})
	return verdict
}

// judge decides what a claim that stands means for a request. It returns the
// attempt that may be replaced.
func (c *Claims) judge(ctx context.Context, found *claim.Record, body string) (string, error) {
	if found.Body != body {
		return "", errors.WithStack(ErrKeyReused)
	}
	if found.Answer != nil {
		return "", &AnsweredError{Answer: found.Answer}
	}
	state, answer, err := c.ask(ctx, found)
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

func (c *Claims) ask(ctx context.Context, found *claim.Record) (claim.State, *claim.Answer, error) {
	if found.VM == c.options.VM {
		state, answer := c.State(found.Attempt)
		return state, answer, nil
	}
	return c.options.Asker.Ask(ctx, found.VM, found.Attempt)
}

// State returns the state of an attempt of this VM, for one that asks.
func (c *Claims) State(attempt string) (state claim.State, answer *claim.Answer) {
	c.with(func(a *claim.Attempts) { state, answer = a.Ask(attempt) })
	return state, answer
}

func (c *Claims) with(f func(*claim.Attempts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.attempts)
}

// Dispatch reports whether the action may be sent now. It is true once, until
// Unsent.
func (t *Attempt) Dispatch() (may bool) {
	t.claims.with(func(a *claim.Attempts) { may = a.Dispatch(t.record.Attempt, time.Now()) })
	return may
}

// Unsent takes a dispatch back of which no byte can have reached the upstream.
func (t *Attempt) Unsent() {
	t.claims.with(func(a *claim.Attempts) { a.Unsent(t.record.Attempt) })
}

// Abandon gives the attempt up. It reports whether "not run" is true. The claim
// stays, and whoever tries the key again takes it over.
func (t *Attempt) Abandon() (notRun bool) {
	t.claims.with(func(a *claim.Attempts) { notRun = a.Abandon(t.record.Attempt) })
	return notRun
}

// Lost ends an attempt that was dispatched and whose outcome is unknown.
func (t *Attempt) Lost() {
	t.claims.with(func(a *claim.Attempts) { a.Forget(t.record.Attempt) })
}

// Answered ends an attempt with its answer. It returns at once; the answer is
// stored meanwhile, and until then this VM tells it to those that ask.
func (t *Attempt) Answered(status int, contentType string, body []byte) {
	answer := &claim.Answer{Status: status, ContentType: contentType, Body: body}
	if len(body) > claim.MaxAnswerBytes {
		answer.Body, answer.Omitted = nil, true
	}
	c := t.claims
	c.with(func(a *claim.Attempts) { a.Answer(t.record.Attempt, answer) })
	c.stores.Add(1)
	go func() {
		defer c.stores.Done()
		c.store(t.record, answer)
	}()
}

func (c *Claims) store(r claim.Record, answer *claim.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	r.Answer = answer
	op := claim.Op{ID: c.nextID.Add(1), Kind: claim.Store, Record: r}
	op.Deadline, _ = ctx.Deadline()
	c.do(ctx, op)
	c.with(func(a *claim.Attempts) { a.Forget(r.Attempt) })
}
