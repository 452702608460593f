package engine

import (
	"sync"
	"sync/atomic"
	"time"
)

// suspicion is the part of the idle limit that a stream may have been without a
// byte when another connection to the same engine is found silent.
const suspicion = 4

// streams holds the open streams by engine.
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

// quiet returns the other streams of an engine that have brought nothing since.
func (a *streams) quiet(host string, but *Stream, since time.Time) []*Stream {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*Stream
	for s := range a.open[host] {
		if s != but && s.lastByte.Load() < since.UnixNano() {
			out = append(out, s)
		}
	}
	return out
}

// silent is called when a stream has brought nothing for its whole idle limit.
// Something between the two ends may have forgotten every connection to the
// engine: the idle ones are closed, and the streams that have brought nothing of
// late are broken now, so that they are resumed on new connections instead of
// waiting for their own limits one after the other.
func (c *Client) silent(s *Stream) {
	s.silenced.Store(true)
	s.cancel()
	c.hosts.CloseIdle(s.host)
	since := time.Now().Add(-c.idleLimit / suspicion)
	for _, other := range c.streams.quiet(s.host, s, since) {
		other.silenced.Store(true)
		other.cancel()
	}
}

// marks are the parts of a Stream that other goroutines touch.
type marks struct {
	// lastByte is when the engine last sent something, in Unix nanoseconds.
	lastByte atomic.Int64
	// silenced means that the stream was broken because it, or a sibling, went
	// silent.
	silenced atomic.Bool
}

func (m *marks) heard() {
	m.lastByte.Store(time.Now().UnixNano())
}
