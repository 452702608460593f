package transport

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrIdle is the cause of a context that ended because nothing was received for too long.
var ErrIdle = errors.New("transport: nothing received for too long")

// Idle ends a transfer that has gone silent. A timeout for a whole transfer would end a
// large one over a narrow link each time before it is complete, however often it is tried.
type Idle struct {
	timer   *time.Timer
	limit   time.Duration
	release context.CancelFunc
}

// WithIdle returns a context that ends with the cause ErrIdle if nothing is received within
// first, or for limit after anything was. Stop must be called to release it.
func WithIdle(ctx context.Context, first, limit time.Duration) (context.Context, *Idle) {
	ctx, cancel := context.WithCancelCause(ctx)
	i := &Idle{limit: limit, release: func() { cancel(context.Canceled) }}
	i.timer = time.AfterFunc(first, func() { cancel(ErrIdle) })
	return ctx, i
}

// Received notes that something has arrived.
func (i *Idle) Received() { i.timer.Reset(i.limit) }

// Stop ends the context and releases its timer.
func (i *Idle) Stop() {
	i.timer.Stop()
	i.release()
}

// Reader returns a reader that notes what is read from r.
func (i *Idle) Reader(r io.Reader) io.Reader { return &idleReader{idle: i, from: r} }

type idleReader struct {
	idle *Idle
	from io.Reader
}

func (r *idleReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 {
		r.idle.Received()
	}
	return n, err
}
