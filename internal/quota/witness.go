package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// promises is what a VM has said as a witness of others. It lives in memory
// only: a restarted process is another witness, whose word counts for nobody
// until a holder names it in its record.
type promises struct {
	last    map[Holder]clock.Reading
	refused map[Holder]bool
}

func newPromises() promises {
	return promises{last: make(map[Holder]clock.Reading), refused: make(map[Holder]bool)}
}

// give notes a promise to a holder and reports whether it may be made.
func (p *promises) give(now clock.Reading, to Holder) bool {
	if p.refused[to] {
		return false
	}
	p.last[to] = now
	return true
}

// lapsed reports whether nothing promised to the holder is still good.
func (p *promises) lapsed(now clock.Reading, to Holder, wait time.Duration) bool {
	last, promised := p.last[to]
	return !promised || elapsedAtLeast(last, now) >= wait
}

// refuse rules out further promises. It must precede the sending of a consent,
// because a consent whose answer is lost may take effect at any later time.
func (p *promises) refuse(to Holder) {
	p.refused[to] = true
}

// sighting is the last change seen in a record.
type sighting struct {
	revision int64
	since    clock.Reading
}

// observer notes for how long records have stood unchanged and since when
// incarnations are known to be closed, by the local clocks alone.
type observer struct {
	seen   map[string]sighting
	closed map[Holder]clock.Reading
}

func newObserver() observer {
	return observer{seen: make(map[string]sighting), closed: make(map[Holder]clock.Reading)}
}

// see notes a record's revision and returns for how long it has stood unchanged.
func (o *observer) see(now clock.Reading, vm string, revision int64) time.Duration {
	last, known := o.seen[vm]
	if !known || last.revision != revision {
		o.seen[vm] = sighting{revision: revision, since: now}
		return 0
	}
	return elapsedAtLeast(last.since, now)
}

// noteClosed notes that an incarnation's authority has ended.
func (o *observer) noteClosed(now clock.Reading, h Holder) {
	if _, known := o.closed[h]; !known {
		o.closed[h] = now
	}
}

// closedFor reports whether an incarnation has been known to be closed for a time.
func (o *observer) closedFor(now clock.Reading, h Holder, wait time.Duration) bool {
	since, known := o.closed[h]
	return known && elapsedAtLeast(since, now) >= wait
}

// isClosed reports whether an incarnation is known to be closed.
func (o *observer) isClosed(h Holder) bool {
	_, known := o.closed[h]
	return known
}
