package traffic

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

// cutFixture returns a fixture that does not reach its upstreams, and hands its requests over by forward.
func cutFixture(forward ForwardFunc) *fixture {
	f := newFixture(resumable, map[string]script{"engine": answerAtOnce})
	f.core.options.Forward = forward
	f.cut(time.Now())
	return f
}

// cut makes the fixture's VM notice at a time that it does not reach its upstreams.
func (f *fixture) cut(now time.Time) {
	f.core.options.Reach.End(f.core.options.Reach.Begin("engines", 0, nil, now), true, now)
	f.core.options.Reach.Due(now)
	f.core.options.Reach.RecordCheck("engines", 1, 0, now)
}

// Guards against closing a stream without its end that another VM has gone on with to its end.
func TestStreamThatAnotherVMGoesOnWithEndsWhole(t *testing.T) {
	var f *fixture
	f = newFixture(resumable, map[string]script{"engine": func(ctx context.Context, a Attempt, out io.Writer) error {
		defer f.cut(time.Now().Add(time.Minute))
		return breakAfter(2)(ctx, a, out)
	}})
	f.core.options.Forward = func(_ context.Context, _ string, in Forwarded, sink Sink) (ForwardEnd, error) {
		require.True(t, in.ResponseBegun)
		require.Equal(t, "2", in.LastEventID)
		return ForwardEnd{Sends: 2, PossibleRuns: 2}, sink.WriteChunk([]byte("id: 3\ndata: c\n\n"))
	}
	sink, err := f.serve(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, sink.status)
}

// The other VM refuses a request that an upstream may have run before: its caller must not be told that it was not run.
func TestRefusalOfAForwardedRequestThatMayHaveRunPromisesNothing(t *testing.T) {
	for _, runs := range []int{0, 1} {
		f := cutFixture(func(_ context.Context, _ string, in Forwarded, sink Sink) (ForwardEnd, error) {
			require.Empty(t, in.Request.Key)
			sink.Refuse(*notReadyRefusal())
			return ForwardEnd{PossibleRuns: runs}, nil
		})
		sink, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, map[int]int{0: http.StatusServiceUnavailable, 1: http.StatusBadGateway}[runs], sink.status)
		require.Equal(t, runs == 0, sink.refusal.RetryAfter > 0)
	}
}

// The other VM ends a request without a response: what the caller gets must not look like one.
func TestForwardedRequestWithoutAResponseIsCut(t *testing.T) {
	f := cutFixture(func(context.Context, string, Forwarded, Sink) (ForwardEnd, error) {
		return ForwardEnd{PossibleRuns: 1}, nil
	})
	_, err := f.serve(t.Context(), "a")
	require.ErrorIs(t, err, ErrTruncated)
}

// Guards against a status that promises, which a VM of an earlier build passes on after a run.
func TestStatusThatPromisesIsNotPassedOnFromAnotherVM(t *testing.T) {
	for _, whole := range []bool{true, false} {
		f := newFixture(catalog.Route{Kind: catalog.NonIdempotent, Attempts: 1}, map[string]script{"engine": answerAtOnce})
		f.core.options.Forward = func(_ context.Context, _ string, _ Forwarded, sink Sink) (ForwardEnd, error) {
			if whole {
				sink.WriteResponse(http.StatusServiceUnavailable, http.Header{}, []byte("busy"))
				return ForwardEnd{Sends: 1, PossibleRuns: 1}, nil
			}
			sink.Begin(http.StatusServiceUnavailable, http.Header{})
			return ForwardEnd{Sends: 1, PossibleRuns: 1}, sink.WriteChunk([]byte("busy"))
		}
		f.cut(time.Now())
		sink, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, sink.status)
		require.Empty(t, sink.text)
	}
}

// The connection to the other VM breaks: it may have made all attempts that the route allows, so that none is left.
func TestRequestIsNotSentAgainAfterAHopThatBroke(t *testing.T) {
	calls := 0
	f := cutFixture(func(context.Context, string, Forwarded, Sink) (ForwardEnd, error) {
		calls++
		return ForwardEnd{}, ErrUnknown
	})
	sink, err := f.serve(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, sink.status)
	require.Equal(t, 1, calls)
	require.Empty(t, f.upstreams.attempts())
}
