package transport

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrIdle is the cause of a context that ended because nothing was received within the
// idle timeout.
var ErrIdle = errors.New("transport: nothing received for too long")

// Idle is the idle timeout of a transfer. A timeout for the whole transfer would end every
// attempt to transfer a large body over a slow link before it is complete.
type Idle struct {
	timer  *time.Timer
	limit  time.Duration
	cancel context.CancelFunc
}

// WithIdle returns a context that ends with the cause ErrIdle if nothing is received within
// first, or if after that nothing is received for limit. Stop must be called to release its
// resources.
func WithIdle(ctx context.Context, first, limit time.Duration) (context.Context, *Idle) {
	ctx, cancel := context.WithCancelCause(ctx)
	i := &Idle{limit: limit, cancel: func() { cancel(context.Canceled) }}
	i.timer = time.AfterFunc(first, func() { cancel(ErrIdle) })
	return ctx, i
}

// Received restarts the timeout because data has been received.
func (i *Idle) Received() { i.timer.Reset(i.limit) }

// Stop cancels the context and stops the timer.
func (i *Idle) Stop() {
	i.timer.Stop()
	i.cancel()
}

// Reader returns a reader of r that calls Received for every read that returns data.
func (i *Idle) Reader(r io.Reader) io.Reader { return &idleReader{idle: i, source: r} }

type idleReader struct {
	idle   *Idle
	source io.Reader
}

func (r *idleReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.idle.Received()
	}
	return n, err
}
