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
	// callTimeout bounds one call of the key-value service.
	callTimeout = time.Second
	// retryPause is the time between calls that brought nothing.
	retryPause = 50 * time.Millisecond
	// groupWindow is the least time between two writes of a shard. It bounds the
	// writes of all shards together to 800 a second, however many actions come:
	// what comes meanwhile is written together.
	groupWindow = 20 * time.Millisecond
	// warmPause is the time between two reads while a shard is read for the first
	// time and nobody waits for it. All shards of a VM make 160 reads a second
	// then, so that a whole fleet can start at once.
	warmPause = 100 * time.Millisecond
	// submitted is the length of the channel into a shard.
	submitted = 256
)

// shard owns one shard's log in one goroutine. While a call is under way, what
// comes meanwhile is collected and goes with the next one.
type shard struct {
	store   kv.Store
	prefix  string
	log     *claim.Log
	waiting map[uint64]chan claim.Verdict
	ops     chan submission
	done    chan struct{}
	// wrote is when the last write began.
	wrote time.Time
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
		ops:     make(chan submission, submitted),
		done:    make(chan struct{}),
	}
}

// do submits an operation and waits for its verdict, or for ctx.
func (s *shard) do(ctx context.Context, op claim.Op) claim.Verdict {
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
	if err := s.warm(ctx); err != nil {
		return err
	}
	for {
		if err := s.collect(ctx); err != nil {
			return err
		}
		s.answer(s.log.Expire(time.Now()))
		if s.gather(ctx) {
			continue
		}
		call, verdicts := s.log.Next(time.Now())
		s.answer(verdicts)
		if call == nil {
			continue
		}
		if !s.call(ctx, *call) {
			pause(ctx, retryPause)
		}
	}
}

// gather waits until the next write may begin, or until more comes that goes with
// it. It reports whether it waited.
func (s *shard) gather(ctx context.Context) bool {
	left := groupWindow - time.Since(s.wrote)
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case m := <-s.ops:
		s.submit(m)
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// warm reads the shard before anybody asks for it, so that the first action does
// not wait for all its segments to be read. It ends early if one comes.
func (s *shard) warm(ctx context.Context) error {
	for {
		call := s.log.Load()
		if call == nil {
			return nil
		}
		s.call(ctx, *call)
		timer := time.NewTimer(warmPause)
		select {
		case m := <-s.ops:
			timer.Stop()
			s.submit(m)
			return nil
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// collect takes all submissions that are there. It waits for one if nothing else
// is to be done.
func (s *shard) collect(ctx context.Context) error {
	if s.log.Waiting() == 0 {
		select {
		case m := <-s.ops:
			s.submit(m)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for {
		select {
		case m := <-s.ops:
			s.submit(m)
		case <-ctx.Done():
			return ctx.Err()
		default:
			return nil
		}
	}
}

func (s *shard) submit(m submission) {
	s.waiting[m.op.ID] = m.reply
	s.log.Submit(m.op)
}

func (s *shard) answer(verdicts []claim.Verdict) {
	for _, v := range verdicts {
		s.waiting[v.ID] <- v
		delete(s.waiting, v.ID)
	}
}

// call makes one call and reports whether it brought something.
func (s *shard) call(ctx context.Context, c claim.Call) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := s.prefix + fmt.Sprintf("%02d", c.Slot)
	if c.Swap {
		return s.swap(ctx, key, c)
	}
	entry, err := s.store.Get(ctx, key)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		s.answer(s.log.Read(c.Slot, kv.RevisionAbsent, nil))
	case err != nil:
		s.log.Failed()
		return false
	default:
		s.answer(s.log.Read(c.Slot, entry.Revision, entry.Value))
	}
	return true
}

func (s *shard) swap(ctx context.Context, key string, c claim.Call) bool {
	s.wrote = time.Now()
	result, err := s.store.CompareAndSwap(ctx, key, c.Expected, c.Value, kv.NoLease)
	if err != nil {
		// Whatever the error is, the write may still be on its way.
		s.answer(s.log.Swapped(c.Slot, claim.Unknown, 0))
		return false
	}
	s.answer(s.log.Swapped(c.Slot, outcomeOf(result.Outcome), result.Revision))
	return result.Outcome != kv.Unknown
}

func outcomeOf(o kv.Outcome) claim.Outcome {
	switch o {
	case kv.TookEffect:
		return claim.TookEffect
	case kv.DidNot:
		return claim.DidNot
	}
	return claim.Unknown
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
