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

// resumable is a route whose streams may go on at another upstream.
var resumable = catalog.Route{
	Kind: catalog.Streaming, CanResume: true, Attempts: 2, Objective: 4 * time.Second, GapObjective: 150 * time.Millisecond,
}

// whole is the text of events from first to last.
func whole(first, last int) string {
	text := ""
	for id := first; id <= last; id++ {
		text += fmt.Sprintf("id: %d\ndata: x\n\n", id)
	}
	return text
}

// An engine whose memory is full puts one of its streams back for two seconds and then goes
// on with it. No other engine holds the model. If the VM gave the exchange up, the caller
// would lose an answer that the engine was still making.
func TestStreamThatFallsSilentIsNotCutWithoutAnotherPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(resumable, map[string]script{"only": func(ctx context.Context, _ Attempt, out io.Writer) error {
			if err := events(ctx, out, 1, 5, 30*time.Millisecond); err != nil {
				return err
			}
			time.Sleep(2 * time.Second)
			return events(ctx, out, 6, 8, 30*time.Millisecond)
		}})
		sink, err := w.ask(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, whole(1, 8), sink.text)
		require.Empty(t, w.upstreams.ended())
		require.Len(t, w.upstreams.attempts(), 1)
	})
}

// The same engine, before the first event: the request waits in the engine's queue for
// longer than a dark engine would be given.
func TestRequestThatWaitsInAnEngineIsNotTakenBackWithoutAnotherPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(resumable, map[string]script{"only": func(ctx context.Context, _ Attempt, out io.Writer) error {
			time.Sleep(3 * time.Second)
			return events(ctx, out, 1, 3, 30*time.Millisecond)
		}})
		sink, err := w.ask(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, whole(1, 3), sink.text)
		require.Empty(t, w.upstreams.ended())
	})
}

// An engine goes dark in the middle of a stream: it sends no reset, and the caller would
// wait until it gives up. Another engine holds the model, so the stream goes on there after
// its last event.
func TestStreamOfADarkEngineGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dark := func(ctx context.Context, a Attempt, out io.Writer) error {
			if a.ResumeAfter != "" {
				return events(ctx, out, 6, 8, 30*time.Millisecond)
			}
			if err := events(ctx, out, 1, 5, 30*time.Millisecond); err != nil {
				return err
			}
			<-ctx.Done()
			return ctx.Err()
		}
		w := newWorld(resumable, map[string]script{"one": dark, "two": dark})
		sink, err := w.ask(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, whole(1, 8), sink.text)
		require.Len(t, w.upstreams.attempts(), 2)
		require.Equal(t, "5", w.upstreams.attempts()[1].ResumeAfter)
		require.NotEqual(t, w.upstreams.attempts()[0].Instance.ID, w.upstreams.attempts()[1].Instance.ID)
		synctest.Wait()
		require.Equal(t, []string{w.upstreams.attempts()[0].Instance.ID}, w.upstreams.ended())
	})
}

// One of the streams on an engine is put back, another one goes on: the engine lives. The
// stream that waits is left there, though another engine has room. That one would have to
// read everything anew, while the first resumes by itself.
func TestSilentStreamOfALivingEngineStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		living := func(ctx context.Context, a Attempt, out io.Writer) error {
			if a.Request.ID != "silent" {
				return events(ctx, out, 1, 100, 30*time.Millisecond)
			}
			if err := events(ctx, out, 1, 5, 30*time.Millisecond); err != nil {
				return err
			}
			time.Sleep(2 * time.Second)
			return events(ctx, out, 6, 8, 30*time.Millisecond)
		}
		w := newWorld(resumable, map[string]script{"one": living, "two": living})
		beside := make(chan error)
		for _, id := range []string{"beside one", "beside two"} {
			go func() {
				_, err := w.ask(t.Context(), id)
				beside <- err
			}()
			synctest.Wait()
		}
		sink, err := w.ask(t.Context(), "silent")
		require.NoError(t, err)
		require.Equal(t, whole(1, 8), sink.text)
		require.Empty(t, w.upstreams.ended())
		require.NoError(t, <-beside)
		require.NoError(t, <-beside)
	})
}

// An engine goes dark, and the retry budget is used up: an upstream that fails everything
// must not double the work of the others. The exchange goes on waiting, and ends when the
// connection does.
func TestSilentStreamStaysWithoutRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := errors.New("reset")
		dark := func(ctx context.Context, _ Attempt, out io.Writer) error {
			if err := events(ctx, out, 1, 2, 30*time.Millisecond); err != nil {
				return err
			}
			time.Sleep(5 * time.Second)
			return broken
		}
		w := newWorld(resumable, map[string]script{"one": dark, "two": dark})
		for w.core.options.Budget.Take("engines", 1, time.Now()) {
		}
		_, err := w.ask(t.Context(), "a")
		require.ErrorIs(t, err, ErrCut)
		require.Empty(t, w.upstreams.ended())
		require.Len(t, w.upstreams.attempts(), 1)
	})
}
