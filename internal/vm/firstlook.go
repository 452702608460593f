package vm

import "time"

const (
	// lookPause is how long no engine may have been found for the first look to be whole,
	// lookMost the longest wait for that. Engines that start together appear in the store
	// within one of their heartbeats, a second or so.
	lookPause = 1300 * time.Millisecond
	lookMost  = 4 * time.Second
	// expectedTime is how long requests have to come until they tell which models are asked
	// for.
	expectedTime = 3 * time.Second
	// wideCopies is the number of engines from which a model counts as placed for demand.
	wideCopies = 3
	// wideShare is the part of an engine's time that a copy of such a model is taken to need.
	wideShare = 0.15
)

// firstLook is what this VM found on the engines before it heard of any request. The
// platform, or the leader before, placed the busy models widely. A plan made from the first
// few engines would bring models that only seem to be missing, in place of copies that are
// about to be busy.
type firstLook struct {
	// copies counts the engines on which a model was found.
	copies map[string]int
	// began and last are when the first and the last engine was found, asked when the first
	// request was heard of.
	began, last, asked time.Time
}

// found notes an engine that was read. What a leader before has left there was asked for lately,
// as far as a VM can tell that has not heard of requests for long itself: all VMs have started
// again, and models that nobody has asked for since would make way for others by the dozen. It
// must be called with the lock held.
func (l *planner) found(b *book, succeeds bool, now time.Time) {
	f := &l.first
	if succeeds && !f.heardFor(idleTime, now) {
		for m := range b.models {
			l.used[m] = now
		}
	}
	if !f.asked.IsZero() {
		return
	}
	if f.began.IsZero() {
		f.began = now
	}
	f.last = now
	for m := range b.models {
		f.copies[m]++
	}
}

func (f *firstLook) requested(now time.Time) {
	if f.asked.IsZero() {
		f.asked = now
	}
}

// incomplete reports whether more engines are likely to be found within a moment.
func (f *firstLook) incomplete(now time.Time) bool {
	return f.asked.IsZero() && now.Sub(f.last) < lookPause && now.Sub(f.began) < lookMost
}

// heardFor reports whether requests have been heard of for some time.
func (f *firstLook) heardFor(d time.Duration, now time.Time) bool {
	return !f.asked.IsZero() && now.Sub(f.asked) > d
}

// over reports whether requests have come for long enough to tell what is asked for.
func (f *firstLook) over(now time.Time) bool { return f.heardFor(expectedTime, now) }

// wide reports whether a model was placed for demand.
func (f *firstLook) wide(model string) bool { return f.copies[model] >= wideCopies }

// demand is what a model is taken to be asked for until requests tell.
func (f *firstLook) demand(model string, now time.Time) float64 {
	if f.over(now) || !f.wide(model) {
		return 0
	}
	return wideShare * float64(f.copies[model])
}
