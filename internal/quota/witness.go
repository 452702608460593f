package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// promises holds the last promise that a process has sent to each holder as a witness,
// and the holders to which it must not send promises. It is kept in memory only: a
// restarted process is a different witness, whose promises are not valid for any holder
// until the holder names it in its record.
type promises struct {
	last    map[Holder]clock.Reading
	refused map[Holder]bool
}

func newPromises() promises {
	return promises{last: make(map[Holder]clock.Reading), refused: make(map[Holder]bool)}
}

// grant records a promise to a holder and reports whether it may be sent.
func (p *promises) grant(now clock.Reading, to Holder) bool {
	if p.refused[to] {
		return false
	}
	p.last[to] = now
	return true
}

// lapsed reports whether no promise to the holder is valid any more.
func (p *promises) lapsed(now clock.Reading, to Holder, wait time.Duration) bool {
	last, promised := p.last[to]
	return !promised || elapsedAtLeast(last, now) >= wait
}

// refuse prevents further promises to a holder. It must be called before a consent is
// sent, because a consent whose answer is lost may take effect at any later time.
func (p *promises) refuse(to Holder) {
	p.refused[to] = true
}

// observedRevision is the last revision observed of a record, and since when.
type observedRevision struct {
	revision int64
	since    clock.Reading
}

// observer records how long records have been unchanged and since when incarnations are
// known to be closed, by the local clocks only.
type observer struct {
	revisions map[string]observedRevision
	closed    map[Holder]clock.Reading
}

func newObserver() observer {
	return observer{revisions: make(map[string]observedRevision), closed: make(map[Holder]clock.Reading)}
}

// observeRevision records a record's revision and returns how long the record has been
// unchanged.
func (o *observer) observeRevision(now clock.Reading, vm string, revision int64) time.Duration {
	last, known := o.revisions[vm]
	if !known || last.revision != revision {
		o.revisions[vm] = observedRevision{revision: revision, since: now}
		return 0
	}
	return elapsedAtLeast(last.since, now)
}

// noteClosed records that an incarnation's authority has ended.
func (o *observer) noteClosed(now clock.Reading, h Holder) {
	if _, known := o.closed[h]; !known {
		o.closed[h] = now
	}
}

// closedFor reports whether an incarnation has been known to be closed for at least the
// given wait.
func (o *observer) closedFor(now clock.Reading, h Holder, wait time.Duration) bool {
	since, known := o.closed[h]
	return known && elapsedAtLeast(since, now) >= wait
}

// isClosed reports whether an incarnation is known to be closed.
func (o *observer) isClosed(h Holder) bool {
	_, known := o.closed[h]
	return known
}
