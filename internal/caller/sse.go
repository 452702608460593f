package caller

import (
	"net/http"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/relay"
	"github.com/chestnutarch/chestnutarch/internal/resume"
)

const (
	// defaultHeartbeat is how often a caller hears a comment while there is no event. It
	// tells him that the connection is alive, and us if it is not.
	defaultHeartbeat = 5 * time.Second
	// defaultWriteTimeout bounds how long a caller may take to read an event. Without it
	// one who stops reading would hold his stream, and the engine's, for ever.
	defaultWriteTimeout = 10 * time.Second
)

// pacing is how a stream to a caller is timed.
type pacing struct {
	heartbeat, writeTimeout time.Duration
}

// sse writes server-sent events to a caller. It implements relay.Sink. Event and
// Attach are called from one goroutine; heartbeats come from another.
type sse struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	ring       *resume.Ring
	token      resume.Token
	pacing     pacing

	mu      sync.Mutex
	signer  *resume.Signer
	buffer  []byte
	timer   *time.Timer
	started bool
	err     error
}

func newSSE(w http.ResponseWriter, ring *resume.Ring, token resume.Token, p pacing) *sse {
	return &sse{w: w, ring: ring, token: token, pacing: p}
}

// innermost returns the server's own writer. The wrappers around it, which watch
// status and size for traces, allocate with every call.
func innermost(w http.ResponseWriter) http.ResponseWriter {
	for {
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = wrapper.Unwrap()
	}
}

// Attach sends the header, once an engine has taken the request, and signs the
// events that follow for that engine.
func (s *sse) Attach(p relay.Place) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token.Engine = p.Engine
	signer, err := s.ring.Signer(s.token)
	if err != nil {
		return err
	}
	s.signer = signer
	if s.started {
		return nil
	}
	s.started = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
	s.w = innermost(s.w)
	s.controller = http.NewResponseController(s.w)
	s.flush()
	s.timer = time.AfterFunc(s.pacing.heartbeat, s.beat)
	return nil
}

// Event writes one event with its resume token, at once.
func (s *sse) Event(e engine.Event) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = s.buffer[:0]
	if !e.Done {
		s.buffer = append(s.buffer, "id: "...)
		s.buffer = s.signer.Append(s.buffer, e.ID)
		s.buffer = append(s.buffer, '\n')
	}
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, e.Data...)
	s.buffer = append(s.buffer, "\n\n"...)
	s.write()
	s.timer.Reset(s.pacing.heartbeat)
	return s.err
}

// fail ends a stream that will not become whole. It never writes [DONE].
func (s *sse) fail(p *Problem, requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = append(s.buffer[:0], "event: error\ndata: "...)
	s.buffer = append(s.buffer, p.event(requestID)...)
	s.buffer = append(s.buffer, "\n\n"...)
	s.write()
}

// close stops the heartbeats. Nothing is written after it returns.
func (s *sse) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.err = http.ErrHandlerTimeout
}

func (s *sse) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.buffer = append(s.buffer[:0], ": heartbeat\n\n"...)
	s.write()
	s.timer.Reset(s.pacing.heartbeat)
}

// write sends the buffer. After an error nothing more is sent.
func (s *sse) write() {
	if s.err != nil {
		return
	}
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.pacing.writeTimeout))
	if _, s.err = s.w.Write(s.buffer); s.err == nil {
		s.flush()
	}
}

func (s *sse) flush() {
	s.err = s.controller.Flush()
}
