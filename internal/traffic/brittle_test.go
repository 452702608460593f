package traffic

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

// setBrittle makes an instance one that falls over after more than one rejection in a second.
func (f *fixture) setBrittle(id string) {
	i := f.instances[id]
	f.assigner.MergeRateLimit(upstreamrate.KeyOf(i), upstreamrate.Limit{PerSecond: upstreamrate.Unlimited, Brittle: true, MaxRejections: 1, Revision: 1}, time.Now())
}

// brittleReplies makes answers say that their upstreams are brittle, and rejects requests if these are full.
type brittleReplies struct {
	Upstreams
	full bool
}

func (u brittleReplies) Send(ctx context.Context, a Attempt) (*Reply, error) {
	reply, err := u.Upstreams.Send(ctx, a)
	if err != nil {
		return nil, err
	}
	reply.RateLimit = upstream.RateLimit{Brittle: true, MaxRejections: 1}
	if u.full {
		reply.Status, reply.NotExecuted, reply.Body = http.StatusServiceUnavailable, true, strings.NewReader("")
	}
	return reply, nil
}

// released is a permit that was given back.
type released struct {
	upstream string
	permit   uint64
	rejected bool
}

// A permit that is not given back makes a brittle upstream unreachable; one rejection must be known to the issuer.
func TestPermitsOfBrittleUpstreamsAreGivenBack(t *testing.T) {
	for name, s := range map[string]struct {
		full   bool
		status int
	}{
		"answered": {false, http.StatusOK},
		"rejected": {true, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(resumable, map[string]script{"only": answerAtOnce})
				f.core.options.Upstreams = brittleReplies{f.upstreams, s.full}
				f.setBrittle("only")
				var asked []uint64
				var given []released
				f.core.options.TakePlace = func(_ context.Context, q PlaceRequest) upstreamrate.Decision {
					asked = append(asked, q.Permit)
					return upstreamrate.Decision{Granted: true}
				}
				f.core.options.ReleasePlace = func(k upstreamrate.Key, permit uint64, rejected bool) {
					given = append(given, released{k.Instance, permit, rejected})
				}
				sink, err := f.serve(t.Context(), "a")
				require.NoError(t, err)
				require.Equal(t, s.status, sink.status)
				require.Len(t, asked, 1)
				require.Equal(t, []released{{"only", asked[0], s.full}}, given)
			})
		})
	}
}

// All instances of a service are brittle as soon as one says so: those that have just started are pushed over first.
func TestRequestIsRefusedWhileBrittleUpstreamsAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"one": answerAtOnce, "other": answerAtOnce})
		f.setBrittle("one")
		asked := make(map[string]bool)
		f.core.options.TakePlace = func(_ context.Context, q PlaceRequest) upstreamrate.Decision {
			asked[q.Upstream.Instance] = true
			return upstreamrate.Decision{RetryAfter: 3 * time.Second}
		}
		sink, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, sink.status)
		require.Equal(t, "upstreams_full", sink.refusal.Reason)
		require.GreaterOrEqual(t, sink.refusal.RetryAfter, 3*time.Second)
		require.LessOrEqual(t, sink.refusal.RetryAfter, 4*time.Second)
		require.Len(t, asked, 2)
		require.Empty(t, f.upstreams.attempts())
	})
}
