package quotaloop

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/quota"
)

// storeRead answers a Read, or says after a while that there was no answer.
func (w *World) storeRead(n *node, r quota.Read) {
	w.Calls++
	answered := false
	w.toStore(n, func() {
		entry := w.store[r.Key]
		w.fromStore(func() {
			if answered {
				return
			}
			answered = true
			w.on(n, func() { n.machine.ReadDone(w.reading(n), r.Op, &entry) })
		})
	})
	w.after(storeTimeout, func() {
		if answered {
			return
		}
		answered = true
		w.on(n, func() { n.machine.ReadDone(w.reading(n), r.Op, nil) })
	})
}

// storeWrite answers a Write. The write may take effect after its caller was
// told that nothing is known.
func (w *World) storeWrite(n *node, c quota.Write) {
	w.Calls++
	answered := false
	answer := func(outcome quota.Outcome, revision int64, current *quota.Entry) {
		if answered {
			return
		}
		answered = true
		w.on(n, func() { n.machine.Wrote(w.reading(n), c.Op, outcome, revision, current) })
	}
	w.toStore(n, func() {
		current := w.store[c.Key]
		if current.Revision != c.Expected {
			w.fromStore(func() { answer(quota.DidNot, 0, &current) })
			return
		}
		w.stamp++
		revision := w.stamp
		w.store[c.Key] = quota.Entry{Value: c.Value, Revision: revision}
		w.notify(c.Key)
		w.fromStore(func() { answer(quota.TookEffect, revision, nil) })
	})
	w.after(storeTimeout, func() { answer(quota.Unknown, 0, nil) })
}

// notify lets every VM's watch deliver a change, unless the answer is lost.
func (w *World) notify(key string) {
	entry := w.store[key]
	for _, n := range w.nodes {
		if !n.alive || key != n.machine.AssignmentKey() || w.storeCut[n.vm] {
			continue
		}
		w.fromStore(func() {
			w.on(n, func() { n.machine.Observe(key, entry) })
		})
	}
}

// toStore carries a call to the service, where it may be lost.
func (w *World) toStore(n *node, run func()) {
	if w.Store.Down || w.storeCut[n.vm] {
		return
	}
	delay := w.spread(w.Store.Delay, w.Store.Jitter)
	if w.chance(w.Store.Late) {
		delay = w.spread(delay, w.Store.LateBy)
	}
	w.after(delay, run)
}

// fromStore carries an answer back.
func (w *World) fromStore(run func()) {
	if w.Store.Down || w.chance(w.Store.Lost) {
		return
	}
	w.after(w.spread(w.Store.Delay, w.Store.Jitter), run)
}

// Write stores a value as an operator would.
func (w *World) Write(key string, value []byte) {
	w.stamp++
	w.store[key] = quota.Entry{Value: value, Revision: w.stamp}
}

// Entry returns what a key holds.
func (w *World) Entry(key string) quota.Entry {
	return w.store[key]
}

// Acquire lets a request arrive at a VM. It reports false if no process runs there.
func (w *World) Acquire(vm string, tokens int64) bool {
	return w.AcquireTagged(vm, 0, tokens, false)
}

// AcquireTagged is Acquire for one of the teams, with a mark that OnVerdict is
// given back.
func (w *World) AcquireTagged(vm string, team int, tokens int64, tag bool) bool {
	n := w.current[vm]
	if !n.alive || n.paused {
		return false
	}
	w.numbers++
	number := w.numbers
	w.requests[number] = request{team: team, tokens: tokens, at: w.Now, tag: tag}
	w.on(n, func() { n.machine.Acquire(w.reading(n), number, Team(team), tokens) })
	return true
}

// Settle corrects a charge at a VM by tokens that go back, or a debt if negative.
func (w *World) Settle(vm string, tokens int64) {
	n := w.current[vm]
	if !n.alive || n.paused {
		return
	}
	if tokens > 0 {
		w.ideal[0].Refund(w.Now, tokens)
	}
	w.on(n, func() { n.machine.Settle(w.reading(n), Team(0), tokens) })
}

// Kill ends a VM's process.
func (w *World) Kill(vm string) {
	w.current[vm].alive = false
}

// Restart starts a new process on a VM. The old one, if it is paused, lives on
// but takes in no messages from now on; if it runs, it ends.
func (w *World) Restart(vm string) {
	old := w.current[vm]
	if !old.paused {
		old.alive = false
	}
	w.start(vm, old.domain)
}

// Pause halts a VM's process for a time. The monotonic clock may stand still
// meanwhile; the wall clock runs on.
func (w *World) Pause(vm string, length time.Duration, stopMono bool) {
	n := w.current[vm]
	if !n.alive || n.paused {
		return
	}
	n.paused, n.pausedAt, n.stopMono = true, w.Now, stopMono
	w.after(length, func() { w.wake(n) })
}

func (w *World) wake(n *node) {
	if n.stopMono {
		n.monoLost += w.Now - n.pausedAt
	}
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, step := range backlog {
		w.on(n, step)
	}
}

// SetWall sets a VM's wall clock off by a further time.
func (w *World) SetWall(vm string, by time.Duration) {
	w.current[vm].wallSet += by
}

// Cut keeps messages from one VM to another from arriving; Mend ends that.
func (w *World) Cut(from, to string) { w.cut[[2]string{from, to}] = true }

// Mend lets messages arrive again.
func (w *World) Mend(from, to string) { delete(w.cut, [2]string{from, to}) }

// Isolate cuts a VM off from the service, and from the other VMs if all is set,
// until Rejoin.
func (w *World) Isolate(vm string, all bool) {
	w.storeCut[vm] = true
	for other := range w.current {
		if all {
			w.Cut(vm, other)
			w.Cut(other, vm)
		}
	}
}

// RejoinPeers lets a VM and the others hear each other again.
func (w *World) RejoinPeers(vm string) {
	for other := range w.current {
		w.Mend(vm, other)
		w.Mend(other, vm)
	}
}

// RejoinStore lets a VM reach the service again.
func (w *World) RejoinStore(vm string) {
	delete(w.storeCut, vm)
}

// SetStore changes the service's faults.
func (w *World) SetStore(change func(f *StoreFaults)) { change(&w.Store) }

// Leave starts a graceful stop of a VM's process.
func (w *World) Leave(vm string) {
	w.current[vm].machine.Leave()
}

// Left reports whether a VM has given everything away.
func (w *World) Left(vm string) bool {
	return w.current[vm].machine.Left()
}

// Alive reports whether a VM's present process runs.
func (w *World) Alive(vm string) bool {
	return w.current[vm].alive && !w.current[vm].paused
}

// SetLimits puts new limits in force, at each VM after a delay of at most spread.
// The bound is that of the larger limits from the first VM to the last.
func (w *World) SetLimits(rate, burst int64, spread time.Duration) {
	old := w.limits[0]
	w.version++
	version := w.version
	next := limits(len(w.limits), rate, burst)
	w.limits = next
	w.reshape(max(rate, old.Rate), max(burst, old.Burst))
	left := len(w.nodes)
	done := func() {
		if left--; left == 0 && version == w.version {
			w.reshape(rate, burst)
		}
	}
	for _, n := range w.nodes {
		w.after(w.spread(0, spread), func() {
			if !n.alive {
				done()
				return
			}
			w.on(n, func() {
				n.machine.SetLimits(w.reading(n), version, next)
				done()
			})
		})
	}
}

func (w *World) reshape(rate, burst int64) {
	for _, ideal := range w.ideal {
		ideal.Reshape(w.Now, rate, burst)
	}
}

// Stats returns the counters of a VM's present machine.
func (w *World) Stats(vm string) quota.Stats {
	return w.current[vm].machine.Stats()
}
