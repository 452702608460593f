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

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/quarantine"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

const (
	// wayToCaller is how long a message is on its way between a caller and a VM.
	wayToCaller = 10 * time.Millisecond
	// callerTimeout is how long the caller waits, from when it sends its request.
	callerTimeout = 850 * time.Millisecond
)

// silentUpstreams accept connections only if they connect, and never answer.
type silentUpstreams struct{ connect bool }

func (u silentUpstreams) Send(ctx context.Context, a Attempt) (*Reply, error) {
	if !u.connect {
		<-ctx.Done()
		return nil, errors.Wrap(ErrNotSent, a.Instance.ID)
	}
	if err := a.BeforeWrite(); err != nil {
		return nil, err
	}
	<-ctx.Done()
	return nil, errors.Wrap(ErrUnknown, a.Instance.ID)
}

// What a request waits for stands still. Its caller must have an answer before it gives up.
func TestCallerHasAnAnswerBeforeItsDeadline(t *testing.T) {
	cases := map[string]struct {
		breakDown func(*fixture)
		status    int
	}{
		"the first configuration": {func(f *fixture) { f.core = New(f.core.options) }, http.StatusServiceUnavailable},
		"a slot": {func(f *fixture) {
			for range 64 {
				_, _ = f.assigner.Choose(assign.Request{Service: "engines", Model: "m", PromptTokens: 5000, OutputTokens: 5000, Deadline: time.Now().Add(time.Hour), StartBy: time.Now().Add(time.Hour)}, time.Now())
			}
		}, http.StatusServiceUnavailable},
		"a permit": {func(f *fixture) {
			f.nameRateLimit("engine")
			f.core.options.Permit = func(ctx context.Context, _ upstreamrate.Key, _ bool) upstreamrate.Decision {
				<-ctx.Done()
				return upstreamrate.Decision{RetryAfter: time.Millisecond}
			}
		}, http.StatusServiceUnavailable},
		"an adapter": {func(f *fixture) {
			f.core.options.EnsureAdapter = func(ctx context.Context, _ AdapterRequest) (string, error) {
				<-ctx.Done()
				return "", ErrNotSent
			}
		}, http.StatusServiceUnavailable},
		"news of the upstreams": {func(f *fixture) {
			f.core.options.AwaitUpstreams = func(ctx context.Context) { <-ctx.Done() }
		}, http.StatusServiceUnavailable},
		"another VM": {func(f *fixture) {
			*f = *cutFixture(func(ctx context.Context, _ string, _ Forwarded, _ Sink) (ForwardEnd, error) {
				<-ctx.Done()
				return ForwardEnd{}, ErrNotForwarded
			})
		}, http.StatusServiceUnavailable},
		"another VM that has taken it": {func(f *fixture) {
			*f = *cutFixture(func(ctx context.Context, _ string, _ Forwarded, _ Sink) (ForwardEnd, error) {
				<-ctx.Done()
				return ForwardEnd{}, ErrUnknown
			})
		}, http.StatusGatewayTimeout},
		"a connection": {func(f *fixture) { f.core.options.Upstreams = silentUpstreams{} }, http.StatusServiceUnavailable},
		"an upstream":  {func(f *fixture) { f.core.options.Upstreams = silentUpstreams{connect: true} }, http.StatusGatewayTimeout},
		"VMs that are told of an upstream": {func(f *fixture) {
			f.core.options.Upstreams = silentUpstreams{connect: true}
			f.core.options.Liveness = func(ctx context.Context, _ *upstream.Instance) Liveness { <-ctx.Done(); return Ended }
			f.core.options.ShareEnds = func([]quarantine.Key) <-chan struct{} { return nil }
		}, http.StatusGatewayTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(resumable, map[string]script{"engine": answerAtOnce})
				c.breakDown(f)
				sent, sink := time.Now(), &fakeSink{}
				time.Sleep(wayToCaller)
				q := &Request{ID: "a", Host: "h", Path: "/", Method: http.MethodPost, Arrived: time.Now(), Timeout: callerTimeout, Model: "m"}
				if name == "an adapter" {
					q.Adapter = "a1"
				}
				require.NoError(t, f.core.Serve(t.Context(), q, sink))
				require.Equal(t, c.status, sink.status)
				time.Sleep(wayToCaller)
				require.Less(t, time.Since(sent), callerTimeout)
			})
		})
	}
}

// A response that has begun goes on until the deadline itself.
func TestResponseThatHasBegunIsNotEndedBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		last := callerTimeout - 5*time.Millisecond
		f := newFixture(resumable, map[string]script{"engine": func(ctx context.Context, _ Attempt, out io.Writer) error {
			return events(ctx, out, 1, 2, last)
		}})
		sink := &fakeSink{}
		q := &Request{ID: "a", Host: "h", Path: "/", Method: http.MethodPost, Arrived: time.Now(), Timeout: callerTimeout, Model: "m"}
		require.NoError(t, f.core.Serve(t.Context(), q, sink))
		require.Equal(t, eventsText(1, 2), sink.text)
	})
}
