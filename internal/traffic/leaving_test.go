package traffic

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

// leave makes an engine draining, as a later view of the store does.
func (f *fixture) leave(id string) { f.core.options.RecordLeaving(f.instances[id]) }

// requireOnlySentTo requires that all attempts went to one engine.
func (f *fixture) requireOnlySentTo(t *testing.T, id string) {
	t.Helper()
	require.NotEmpty(t, f.upstreams.attempts())
	for _, a := range f.upstreams.attempts() {
		require.Equal(t, id, a.Instance.ID)
	}
}

// A request waits for a permit, and its upstream begins to leave meanwhile.
func TestRequestWithAPermitIsNotSentToAnUpstreamThatLeavesMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"leaving": answerAtOnce})
		f.nameRateLimit("leaving")
		f.core.options.Permit = func(context.Context, upstreamrate.Key, bool) upstreamrate.Decision {
			time.Sleep(time.Second / 4)
			f.leave("leaving")
			addEngine(f, "other", answerAtOnce)
			return upstreamrate.Decision{Granted: true}
		}
		sink, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, sink.status)
		f.requireOnlySentTo(t, "other")
	})
}

// Opening a connection takes time, in which the upstream begins to leave.
func TestRequestIsNotWrittenToAnUpstreamThatLeavesWhileItConnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"leaving": answerAtOnce})
		f.upstreams.connect = func(a Attempt) {
			if a.Instance.ID == "leaving" {
				time.Sleep(time.Second / 2)
				f.leave("leaving")
				addEngine(f, "other", answerAtOnce)
			}
		}
		sink, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, sink.status)
		f.requireOnlySentTo(t, "other")
	})
}

// The process stood still, and what it then learns says that the chosen upstream has left.
func TestRequestIsNotWrittenBeforeNewsAfterAStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"leaving": answerAtOnce})
		told := false
		f.core.options.AwaitUpstreams = func(context.Context) {
			if !told {
				told = true
				f.leave("leaving")
				addEngine(f, "other", answerAtOnce)
			}
		}
		sink, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, sink.status)
		f.requireOnlySentTo(t, "other")
	})
}
