package traffic

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

// resumable is a route whose streams may be resumed on another upstream.
var resumable = catalog.Route{
	Kind: catalog.Streaming, CanResume: true, Attempts: 2, Objective: 4 * time.Second, GapObjective: 150 * time.Millisecond,
}

// eventsText returns the text of the events from first to last.
func eventsText(first, last int) string {
	text := ""
	for id := first; id <= last; id++ {
		text += fmt.Sprintf("id: %d\ndata: x\n\n", id)
	}
	return text
}

// An engine whose memory is full preempts one of its streams for two seconds and then
// continues it. No other engine holds the model. If the VM cancelled the exchange, the caller
// would lose a response that the engine was still generating.
func TestSilentStreamIsKeptWithoutAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"only": func(ctx context.Context, _ Attempt, out io.Writer) error {
			if err := events(ctx, out, 1, 5, 30*time.Millisecond); err != nil {
				return err
			}
			time.Sleep(2 * time.Second)
			return events(ctx, out, 6, 8, 30*time.Millisecond)
		}})
		sink, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, eventsText(1, 8), sink.text)
		require.Empty(t, f.upstreams.cancelledInstances())
		require.Len(t, f.upstreams.attempts(), 1)
	})
}

// The same case before the first event: the request waits in the engine's queue for longer
// than an unresponsive engine is allowed.
func TestQueuedRequestIsKeptWithoutAnotherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"only": func(ctx context.Context, _ Attempt, out io.Writer) error {
			time.Sleep(3 * time.Second)
			return events(ctx, out, 1, 3, 30*time.Millisecond)
		}})
		sink, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, eventsText(1, 3), sink.text)
		require.Empty(t, f.upstreams.cancelledInstances())
	})
}

// An engine becomes unresponsive in the middle of a stream: it sends no reset, and the caller
// would wait until its timeout. Another engine holds the model, so the stream resumes there
// after its last event.
func TestStreamOfUnresponsiveEngineResumesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unresponsive := func(ctx context.Context, a Attempt, out io.Writer) error {
			if a.ResumeAfter != "" {
				return events(ctx, out, 6, 8, 30*time.Millisecond)
			}
			if err := events(ctx, out, 1, 5, 30*time.Millisecond); err != nil {
				return err
			}
			<-ctx.Done()
			return ctx.Err()
		}
		f := newFixture(resumable, map[string]script{"one": unresponsive, "two": unresponsive})
		sink, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, eventsText(1, 8), sink.text)
		require.Len(t, f.upstreams.attempts(), 2)
		require.Equal(t, "5", f.upstreams.attempts()[1].ResumeAfter)
		require.NotEqual(t, f.upstreams.attempts()[0].Instance.ID, f.upstreams.attempts()[1].Instance.ID)
		synctest.Wait()
		require.Equal(t, []string{f.upstreams.attempts()[0].Instance.ID}, f.upstreams.cancelledInstances())
	})
}

// An engine preempts one of its streams and continues another one, so the engine is active.
// The preempted stream stays there although another engine has capacity: the other engine
// would have to process the whole prompt again, while the first resumes by itself.
func TestSilentStreamOfActiveEngineIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		preempting := func(ctx context.Context, a Attempt, out io.Writer) error {
			if a.Request.ID != "silent" {
				return events(ctx, out, 1, 100, 30*time.Millisecond)
			}
			if err := events(ctx, out, 1, 5, 30*time.Millisecond); err != nil {
				return err
			}
			time.Sleep(2 * time.Second)
			return events(ctx, out, 6, 8, 30*time.Millisecond)
		}
		f := newFixture(resumable, map[string]script{"one": preempting, "two": preempting})
		others := make(chan error)
		for _, id := range []string{"beside one", "beside two"} {
			go func() {
				_, err := f.serve(t.Context(), id)
				others <- err
			}()
			synctest.Wait()
		}
		sink, err := f.serve(t.Context(), "silent")
		require.NoError(t, err)
		require.Equal(t, eventsText(1, 8), sink.text)
		require.Empty(t, f.upstreams.cancelledInstances())
		require.NoError(t, <-others)
		require.NoError(t, <-others)
	})
}

// An engine becomes unresponsive and the retry budget is used up: an upstream that fails
// every request must not double the load of the others. The exchange keeps waiting and ends
// when its connection does.
func TestSilentStreamIsKeptWithoutRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := errors.New("reset")
		unresponsive := func(ctx context.Context, _ Attempt, out io.Writer) error {
			if err := events(ctx, out, 1, 2, 30*time.Millisecond); err != nil {
				return err
			}
			time.Sleep(5 * time.Second)
			return broken
		}
		f := newFixture(resumable, map[string]script{"one": unresponsive, "two": unresponsive})
		for f.core.options.Budget.AllowRetry("engines", 1, time.Now()) {
		}
		_, err := f.serve(t.Context(), "a")
		require.ErrorIs(t, err, ErrTruncated)
		require.Empty(t, f.upstreams.cancelledInstances())
		require.Len(t, f.upstreams.attempts(), 1)
	})
}
