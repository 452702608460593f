package transport

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const idleLimit = time.Second

// A large transfer over a slow link takes many times the idle timeout. If it were ended,
// every retry would start from the beginning and never complete.
func TestIdleTimeoutAllowsTransferWithProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, idle := WithIdleTimeout(t.Context(), idleLimit, idleLimit)
		defer idle.Stop()
		r, w := io.Pipe()
		go func() {
			for range 50 {
				time.Sleep(idleLimit * 9 / 10)
				_, _ = w.Write([]byte("x"))
			}
			_ = w.Close()
		}()
		got, err := io.ReadAll(idle.Reader(r))
		require.NoError(t, err)
		require.Len(t, got, 50)
		require.NoError(t, ctx.Err())
	})
}

// The peer stops sending in the middle of a transfer, without a reset.
func TestIdleTimeoutEndsStalledTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, idle := WithIdleTimeout(t.Context(), 3*idleLimit, idleLimit)
		defer idle.Stop()
		time.Sleep(2 * idleLimit)
		idle.Received()
		start := time.Now()
		<-ctx.Done()
		require.Equal(t, idleLimit, time.Since(start))
		require.ErrorIs(t, context.Cause(ctx), ErrIdleTimeout)
	})
}
