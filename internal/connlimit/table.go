package connlimit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrClosed means that a connection was closed because others needed what it held.
	ErrClosed = errors.New("connlimit: the connection was closed for others")
	// ErrNoMemory means that there is no memory for the head of a request.
	ErrNoMemory = errors.New("connlimit: no memory for the head of a request")
)

const (
	// ordinaryHead is the memory in bytes up to which a head may use all that is left. Larger heads leave room for ordinary ones.
	ordinaryHead = 32 << 10
	// largeShare is the part of the memory of all heads that large ones may use.
	largeShare = 3.0 / 4
)

// stalledAfter is how long no byte of a body arrives before its connection may be closed for a new one.
const stalledAfter = time.Second

// phase is what a connection is doing. Among connections that may be closed, those of the lowest phase go first.
type phase int

const (
	// phaseHead means that the head of a request is incomplete, or that none has begun on a new connection.
	phaseHead phase = iota
	// phaseBody means that the body of a request is incomplete.
	phaseBody
	// phaseIdle means that the connection waits for its next request.
	phaseIdle
	// phaseServing means that a complete request is being served.
	phaseServing
)

// Table holds the connections of a process, and bounds the memory of the heads of their requests. It is safe for concurrent use.
type Table struct {
	// memory is what all heads may take together, in bytes. Zero means that they are not bounded.
	memory int64

	mu   sync.Mutex
	held int64
	// reading holds the connections of which a part of a head is held.
	reading map[*Conn]struct{}
	heads   HeadCounts
}

// HeadCounts counts decisions on heads.
type HeadCounts struct {
	// Held is the memory of all heads, in bytes.
	Held int64
	// Closed counts the connections that were closed because others needed the memory of their incomplete heads, Refused the heads
	// that found no memory.
	Closed, Refused int64
}

// Group holds the connections of one listener. It is safe for concurrent use.
type Group struct {
	table *Table
	limit int
	// The fields below are guarded by the table's mutex.
	conns  map[*Conn]struct{}
	counts Counts
}

// Counts counts the connections of a group.
type Counts struct {
	// Open is the number of open connections.
	Open int
	// Closed counts the connections that were closed for others, Refused those that found no place.
	Closed, Refused int64
}

// Conn is a connection of a group. Its methods are safe for concurrent use.
type Conn struct {
	group *Group
	end   func()
	// The fields below are guarded by the table's mutex. since is when the phase began, or when the last byte of a body arrived.
	phase phase
	since time.Time
	ended bool
	// head is the memory of the head that is being read, kept that of the head whose request is being served, in bytes.
	head, kept int64
}

// NewTable returns a table without connections. The heads of all requests together may take an amount of memory, in bytes, which
// is not bounded if it is zero.
func NewTable(memory int64) *Table { return &Table{memory: memory, reading: make(map[*Conn]struct{})} }

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

// Group returns a group that may have limit connections open.
func (t *Table) Group(limit int) *Group {
	return &Group{table: t, limit: limit, conns: make(map[*Conn]struct{})}
}

// Counts returns the counts of the group.
func (g *Group) Counts() Counts {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	counts := g.counts
	counts.Open = len(g.conns)
	return counts
}

// Limit returns how many connections the group may have open.
func (g *Group) Limit() int { return g.limit }

// Open adds a connection. If the group is full, it closes another one for it: end is called, without locks, when this is done to
// the connection. Open returns nil if no connection of the group may be closed.
func (g *Group) Open(end func(), now time.Time) *Conn {
	g.table.mu.Lock()
	var closed *Conn
	if len(g.conns) >= g.limit {
		closed = g.first(now)
		if closed == nil {
			g.counts.Refused++
			g.table.mu.Unlock()
			return nil
		}
		closed.close()
		g.counts.Closed++
	}
	c := &Conn{group: g, end: end, since: now}
	g.conns[c] = struct{}{}
	g.table.mu.Unlock()
	if closed != nil {
		closed.end()
	}
	return c
}

// first returns the connection that is closed first for a new one, nil if there is none.
func (g *Group) first(now time.Time) *Conn {
	var first *Conn
	for c := range g.conns {
		if !c.closable(now) {
			continue
		}
		if first == nil || c.phase < first.phase || c.phase == first.phase && c.since.Before(first.since) {
			first = c
		}
	}
	return first
}

// closable reports whether the connection may be closed for a new one.
func (c *Conn) closable(now time.Time) bool {
	switch c.phase {
	case phaseHead, phaseIdle:
		return true
	case phaseBody:
		return now.Sub(c.since) > stalledAfter
	default:
		return false
	}
}

// close removes the connection, which no longer may begin anything.
func (c *Conn) close() {
	t := c.group.table
	t.held -= c.head + c.kept
	c.head, c.kept = 0, 0
	c.ended = true
	delete(t.reading, c)
	delete(c.group.conns, c)
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

// BeginHead records that the first byte of a request has arrived. It returns false if the connection was closed.
func (c *Conn) BeginHead(now time.Time) bool { return c.enter(phaseHead, now) }

// EndHead records that the head of a request is complete. Its memory is kept until the request has been answered. EndHead returns
// false if the connection was closed.
func (c *Conn) EndHead(now time.Time) bool {
	t := c.group.table
	t.mu.Lock()
	defer t.mu.Unlock()
	c.kept += c.head
	c.head = 0
	delete(t.reading, c)
	return c.enterLocked(phaseServing, now)
}

// ReadBody records that the body of a request is incomplete, and that a part of it has arrived just now. It returns false if the
// connection was closed.
func (c *Conn) ReadBody(now time.Time) bool { return c.enter(phaseBody, now) }

// EndBody records that the body of a request is complete. It returns false if the connection was closed.
func (c *Conn) EndBody(now time.Time) bool { return c.enter(phaseServing, now) }

// EndRequest records that a request has been answered, and gives the memory of its head back. It returns false if the connection
// was closed.
func (c *Conn) EndRequest(now time.Time) bool {
	t := c.group.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held -= c.kept
	c.kept = 0
	return c.enterLocked(phaseIdle, now)
}

func (c *Conn) enter(p phase, now time.Time) bool {
	c.group.table.mu.Lock()
	defer c.group.table.mu.Unlock()
	return c.enterLocked(p, now)
}

func (c *Conn) enterLocked(p phase, now time.Time) bool {
	if c.ended {
		return false
	}
	c.phase, c.since = p, now
	return true
}

// Close removes the connection.
func (c *Conn) Close() {
	c.group.table.mu.Lock()
	defer c.group.table.mu.Unlock()
	c.close()
}
