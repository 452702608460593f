package traffic

import (
	"context"
	"io"
	"net/http"
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
	said map[string]upstream.Pushback
}

func (u pushbackReplies) Send(ctx context.Context, a Attempt) (*Reply, error) {
	reply, err := u.Upstreams.Send(ctx, a)
	if err == nil {
		reply.Pushback = u.said[a.Instance.ID]
	}
	return reply, err
}

func breakAfterFirstEvent(ctx context.Context, _ Attempt, out io.Writer) error {
	_ = events(ctx, out, 1, 1, 0)
	return errors.New("broken off")
}

// An upstream says that it leaves and breaks its stream off; neither the rest of the stream nor a later request may go back to it.
func TestStreamIsNotResumedOnAnUpstreamThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"first": breakAfterFirstEvent, "second": breakAfterFirstEvent})
		leaving := upstream.Pushback{Leaving: true}
		f.core.options.Upstreams = pushbackReplies{f.upstreams, map[string]upstream.Pushback{"first": leaving, "second": leaving}}
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
