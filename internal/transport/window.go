package transport

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// maxUnansweredProbes is how many probes of a closed receive window a peer may leave unanswered: one may be on its way.
const maxUnansweredProbes = 1

// windowChecks is how often a connection with pending bytes is checked within its user timeout. The kernel ends a connection
// one user timeout after the window was closed, so that there has to be a check before.
const windowChecks = 2

// sendState is what the kernel knows of the bytes that were written to a connection.
type sendState struct {
	// unsent is the number of bytes that were not sent yet, unacknowledged that of segments in flight.
	unsent, unacknowledged int
	// unansweredProbes is the number of probes of a closed window to which nothing has come back.
	unansweredProbes int
}

func (s sendState) delivered() bool { return s.unsent == 0 && s.unacknowledged == 0 }

// stalled reports whether the peer is alive and has closed its receive window: nothing is in flight, although there is
// something to send.
func (s sendState) stalled() bool {
	return s.unsent > 0 && s.unacknowledged == 0 && s.unansweredProbes <= maxUnansweredProbes
}

// WindowWatch keeps a connection whose peer reads nothing for a time. TCP_USER_TIMEOUT, which ends a connection whose peer is
// gone, also counts while the peer's receive window is closed, although the peer acknowledges each probe of it. The timeout is
// therefore longer while the window is closed. Its methods are safe for concurrent use, and those of a nil WindowWatch do
// nothing.
type WindowWatch struct {
	raw     syscall.RawConn
	timeout time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// pendingSince is since when there may be bytes that the peer has not taken, zero if there are none.
	pendingSince time.Time
	// until is until when the peer may leave bytes unread.
	until time.Time
	// current is the timeout that the kernel has.
	current time.Duration
	closed  bool
}

// NewWindowWatch returns a watch of a connection that has the given TCP_USER_TIMEOUT. It returns nil if the connection is not
// one of the kernel's, or if the platform cannot tell its state.
func NewWindowWatch(c net.Conn, userTimeout time.Duration) *WindowWatch {
	inner, ok := c.(syscall.Conn)
	if !ok || userTimeout == 0 || !hasSendState {
		return nil
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return nil
	}
	return &WindowWatch{raw: raw, timeout: userTimeout, current: userTimeout}
}

// AllowUntil lets the peer leave bytes unread until t, if it is alive. A time before that of an earlier call is ignored, since
// bytes written before may still be pending.
func (w *WindowWatch) AllowUntil(t time.Time) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.After(w.until) {
		w.until = t
	}
}

// Wrote records that bytes are being written.
func (w *WindowWatch) Wrote(now time.Time) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.pendingSince.IsZero() || !w.until.After(now.Add(w.timeout)) {
		return
	}
	w.pendingSince = now
	if w.timer == nil {
		w.timer = time.AfterFunc(w.timeout/windowChecks, w.check)
		return
	}
	w.timer.Reset(w.timeout / windowChecks)
}

// maxUnread is how long a server that is alive may leave a request unread. The context of a request is mostly shorter.
const maxUnread = time.Minute

// WroteRequest is Wrote for a request to a server.
func (w *WindowWatch) WroteRequest(now time.Time) {
	w.AllowUntil(now.Add(maxUnread))
	w.Wrote(now)
}

// Close ends the watch. It must be called before the connection is closed, whose kernel goes on to send what is pending.
func (w *WindowWatch) Close() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	if w.pendingSince.IsZero() {
		return
	}
	w.timer.Stop()
	if state, err := readSendState(w.raw); err == nil {
		w.adapt(state)
	}
}

// check looks at the state of the connection, until all bytes are delivered.
func (w *WindowWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	state, err := readSendState(w.raw)
	if err != nil {
		return
	}
	w.adapt(state)
	if state.delivered() {
		w.pendingSince = time.Time{}
		return
	}
	w.timer.Reset(w.timeout / windowChecks)
}

// adapt sets the kernel's timeout: it is longer while the window is closed.
func (w *WindowWatch) adapt(state sendState) {
	timeout := w.timeout
	if state.stalled() {
		timeout = max(timeout, w.until.Sub(w.pendingSince))
	}
	if timeout != w.current && setUserTimeout(w.raw, timeout) == nil {
		w.current = timeout
	}
}
