package connlimit

import (
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
