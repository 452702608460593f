package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxBufferedBytes bounds the total size of all request bodies on a VM. With a
	// limit per body only, many large bodies at once would exhaust the VM's memory.
	maxBufferedBytes = 256 << 20
	// bodyTimeout bounds the time for receiving a body.
	bodyTimeout = 30 * time.Second
)

// bodyMemory counts the bytes that are reserved for request bodies.
type bodyMemory struct {
	reserved atomic.Int64
}

// reserve reserves n bytes. It returns false if that would exceed maxBufferedBytes.
func (m *bodyMemory) reserve(n int64) bool {
	if m.reserved.Add(n) > maxBufferedBytes {
		m.reserved.Add(-n)
		return false
	}
	return true
}

func (m *bodyMemory) release(n int64) {
	m.reserved.Add(-n)
}

// readBody reads a request's body within the limits on size, memory and time. The
// returned function releases the reserved memory.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, func(), *Problem) {
	size := r.ContentLength
	if size < 0 {
		size = h.Limits.MaxBodyBytes
	}
	if size > h.Limits.MaxBodyBytes {
		return nil, nil, newProblem(http.StatusRequestEntityTooLarge, TypeTooLarge, NotRun, "the body is too large")
	}
	if !h.bodyMemory.reserve(size) {
		return nil, nil, newProblem(http.StatusServiceUnavailable, TypeOverloaded, NotRun, "this VM holds too many bodies").retryAfter(time.Second)
	}
	release := func() { h.bodyMemory.release(size) }
	body, problem := readAllWithDeadline(w, r)
	if problem != nil {
		release()
		return nil, nil, problem
	}
	return body, release, nil
}

// readAllWithDeadline reads the body within bodyTimeout.
func readAllWithDeadline(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
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
