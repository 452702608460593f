package transport

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrIdleTimeout is the cause of a context that ended because nothing was received within the
// idle timeout.
var ErrIdleTimeout = errors.New("transport: nothing received for too long")

// IdleTimer is the idle timeout of a transfer. A timeout for the whole transfer would end every
// attempt to transfer a large body over a slow link before it is complete.
type IdleTimer struct {
	timer  *time.Timer
	limit  time.Duration
	cancel context.CancelFunc
}

// WithIdleTimeout returns a context that ends with the cause ErrIdleTimeout if nothing is received within
// first, or if after that nothing is received for limit. Stop must be called to release its
// resources.
func WithIdleTimeout(ctx context.Context, first, limit time.Duration) (context.Context, *IdleTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	i := &IdleTimer{limit: limit, cancel: func() { cancel(context.Canceled) }}
	i.timer = time.AfterFunc(first, func() { cancel(ErrIdleTimeout) })
	return ctx, i
}

// Received restarts the timeout because data has been received.
func (i *IdleTimer) Received() { i.timer.Reset(i.limit) }

// Stop cancels the context and stops the timer.
func (i *IdleTimer) Stop() {
	i.timer.Stop()
	i.cancel()
}

// Reader returns a reader of r that calls Received for every read that returns data.
func (i *IdleTimer) Reader(r io.Reader) io.Reader { return &idleReader{idle: i, source: r} }

type idleReader struct {
	idle   *IdleTimer
	source io.Reader
}

func (r *idleReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.idle.Received()
	}
	return n, err
}
