package engine

import (
	"sync"
	"sync/atomic"
	"time"
)

// siblingIdleDivisor divides the idle limit. When a stream of an engine exceeds the idle
// limit, other streams of the engine that have been idle for longer than the quotient
// are cancelled too.
const siblingIdleDivisor = 4

// streams holds the open streams by the engine's address.
type streams struct {
	mu   sync.Mutex
	open map[string]map[*Stream]struct{}
}

func newStreams() *streams {
	return &streams{open: make(map[string]map[*Stream]struct{})}
}

func (a *streams) add(s *Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open[s.host] == nil {
		a.open[s.host] = make(map[*Stream]struct{})
	}
	a.open[s.host][s] = struct{}{}
}

func (a *streams) remove(s *Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open[s.host], s)
	if len(a.open[s.host]) == 0 {
		delete(a.open, s.host)
	}
}

// idleSince returns the streams of an engine, except one, that have received nothing
// since the given time.
func (a *streams) idleSince(host string, except *Stream, since time.Time) []*Stream {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*Stream
	for s := range a.open[host] {
		if s != except && s.lastByte.Load() < since.UnixNano() {
			out = append(out, s)
		}
	}
	return out
}

// breakIdleStreams cancels a stream that has received nothing for its whole idle limit.
// A network component on the path may have dropped the state of every connection to
// the engine. The idle pooled connections are therefore closed, and the other streams
// that have recently received nothing are cancelled as well, so that they are resumed
// on new connections instead of reaching their own limits one after the other.
func (c *Client) breakIdleStreams(s *Stream) {
	s.idleTimedOut.Store(true)
	s.cancel()
	c.hosts.CloseIdle(s.host)
	since := time.Now().Add(-c.idleLimit / siblingIdleDivisor)
	for _, other := range c.streams.idleSince(s.host, s, since) {
		other.idleTimedOut.Store(true)
		other.cancel()
	}
}

// activity holds the fields of a Stream that several goroutines access.
type activity struct {
	// lastByte is when an event was last received, in Unix nanoseconds. It starts
	// with the time of the request.
	lastByte atomic.Int64
	// idleTimedOut means that the stream was cancelled because it, or another stream
	// of the same engine, reached its idle limit.
	idleTimedOut atomic.Bool
}

func (a *activity) recordActivity() {
	a.lastByte.Store(time.Now().UnixNano())
}
