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
	// defaultHeartbeat is the interval between comments on a stream without events. They
	// show the caller that the connection is alive, and let this VM detect one that is
	// not.
	defaultHeartbeat = 5 * time.Second
	// defaultWriteTimeout bounds the time for writing an event. Without it, a caller that
	// stops reading would hold its stream, and the engine's, forever.
	defaultWriteTimeout = 10 * time.Second
)

// streamTiming holds the heartbeat interval and write timeout of streams to callers.
type streamTiming struct {
	heartbeat, writeTimeout time.Duration
}

// sseWriter writes server-sent events to a caller. It implements relay.Sink. Event and
// Attach are called from one goroutine; heartbeats are sent from another.
type sseWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	ring       *resume.Keyring
	token      resume.Token
	timing     streamTiming

	mu             sync.Mutex
	signer         *resume.Signer
	buffer         []byte
	heartbeatTimer *time.Timer
	started        bool
	err            error
}

func newSSEWriter(w http.ResponseWriter, ring *resume.Keyring, token resume.Token, timing streamTiming) *sseWriter {
	return &sseWriter{w: w, ring: ring, token: token, timing: timing}
}

// unwrapWriter returns the server's own writer. The wrappers around it, which record
// status and size for traces, allocate on every call.
func unwrapWriter(w http.ResponseWriter) http.ResponseWriter {
	for {
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = wrapper.Unwrap()
	}
}

// Attach is called when an engine has accepted the request. It sends the header, the
// first time, and makes the resume tokens of the following events refer to that
// engine.
func (s *sseWriter) Attach(p relay.Location) error {
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
	s.w = unwrapWriter(s.w)
	s.controller = http.NewResponseController(s.w)
	s.flush()
	s.heartbeatTimer = time.AfterFunc(s.timing.heartbeat, s.sendHeartbeat)
	return nil
}

// Event writes and flushes one event with its resume token.
func (s *sseWriter) Event(e engine.Event) error {
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
	s.writeBuffer()
	s.heartbeatTimer.Reset(s.timing.heartbeat)
	return s.err
}

// fail ends an incomplete stream with an error event. It never writes [DONE].
func (s *sseWriter) fail(p *Problem, requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = append(s.buffer[:0], "event: error\ndata: "...)
	s.buffer = append(s.buffer, p.eventData(requestID)...)
	s.buffer = append(s.buffer, "\n\n"...)
	s.writeBuffer()
}

// close stops the heartbeats. Nothing is written after close returns.
func (s *sseWriter) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeatTimer != nil {
		s.heartbeatTimer.Stop()
	}
	s.err = http.ErrHandlerTimeout
}

func (s *sseWriter) sendHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.buffer = append(s.buffer[:0], ": heartbeat\n\n"...)
	s.writeBuffer()
	s.heartbeatTimer.Reset(s.timing.heartbeat)
}

// writeBuffer writes and flushes the buffer. After an error it does nothing.
func (s *sseWriter) writeBuffer() {
	if s.err != nil {
		return
	}
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.timing.writeTimeout))
	if _, s.err = s.w.Write(s.buffer); s.err == nil {
		s.flush()
	}
}

func (s *sseWriter) flush() {
	s.err = s.controller.Flush()
}
