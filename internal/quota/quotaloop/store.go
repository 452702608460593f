package quotaloop

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/quota"
)

// handleRead answers a Read. If there is no answer within storeTimeout it reports that
// to the machine.
func (w *World) handleRead(n *node, r quota.Read) {
	w.StoreCalls++
	answered := false
	w.sendToStore(n, func() {
		entry := w.store[r.Key]
		w.replyFromStore(func() {
			if answered {
				return
			}
			answered = true
			w.runStep(n, func() { n.machine.ReadDone(w.clockReading(n), r.Op, &entry) })
		})
	})
	w.schedule(storeTimeout, func() {
		if answered {
			return
		}
		answered = true
		w.runStep(n, func() { n.machine.ReadDone(w.clockReading(n), r.Op, nil) })
	})
}

// handleWrite answers a Write, with quota.Unknown if there is no answer within
// storeTimeout. The write may still take effect after that.
func (w *World) handleWrite(n *node, c quota.Write) {
	w.StoreCalls++
	answered := false
	answer := func(outcome quota.Outcome, revision int64, current *quota.Entry) {
		if answered {
			return
		}
		answered = true
		w.runStep(n, func() { n.machine.WriteDone(w.clockReading(n), c.Op, outcome, revision, current) })
	}
	w.sendToStore(n, func() {
		current := w.store[c.Key]
		if current.Revision != c.Expected {
			w.replyFromStore(func() { answer(quota.NoEffect, 0, &current) })
			return
		}
		w.lastRevision++
		revision := w.lastRevision
		w.store[c.Key] = quota.Entry{Value: c.Value, Revision: revision}
		w.notifyWatches(c.Key)
		w.replyFromStore(func() { answer(quota.TookEffect, revision, nil) })
	})
	w.schedule(storeTimeout, func() { answer(quota.Unknown, 0, nil) })
}

// notifyWatches delivers a change of the assignment through every VM's watch, unless
// the answer is lost.
func (w *World) notifyWatches(key string) {
	entry := w.store[key]
	for _, n := range w.nodes {
		if !n.alive || key != n.machine.AssignmentKey() || w.cutFromStore[n.vm] {
			continue
		}
		w.replyFromStore(func() {
			w.runStep(n, func() { n.machine.Observe(key, entry) })
		})
	}
}

// sendToStore delivers a call to the key-value service. During an outage, or if the VM
// is cut off from the service, the call is lost.
func (w *World) sendToStore(n *node, run func()) {
	if w.Store.Down || w.cutFromStore[n.vm] {
		return
	}
	delay := w.withJitter(w.Store.Delay, w.Store.Jitter)
	if w.chance(w.Store.Late) {
		delay = w.withJitter(delay, w.Store.LateBy)
	}
	w.schedule(delay, run)
}

// replyFromStore delivers an answer of the key-value service, unless it is lost.
func (w *World) replyFromStore(run func()) {
	if w.Store.Down || w.chance(w.Store.Lost) {
		return
	}
	w.schedule(w.withJitter(w.Store.Delay, w.Store.Jitter), run)
}

// Write stores a value under a key without delay or fault, as an operator would.
func (w *World) Write(key string, value []byte) {
	w.lastRevision++
	w.store[key] = quota.Entry{Value: value, Revision: w.lastRevision}
}

// Entry returns the entry of a key.
func (w *World) Entry(key string) quota.Entry {
	return w.store[key]
}

// Acquire submits a request of the first team at a VM. It returns false if the VM's
// process has ended or is paused.
func (w *World) Acquire(vm string, tokens int64) bool {
	return w.AcquireTagged(vm, 0, tokens, false)
}

// AcquireTagged is Acquire for the team with the given index. OnVerdict receives the
// tag.
func (w *World) AcquireTagged(vm string, team int, tokens int64, tag bool) bool {
	n := w.currentNodes[vm]
	if !n.alive || n.paused {
		return false
	}
	w.lastNumber++
	number := w.lastNumber
	w.requests[number] = request{team: team, tokens: tokens, at: w.Now, tag: tag}
	w.runStep(n, func() { n.machine.Acquire(w.clockReading(n), number, Team(team), tokens) })
	return true
}

// Settle corrects a charge of the first team at a VM: by a refund, or by a debt if
// tokens is negative.
func (w *World) Settle(vm string, tokens int64) {
	n := w.currentNodes[vm]
	if !n.alive || n.paused {
		return
	}
	if tokens > 0 {
		w.idealBuckets[0].Refund(w.Now, tokens)
	}
	w.runStep(n, func() { n.machine.Settle(w.clockReading(n), Team(0), tokens) })
}

// Kill ends a VM's process.
func (w *World) Kill(vm string) {
	w.currentNodes[vm].alive = false
}

// Restart starts a new process on a VM. If the old process is paused it stays alive
// but receives no more messages; otherwise it ends.
func (w *World) Restart(vm string) {
	old := w.currentNodes[vm]
	if !old.paused {
		old.alive = false
	}
	w.start(vm, old.domain)
}

// Pause pauses a VM's process for a time. With stopMono its monotonic clock stands
// still meanwhile; the wall clock keeps running.
func (w *World) Pause(vm string, length time.Duration, stopMono bool) {
	n := w.currentNodes[vm]
	if !n.alive || n.paused {
		return
	}
	n.paused, n.pausedAt, n.stopMono = true, w.Now, stopMono
	w.schedule(length, func() { w.resume(n) })
}

func (w *World) resume(n *node) {
	if n.stopMono {
		n.monoStopped += w.Now - n.pausedAt
	}
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, step := range backlog {
		w.runStep(n, step)
	}
}

// ShiftWallClock shifts a VM's wall clock by a further duration.
func (w *World) ShiftWallClock(vm string, by time.Duration) {
	w.currentNodes[vm].wallOffset += by
}

// CutLink drops messages from one VM to another until RestoreLink.
func (w *World) CutLink(from, to string) { w.cutLinks[[2]string{from, to}] = true }

// RestoreLink ends a CutLink, so that messages from one VM to the other arrive again.
func (w *World) RestoreLink(from, to string) { delete(w.cutLinks, [2]string{from, to}) }

// Isolate cuts a VM off from the key-value service until ReconnectStore, and if all is
// set also from the other VMs until ReconnectPeers.
func (w *World) Isolate(vm string, all bool) {
	w.cutFromStore[vm] = true
	for other := range w.currentNodes {
		if all {
			w.CutLink(vm, other)
			w.CutLink(other, vm)
		}
	}
}

// ReconnectPeers restores the messages between a VM and the others in both directions.
func (w *World) ReconnectPeers(vm string) {
	for other := range w.currentNodes {
		w.RestoreLink(vm, other)
		w.RestoreLink(other, vm)
	}
}

// ReconnectStore reconnects a VM to the key-value service.
func (w *World) ReconnectStore(vm string) {
	delete(w.cutFromStore, vm)
}

// ChangeStoreFaults changes the faults of the key-value service.
func (w *World) ChangeStoreFaults(change func(f *StoreFaults)) { change(&w.Store) }

// Leave starts a graceful shutdown of a VM's process.
func (w *World) Leave(vm string) {
	w.currentNodes[vm].machine.Leave()
}

// Left reports whether a VM has handed over all that it held, after Leave.
func (w *World) Left(vm string) bool {
	return w.currentNodes[vm].machine.Left()
}

// Alive reports whether a VM's current process is running and not paused.
func (w *World) Alive(vm string) bool {
	return w.currentNodes[vm].alive && !w.currentNodes[vm].paused
}

// SetLimits applies new limits to every team, at each VM after a random delay of at
// most spread. Until the last VM has applied them, the fleet is checked against the
// larger of the old and the new limits.
func (w *World) SetLimits(rate, burst int64, spread time.Duration) {
	old := w.limits[0]
	w.version++
	version := w.version
	next := equalLimits(len(w.limits), rate, burst)
	w.limits = next
	w.reshape(max(rate, old.Rate), max(burst, old.Burst))
	left := len(w.nodes)
	done := func() {
		if left--; left == 0 && version == w.version {
			w.reshape(rate, burst)
		}
	}
	for _, n := range w.nodes {
		w.schedule(w.withJitter(0, spread), func() {
			if !n.alive {
				done()
				return
			}
			w.runStep(n, func() {
				n.machine.SetLimits(w.clockReading(n), version, next)
				done()
			})
		})
	}
}

func (w *World) reshape(rate, burst int64) {
	for _, ideal := range w.idealBuckets {
		ideal.Reshape(w.Now, rate, burst)
	}
}

// Stats returns the counters of a VM's current machine.
func (w *World) Stats(vm string) quota.Stats {
	return w.currentNodes[vm].machine.Stats()
}
