package relay

import "sync"

// registry holds the sessions of the streams that this VM reads, by stream ID.
type registry struct {
	mu       sync.Mutex
	sessions map[string]*session
}

// session is one run that reads a stream.
type session struct {
	cancel func()
}

func newRegistry() *registry {
	return &registry{sessions: make(map[string]*session)}
}

// add registers a session of a stream with the function that cancels it. An existing
// session of the stream is cancelled: the caller has reconnected before the loss of
// the old connection was noticed.
func (r *registry) add(id string, cancel func()) *session {
	added := &session{cancel: cancel}
	r.mu.Lock()
	previous := r.sessions[id]
	r.sessions[id] = added
	r.mu.Unlock()
	if previous != nil {
		previous.cancel()
	}
	return added
}

// remove removes a session, unless another one has replaced it.
func (r *registry) remove(id string, removed *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions[id] == removed {
		delete(r.sessions, id)
	}
}

// release cancels and removes the session of a stream. It reports whether there was one.
func (r *registry) release(id string) bool {
	r.mu.Lock()
	released := r.sessions[id]
	delete(r.sessions, id)
	r.mu.Unlock()
	if released == nil {
		return false
	}
	released.cancel()
	return true
}
