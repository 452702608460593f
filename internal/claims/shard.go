package claims

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/claim"
	"github.com/chestnutarch/chestnutarch/internal/kv"
)

const (
	// callTimeout bounds one call to the key-value service.
	callTimeout = time.Second
	// retryDelay is the delay after a call that failed or had an unknown outcome.
	retryDelay = 50 * time.Millisecond
	// groupCommitInterval is the least time between two writes of a shard.
	// Operations that arrive in the meantime are written together. This bounds the
	// writes of all shards together to 800 a second, whatever the rate of actions.
	groupCommitInterval = 20 * time.Millisecond
	// preloadInterval is the time between two reads while a shard is preloaded and
	// no operation waits for it. All shards of a VM together then make 160 reads a
	// second, so that a whole fleet can start at once.
	preloadInterval = 100 * time.Millisecond
	// submissionBuffer is the capacity of a shard's submission channel.
	submissionBuffer = 256
)

// shard owns one shard's log in one goroutine. Operations that arrive while a call is
// in flight are batched into the next call.
type shard struct {
	store   kv.Store
	prefix  string
	log     *claim.Log
	waiting map[uint64]chan claim.Verdict
	ops     chan submission
	done    chan struct{}
	// lastWriteAt is when the last write began.
	lastWriteAt time.Time
}

type submission struct {
	op    claim.Op
	reply chan claim.Verdict
}

func newShard(store kv.Store, prefix string) *shard {
	return &shard{
		store:   store,
		prefix:  prefix,
		log:     claim.NewLog(claim.Options{}),
		waiting: make(map[uint64]chan claim.Verdict),
		ops:     make(chan submission, submissionBuffer),
		done:    make(chan struct{}),
	}
}

// execute submits an operation and waits for its verdict. The verdict is
// claim.ErrDeadline if ctx ends or the shard stops first.
func (s *shard) execute(ctx context.Context, op claim.Op) claim.Verdict {
	reply := make(chan claim.Verdict, 1)
	select {
	case s.ops <- submission{op: op, reply: reply}:
	case <-ctx.Done():
		return claim.Verdict{ID: op.ID, Err: claim.ErrDeadline}
	case <-s.done:
		return claim.Verdict{ID: op.ID, Err: claim.ErrDeadline}
	}
	select {
	case v := <-reply:
		return v
	case <-ctx.Done():
		return claim.Verdict{ID: op.ID, Err: claim.ErrDeadline}
	case <-s.done:
		return claim.Verdict{ID: op.ID, Err: claim.ErrDeadline}
	}
}

func (s *shard) run(ctx context.Context) error {
	defer close(s.done)
	if err := s.preload(ctx); err != nil {
		return err
	}
	for {
		if err := s.drainSubmissions(ctx); err != nil {
			return err
		}
		s.deliverVerdicts(s.log.Expire(time.Now()))
		if s.waitForWriteInterval(ctx) {
			continue
		}
		call, verdicts := s.log.Next(time.Now())
		s.deliverVerdicts(verdicts)
		if call == nil {
			continue
		}
		if !s.executeCall(ctx, *call) {
			sleep(ctx, retryDelay)
		}
	}
}

// waitForWriteInterval waits until the next write may begin, or until another
// operation arrives that can be written with it. It reports whether it waited.
func (s *shard) waitForWriteInterval(ctx context.Context) bool {
	left := groupCommitInterval - time.Since(s.lastWriteAt)
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case m := <-s.ops:
		s.enqueue(m)
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// preload reads the shard before it is needed, so that the first action does not wait
// for all of the shard's segments to be read. It ends early if an operation arrives.
func (s *shard) preload(ctx context.Context) error {
	for {
		call := s.log.NextRead()
		if call == nil {
			return nil
		}
		s.executeCall(ctx, *call)
		timer := time.NewTimer(preloadInterval)
		select {
		case m := <-s.ops:
			timer.Stop()
			s.enqueue(m)
			return nil
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// drainSubmissions enqueues all submissions in the channel. If no operation is
// waiting it blocks until one is submitted.
func (s *shard) drainSubmissions(ctx context.Context) error {
	if s.log.Waiting() == 0 {
		select {
		case m := <-s.ops:
			s.enqueue(m)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for {
		select {
		case m := <-s.ops:
			s.enqueue(m)
		case <-ctx.Done():
			return ctx.Err()
		default:
			return nil
		}
	}
}

func (s *shard) enqueue(m submission) {
	s.waiting[m.op.ID] = m.reply
	s.log.Submit(m.op)
}

func (s *shard) deliverVerdicts(verdicts []claim.Verdict) {
	for _, v := range verdicts {
		s.waiting[v.ID] <- v
		delete(s.waiting, v.ID)
	}
}

// executeCall makes one call to the key-value service and reports whether it succeeded
// with a known outcome.
func (s *shard) executeCall(ctx context.Context, c claim.Call) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := s.prefix + fmt.Sprintf("%02d", c.Slot)
	if c.Swap {
		return s.compareAndSwap(ctx, key, c)
	}
	entry, err := s.store.Get(ctx, key)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		s.deliverVerdicts(s.log.ReadDone(c.Slot, kv.RevisionAbsent, nil))
	case err != nil:
		s.log.ReadFailed()
		return false
	default:
		s.deliverVerdicts(s.log.ReadDone(c.Slot, entry.Revision, entry.Value))
	}
	return true
}

func (s *shard) compareAndSwap(ctx context.Context, key string, c claim.Call) bool {
	s.lastWriteAt = time.Now()
	result, err := s.store.CompareAndSwap(ctx, key, c.Expected, c.Value, kv.NoLease)
	if err != nil {
		// Whatever the error is, the write may still take effect later.
		s.deliverVerdicts(s.log.SwapDone(c.Slot, claim.Unknown, 0))
		return false
	}
	s.deliverVerdicts(s.log.SwapDone(c.Slot, outcomeOf(result.Outcome), result.Revision))
	return result.Outcome != kv.Unknown
}

func outcomeOf(o kv.Outcome) claim.Outcome {
	switch o {
	case kv.TookEffect:
		return claim.TookEffect
	case kv.NoEffect:
		return claim.NoEffect
	}
	return claim.Unknown
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
