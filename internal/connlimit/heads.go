package connlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// ordinaryHead is the memory in bytes up to which a head may use all that is left. Larger heads leave room for ordinary ones.
	ordinaryHead = 32 << 10
	// largeShare is the part of the memory of all heads that large ones may use.
	largeShare = 3.0 / 4
)

// HeadCounts counts decisions on heads.
type HeadCounts struct {
	// Held is the memory of all heads, in bytes.
	Held int64
	// Closed counts the connections that were closed because others needed the memory of their incomplete heads, Refused the heads
	// that found no memory.
	Closed, Refused int64
}

// Memory returns what all heads together may take, in bytes, zero if they are not bounded.
func (t *Table) Memory() int64 { return t.memory }

// HeadCounts returns the counts of heads.
func (t *Table) HeadCounts() HeadCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.heads
	counts.Held = t.held
	return counts
}

// TakeHead adds n bytes to the memory of the head that is being read. To make room it closes connections whose heads are
// incomplete, those first whose heads have taken most for longest. The errors are ErrNoMemory, if the present connection is the
// first of these or there are none, and ErrClosed.
func (c *Conn) TakeHead(n int64, now time.Time) error {
	t := c.group.table
	t.mu.Lock()
	closed, err := t.makeRoom(c, n, now)
	if err == nil {
		c.head += n
		t.held += n
		t.reading[c] = struct{}{}
	}
	t.mu.Unlock()
	for _, other := range closed {
		other.end()
	}
	return err
}

// ReturnHead gives n bytes back of the memory of the head that is being read.
func (c *Conn) ReturnHead(n int64) {
	t := c.group.table
	t.mu.Lock()
	defer t.mu.Unlock()
	n = min(n, c.head)
	c.head -= n
	t.held -= n
	if c.head == 0 {
		delete(t.reading, c)
	}
}

// makeRoom closes connections until a head may take n more bytes, and returns them. It closes none if that does not suffice.
func (t *Table) makeRoom(c *Conn, n int64, now time.Time) (closed []*Conn, err error) {
	if c.ended {
		return nil, errors.WithStack(ErrClosed)
	}
	missing := t.missing(c, n)
	if missing <= 0 {
		return nil, nil
	}
	for _, other := range t.heavier(c, n, now) {
		missing -= other.head
		closed = append(closed, other)
		if missing <= 0 {
			t.closeAll(closed)
			return closed, nil
		}
	}
	t.heads.Refused++
	return nil, errors.WithStack(ErrNoMemory)
}

// missing returns how much memory is missing for n more bytes of a head.
func (t *Table) missing(c *Conn, n int64) int64 {
	if t.memory == 0 {
		return 0
	}
	limit := t.memory
	if c.head+n > ordinaryHead {
		limit = int64(largeShare * float64(t.memory))
	}
	return t.held + n - limit
}

// heavier returns the connections whose incomplete heads have taken more for longer than that of c, which needs n more bytes,
// those first that have taken most for longest.
func (t *Table) heavier(c *Conn, n int64, now time.Time) []*Conn {
	weight := func(c *Conn, bytes int64) float64 { return float64(bytes) * now.Sub(c.since).Seconds() }
	var all []*Conn
	for other := range t.reading {
		if other != c && weight(other, other.head) > weight(c, c.head+n) {
			all = append(all, other)
		}
	}
	slices.SortFunc(all, func(a, b *Conn) int { return cmp.Compare(weight(b, b.head), weight(a, a.head)) })
	return all
}

func (t *Table) closeAll(conns []*Conn) {
	for _, c := range conns {
		c.close()
		t.heads.Closed++
	}
}
