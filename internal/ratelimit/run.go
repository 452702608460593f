package ratelimit

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/quota"
)

// Run owns the state machine until ctx ends and returns nil then.
func (l *Leases) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	l.ctx = ctx
	group.Go(func() error { return l.watch(ctx) })
	group.Go(func() error { return l.loop(ctx) })
	return group.Wait()
}

// loop is the control goroutine. A step that leaves a request waiting for tokens
// brings the next tick forward.
func (l *Leases) loop(ctx context.Context) error {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	busy := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case step := <-l.inbox:
			step(l.options.Clock())
			l.perform()
			if !busy && l.machine.Waiting() {
				busy = true
				timer.Reset(busyTick)
			}
		case <-timer.C:
			l.tick()
			busy = l.machine.Waiting()
			timer.Reset(tickAfter(busy))
		}
	}
}

func tickAfter(busy bool) time.Duration {
	if busy {
		return busyTick
	}
	return idleTick
}

// tick lets time pass in the state machine. The timer is set by what waits.
func (l *Leases) tick() {
	if view := l.options.View(); view != l.seen {
		l.seen = view
		l.machine.SetPeers(l.peersOf(view))
	}
	l.machine.Tick(l.options.Clock())
	l.perform()
	l.incarnation.Store(l.machine.Self().Incarnation)
	l.left.Store(l.machine.Left())
	l.canAdmit.Store(l.machine.CanAdmit(l.options.Clock()))
	l.publish(l.options.Clock())
	l.meters.update(l.machine.Stats())
}

// peersOf converts the membership's view.
func (l *Leases) peersOf(view *membership.View) []quota.Peer {
	peers := make([]quota.Peer, 0, len(view.Members))
	clear(l.lookup)
	for _, m := range view.Members {
		incarnation := m.QuotaIncarnation
		if incarnation == 0 {
			incarnation = m.Incarnation
		}
		l.lookup[m.VM] = m.PeerAddress
		peers = append(peers, quota.Peer{
			Holder:        quota.Holder{VM: m.VM, Incarnation: incarnation},
			Address:       m.PeerAddress,
			FailureDomain: m.FailureDomain,
			Heard:         m.Status == membership.Heard,
			Leaving:       m.Leaving,
		})
	}
	return peers
}

// perform carries out what the state machine wants done. Messages to one VM
// travel together.
func (l *Leases) perform() {
	batches := make(map[string]*peerpb.QuotaBatch)
	for _, action := range l.machine.Actions() {
		switch a := action.(type) {
		case quota.Verdict:
			if verdicts, open := l.waiting[a.Request]; open {
				delete(l.waiting, a.Request)
				verdicts <- a
			}
		case quota.Read:
			l.call(func() { l.read(a) }, func(now clock.Reading) { l.machine.ReadDone(now, a.Op, nil) })
		case quota.Write:
			l.call(func() { l.write(a) }, func(now clock.Reading) { l.machine.Wrote(now, a.Op, quota.Unknown, 0, nil) })
		case quota.Send:
			l.collect(batches, a)
		}
	}
	for vm, batch := range batches {
		address, known := l.lookup[vm]
		if !known {
			continue
		}
		l.call(func() { l.exchange(vm, address, batch) }, nil)
	}
}

// collect puts a message with the others to the same VM, or with the replies if
// it answers the batch being taken in.
func (l *Leases) collect(batches map[string]*peerpb.QuotaBatch, s quota.Send) {
	message := Encode(s.Message)
	if l.replies != nil && l.replies.to == s.To {
		l.replies.batch.Messages = append(l.replies.batch.Messages, message)
		return
	}
	batch, open := batches[s.To]
	if !open {
		batch = &peerpb.QuotaBatch{From: l.options.Config.Self.VM}
		batches[s.To] = batch
	}
	batch.Messages = append(batch.Messages, message)
}

// call runs a call on a goroutine of its own. When too many are under way it
// counts as lost, so that a peer or a service that hangs cannot pile them up.
func (l *Leases) call(run func(), lost func(now clock.Reading)) {
	select {
	case l.calls <- struct{}{}:
		go func() {
			defer func() { <-l.calls }()
			run()
		}()
	default:
		if lost != nil {
			lost(l.options.Clock())
		}
	}
}

func (l *Leases) exchange(vm, address string, batch *peerpb.QuotaBatch) {
	out, err := l.options.Pool.ExchangeQuota(l.ctx, address, messageTimeout, batch)
	if err != nil {
		l.options.Log.Debug().Err(err).Str("vm", vm).Msg("quota messages not answered")
		return
	}
	if len(out.GetMessages()) > 0 {
		_ = l.post(l.ctx, func(now clock.Reading) { l.receive(now, out) })
	}
}

func (l *Leases) read(r quota.Read) {
	ctx, cancel := context.WithTimeout(kv.WithPriority(l.ctx, kv.PriorityConfiguration), callTimeout)
	defer cancel()
	entry, err := l.options.Store.Get(ctx, r.Key)
	var found *quota.Entry
	switch {
	case err == nil:
		found = &quota.Entry{Value: entry.Value, Revision: entry.Revision}
	case errors.Is(err, kv.ErrNotFound):
		found = &quota.Entry{Revision: kv.RevisionAbsent}
	default:
		l.options.Log.Debug().Err(err).Str("key", r.Key).Msg("quota record not read")
	}
	_ = l.post(l.ctx, func(now clock.Reading) { l.machine.ReadDone(now, r.Op, found) })
}

func (l *Leases) write(w quota.Write) {
	ctx, cancel := context.WithTimeout(kv.WithPriority(l.ctx, kv.PriorityConfiguration), callTimeout)
	defer cancel()
	result, err := l.options.Store.CompareAndSwap(ctx, w.Key, w.Expected, w.Value, kv.NoLease)
	outcome := quota.Unknown
	switch {
	case err != nil:
		// An error says that nothing was learned, so the outcome stays unknown.
		l.options.Log.Debug().Err(err).Str("key", w.Key).Msg("quota record not written")
	case result.Outcome == kv.TookEffect:
		outcome = quota.TookEffect
	case result.Outcome == kv.DidNot:
		outcome = quota.DidNot
	}
	var current *quota.Entry
	if result.Current != nil {
		current = &quota.Entry{Value: result.Current.Value, Revision: result.Current.Revision}
	}
	_ = l.post(l.ctx, func(now clock.Reading) { l.machine.Wrote(now, w.Op, outcome, result.Revision, current) })
}

// watch passes changes of the assignment on. The state machine also reads it now
// and then, so a watch that went silent only delays.
func (l *Leases) watch(ctx context.Context) error {
	key := l.machine.AssignmentKey()
	for ctx.Err() == nil {
		entries, err := l.options.Store.Watch(ctx, key, 0)
		if err == nil {
			for entry := range entries {
				_ = l.post(ctx, func(clock.Reading) {
					l.machine.Observe(key, quota.Entry{Value: entry.Value, Revision: entry.Revision})
				})
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
	return nil
}
