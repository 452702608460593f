package traffic

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// pushbackReplies adds what the answers of instances say about later requests.
type pushbackReplies struct {
	Upstreams
	said func(instance string) upstream.Pushback
}

func (u pushbackReplies) Send(ctx context.Context, a Attempt) (*Reply, error) {
	reply, err := u.Upstreams.Send(ctx, a)
	if err != nil {
		return nil, err
	}
	reply.Pushback = u.said(a.Instance.ID)
	if reply.Pushback.RetryAfter > 0 {
		reply.Status, reply.NotExecuted, reply.Body = http.StatusServiceUnavailable, true, strings.NewReader("")
	}
	return reply, nil
}

func breakAfterFirstEvent(ctx context.Context, _ Attempt, out io.Writer) error {
	_ = events(ctx, out, 1, 1, 0)
	return errors.New("broken off")
}

// An upstream says that it leaves and breaks its stream off; neither the rest of the stream nor a later request may go back to it.
func TestStreamIsNotResumedOnAnUpstreamThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"first": breakAfterFirstEvent, "second": breakAfterFirstEvent})
		f.core.options.Upstreams = pushbackReplies{f.upstreams, func(string) upstream.Pushback { return upstream.Pushback{Leaving: true} }}
		_, err := f.serve(t.Context(), "a")
		require.ErrorIs(t, err, ErrTruncated)
		require.Len(t, f.upstreams.attempts(), 2)
		require.NotEqual(t, f.upstreams.attempts()[0].Instance.ID, f.upstreams.attempts()[1].Instance.ID)

		began := time.Now()
		sink, err := f.serve(t.Context(), "b")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, sink.status)
		require.Zero(t, time.Since(began))
		require.Len(t, f.upstreams.attempts(), 2)
	})
}

// The only engine wants no requests for longer than a caller can wait. The caller must be told at once when to come back.
func TestRequestIsRefusedAtOnceWhenItsOnlyUpstreamWantsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"only": answerAtOnce})
		f.core.options.Upstreams = pushbackReplies{f.upstreams, func(string) upstream.Pushback { return upstream.Pushback{RetryAfter: 3 * time.Second} }}
		began := time.Now()
		for range 5 {
			sink, err := f.serve(t.Context(), "a")
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, sink.status)
			require.Equal(t, "upstreams_retry_later", sink.refusal.Reason)
			require.Equal(t, 3*time.Second, sink.refusal.RetryAfter)
		}
		require.Zero(t, time.Since(began))
		require.Len(t, f.upstreams.attempts(), 1)
	})
}

// The only engine wants no requests for a moment. A request that it has rejected must be held and sent there again.
func TestRequestIsHeldUntilItsOnlyUpstreamTakesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"only": answerAtOnce})
		began := time.Now()
		f.core.options.Upstreams = pushbackReplies{f.upstreams, func(string) upstream.Pushback {
			return upstream.Pushback{RetryAfter: 300*time.Millisecond - time.Since(began)}
		}}
		sink, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, sink.status)
		require.Len(t, f.upstreams.attempts(), 2)
		require.GreaterOrEqual(t, time.Since(began), 300*time.Millisecond)
	})
}
