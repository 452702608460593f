package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxBufferedBytes bounds the bodies of all requests on a VM together. With a
	// bound on each body alone, many large ones at once would take the VM's
	// whole memory.
	maxBufferedBytes = 256 << 20
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 30 * time.Second
)

// memory counts the bytes of bodies that are held.
type memory struct {
	held atomic.Int64
}

// reserve takes n bytes, or reports that there is no room for them.
func (m *memory) reserve(n int64) bool {
	if m.held.Add(n) > maxBufferedBytes {
		m.held.Add(-n)
		return false
	}
	return true
}

func (m *memory) release(n int64) {
	m.held.Add(-n)
}

// readBody reads a request's body within the bounds on size, memory and time. The
// returned function gives the memory back.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, func(), *Problem) {
	size := r.ContentLength
	if size < 0 {
		size = h.Limits.MaxBodyBytes
	}
	if size > h.Limits.MaxBodyBytes {
		return nil, nil, newProblem(http.StatusRequestEntityTooLarge, TypeTooLarge, NotRun, "the body is too large")
	}
	if !h.memory.reserve(size) {
		return nil, nil, newProblem(http.StatusServiceUnavailable, TypeOverloaded, NotRun, "this VM holds too many bodies").retryAfter(time.Second)
	}
	release := func() { h.memory.release(size) }
	body, problem := readWithin(w, r)
	if problem != nil {
		release()
		return nil, nil, problem
	}
	return body, release, nil
}

func readWithin(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(r.Body)
	_ = controller.SetReadDeadline(time.Time{})
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return nil, newProblem(http.StatusRequestEntityTooLarge, TypeTooLarge, NotRun, tooLarge.Error())
	}
	if err != nil {
		return nil, newProblem(http.StatusBadRequest, TypeMalformed, NotRun, "the body could not be read: "+err.Error())
	}
	return body, nil
}
