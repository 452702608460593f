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
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

func answerAtOnce(ctx context.Context, _ Attempt, out io.Writer) error {
	return events(ctx, out, 1, 3, 10*time.Millisecond)
}

// nameRateLimit makes an engine name a limit in all answers to this VM.
func (f *fixture) nameRateLimit(id string) {
	i := f.instances[id]
	f.assigner.MergeRateLimit(upstreamrate.KeyOf(i), upstreamrate.Limit{PerSecond: 1, Revision: 1}, time.Now())
}

// No permit is available for one engine. Its requests must go to another one instead of being refused.
func TestRequestWithoutAPermitGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"in-need": answerAtOnce, "other": answerAtOnce})
		f.nameRateLimit("in-need")
		f.core.options.Permit = func(context.Context, upstreamrate.Key, bool) upstreamrate.Decision {
			return upstreamrate.Decision{RetryAfter: time.Second}
		}
		for range 20 {
			sink, err := f.serve(t.Context(), "a")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, sink.status)
		}
		for _, a := range f.upstreams.attempts() {
			require.Equal(t, "other", a.Instance.ID)
		}
	})
}

// A caller that cannot get a permit in time must be told at once, and when one may be available.
func TestRequestThatCannotGetAPermitInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"in-need": answerAtOnce})
		f.nameRateLimit("in-need")
		f.core.options.Permit = func(_ context.Context, _ upstreamrate.Key, needed bool) upstreamrate.Decision {
			return upstreamrate.Decision{RetryAfter: 3 * time.Second}
		}
		began := time.Now()
		sink, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, sink.status)
		require.Equal(t, "upstreams_rate_limited", sink.refusal.Reason)
		require.Equal(t, 3*time.Second, sink.refusal.RetryAfter)
		require.Zero(t, time.Since(began))
		require.Empty(t, f.upstreams.attempts())
	})
}

// The only engine has a permit again before the answer is due. The request must be held until then.
func TestRequestIsHeldForAPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"in-need": answerAtOnce})
		f.nameRateLimit("in-need")
		began := time.Now()
		f.core.options.Permit = func(context.Context, upstreamrate.Key, bool) upstreamrate.Decision {
			wait := 500*time.Millisecond - time.Since(began)
			return upstreamrate.Decision{Granted: wait <= 0, RetryAfter: wait}
		}
		sink, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, sink.status)
	})
}

// limitReplies adds what answers say about a rate limit.
type limitReplies struct {
	Upstreams
	edit func(*Reply)
}

func (u limitReplies) Send(ctx context.Context, a Attempt) (*Reply, error) {
	reply, err := u.Upstreams.Send(ctx, a)
	if err == nil {
		u.edit(reply)
	}
	return reply, err
}

// A header of a rate limit that cannot be read hid that the upstream is brittle.
func TestUnreadableRateLimitDoesNotHideABrittleUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"a": answerAtOnce})
		f.core.options.Upstreams = limitReplies{f.upstreams, func(r *Reply) {
			r.RateLimitError = errors.New("bad")
			r.RateLimit = upstream.RateLimit{Brittle: true, MaxRejections: 3}
		}}
		_, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Len(t, f.assigner.BrittleServices(), 1)
	})
}

// An answer that need not come from the upstream itself names no limit. The upstream's limit stays.
func TestOnlyAnUpstreamsOwnAnswerEndsItsRateLimit(t *testing.T) {
	for name, c := range map[string]struct {
		edit  func(*Reply)
		stays bool
	}{
		"signed":       {func(*Reply) {}, false},
		"unsigned":     {func(r *Reply) { r.Signed = false }, true},
		"misdirected":  {func(r *Reply) { r.Status, r.NotExecuted, r.Misdirected = http.StatusMisdirectedRequest, true, true }, true},
		"not executed": {func(r *Reply) { r.Status, r.NotExecuted, r.Signed = http.StatusServiceUnavailable, true, false }, true},
		"unreadable":   {func(r *Reply) { r.RateLimitError = errors.New("bad") }, true},
		"named again":  {func(r *Reply) { r.RateLimit = upstream.RateLimit{Named: true, PerSecond: 1} }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(resumable, map[string]script{"in-need": answerAtOnce})
				f.nameRateLimit("in-need")
				f.core.options.Upstreams = limitReplies{f.upstreams, c.edit}
				f.core.options.Permit = func(context.Context, upstreamrate.Key, bool) upstreamrate.Decision {
					return upstreamrate.Decision{Granted: true}
				}
				time.Sleep(time.Second)
				_, _ = f.serve(t.Context(), "a")
				require.Equal(t, c.stays, len(f.assigner.RateLimits().InForce()) == 1)
			})
		})
	}
}
