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

// Run runs the control goroutine, which owns the state machine, and the watch of the
// assignment. It returns nil when ctx ends.
func (l *Leases) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	l.ctx = ctx
	group.Go(func() error { return l.watchAssignment(ctx) })
	group.Go(func() error { return l.loop(ctx) })
	return group.Wait()
}

// loop is the control goroutine. If a step leaves a request waiting for tokens, the
// next tick comes after busyTickInterval.
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
			l.executeActions()
			if !busy && l.machine.Waiting() {
				busy = true
				timer.Reset(busyTickInterval)
			}
		case <-timer.C:
			l.tick()
			busy = l.machine.Waiting()
			timer.Reset(tickInterval(busy))
		}
	}
}

func tickInterval(busy bool) time.Duration {
	if busy {
		return busyTickInterval
	}
	return idleTickInterval
}

// tick advances the state machine to the current time, executes its actions and
// updates the state that other goroutines read.
func (l *Leases) tick() {
	if view := l.options.View(); view != l.appliedView {
		l.appliedView = view
		l.machine.SetPeers(l.peersOf(view))
	}
	l.machine.Tick(l.options.Clock())
	l.executeActions()
	l.incarnation.Store(l.machine.Self().Incarnation)
	l.left.Store(l.machine.Left())
	l.canAdmit.Store(l.machine.CanAdmit(l.options.Clock()))
	l.publishTeams(l.options.Clock())
	l.gauges.update(l.machine.Stats())
}

// peersOf converts a membership view and records the peers' addresses.
func (l *Leases) peersOf(view *membership.View) []quota.Peer {
	peers := make([]quota.Peer, 0, len(view.Members))
	clear(l.addresses)
	for _, m := range view.Members {
		incarnation := m.QuotaIncarnation
		if incarnation == 0 {
			incarnation = m.Incarnation
		}
		l.addresses[m.VM] = m.PeerAddress
		peers = append(peers, quota.Peer{
			Holder:        quota.Holder{VM: m.VM, Incarnation: incarnation},
			Address:       m.PeerAddress,
			FailureDomain: m.FailureDomain,
			Alive:         m.Status == membership.Alive,
			Leaving:       m.Leaving,
		})
	}
	return peers
}

// executeActions executes the actions that the state machine has requested. Messages
// to the same VM are sent in one batch.
func (l *Leases) executeActions() {
	batches := make(map[string]*peerpb.QuotaBatch)
	for _, action := range l.machine.Actions() {
		switch a := action.(type) {
		case quota.Verdict:
			if verdicts, found := l.pending[a.Request]; found {
				delete(l.pending, a.Request)
				verdicts <- a
			}
		case quota.Read:
			l.startCall(func() { l.readRecord(a) }, func(now clock.Reading) { l.machine.ReadDone(now, a.Op, nil) })
		case quota.Write:
			l.startCall(func() { l.writeRecord(a) }, func(now clock.Reading) { l.machine.WriteDone(now, a.Op, quota.Unknown, 0, nil) })
		case quota.Send:
			l.addToBatch(batches, a)
		}
	}
	for vm, batch := range batches {
		address, known := l.addresses[vm]
		if !known {
			continue
		}
		l.startCall(func() { l.sendBatch(vm, address, batch) }, nil)
	}
}

// addToBatch adds a message to the batch for its receiver, or to the replies if its
// receiver sent the batch that is being processed.
func (l *Leases) addToBatch(batches map[string]*peerpb.QuotaBatch, s quota.Send) {
	message := Encode(s.Message)
	if l.replies != nil && l.replies.to == s.To {
		l.replies.batch.Messages = append(l.replies.batch.Messages, message)
		return
	}
	batch, found := batches[s.To]
	if !found {
		batch = &peerpb.QuotaBatch{From: l.options.Config.Self.VM}
		batches[s.To] = batch
	}
	batch.Messages = append(batch.Messages, message)
}

// startCall runs a call on its own goroutine. If maxInFlightCalls are in flight it
// drops the call, which counts as lost, and runs onDropped unless that is nil. This
// keeps calls to a hanging peer or key-value service from accumulating.
func (l *Leases) startCall(run func(), onDropped func(now clock.Reading)) {
	select {
	case l.callSlots <- struct{}{}:
		go func() {
			defer func() { <-l.callSlots }()
			run()
		}()
	default:
		if onDropped != nil {
			onDropped(l.options.Clock())
		}
	}
}

func (l *Leases) sendBatch(vm, address string, batch *peerpb.QuotaBatch) {
	out, err := l.options.Pool.ExchangeQuota(l.ctx, address, messageTimeout, batch)
	if err != nil {
		l.options.Log.Debug().Err(err).Str("vm", vm).Msg("quota message exchange with VM failed")
		return
	}
	if len(out.GetMessages()) > 0 {
		_ = l.post(l.ctx, func(now clock.Reading) { l.receiveBatch(now, out) })
	}
}

func (l *Leases) readRecord(r quota.Read) {
	ctx, cancel := context.WithTimeout(kv.WithPriority(l.ctx, kv.PriorityConfiguration), storeTimeout)
	defer cancel()
	entry, err := l.options.Store.Get(ctx, r.Key)
	var found *quota.Entry
	switch {
	case err == nil:
		found = &quota.Entry{Value: entry.Value, Revision: entry.Revision}
	case errors.Is(err, kv.ErrNotFound):
		found = &quota.Entry{Revision: kv.RevisionAbsent}
	default:
		l.options.Log.Debug().Err(err).Str("key", r.Key).Msg("failed to read quota record from key-value service")
	}
	_ = l.post(l.ctx, func(now clock.Reading) { l.machine.ReadDone(now, r.Op, found) })
}

func (l *Leases) writeRecord(w quota.Write) {
	ctx, cancel := context.WithTimeout(kv.WithPriority(l.ctx, kv.PriorityConfiguration), storeTimeout)
	defer cancel()
	result, err := l.options.Store.CompareAndSwap(ctx, w.Key, w.Expected, w.Value, kv.NoLease)
	outcome := quota.Unknown
	switch {
	case err != nil:
		// After an error the write may or may not have taken effect, so the outcome
		// stays unknown.
		l.options.Log.Debug().Err(err).Str("key", w.Key).Msg("quota record write failed; outcome unknown")
	case result.Outcome == kv.TookEffect:
		outcome = quota.TookEffect
	case result.Outcome == kv.NoEffect:
		outcome = quota.NoEffect
	}
	var current *quota.Entry
	if result.Current != nil {
		current = &quota.Entry{Value: result.Current.Value, Revision: result.Current.Revision}
	}
	_ = l.post(l.ctx, func(now clock.Reading) { l.machine.WriteDone(now, w.Op, outcome, result.Revision, current) })
}

// watchAssignment delivers changes of the assignment to the state machine. The state
// machine also reads the assignment periodically, so a watch that stops delivering
// without closing only delays changes.
func (l *Leases) watchAssignment(ctx context.Context) error {
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
		case <-time.After(watchRetryDelay):
		}
	}
	return nil
}
