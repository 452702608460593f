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

	"github.com/chestnutarch/chestnutarch/internal/quarantine"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// noticeTime is how long the other VMs take to learn of an upstream that has ended, longer than a repeat of the request.
const noticeTime = 300 * time.Millisecond

// endingFixture returns a fixture whose upstreams have ended if their exchange fails. Its notices take noticeTime.
func endingFixture(scripts map[string]script) *fixture {
	f := newFixture(resumable, scripts)
	f.core.options.Liveness = func(context.Context, *upstream.Instance) Liveness { return Ended }
	f.core.options.ShareEnds = func([]quarantine.Key) <-chan struct{} {
		told := make(chan struct{})
		time.AfterFunc(noticeTime, func() { close(told) })
		return told
	}
	return f
}

// ends returns how many upstreams have ended under the request that fixture.serve sends.
func (f *fixture) ends() int {
	j := &job{core: f.core, service: "engines", request: &Request{Method: http.MethodPost, Host: "h", Model: "m"}}
	return f.core.options.Quarantine.Ends(j.contentsHash())
}

func breaks(context.Context, Attempt, io.Writer) error { return errors.New("the upstream ended") }

func silent(ctx context.Context, _ Attempt, _ io.Writer) error {
	<-ctx.Done()
	return ctx.Err()
}

// A caller whose request has ended upstreams repeats it at another VM at once: it must not be told before that VM knows.
func TestCallerIsToldOfAFailureAfterTheOtherVMsKnowOfTheEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := endingFixture(map[string]script{"a": breaks, "b": breaks})
		began := time.Now()
		sink, err := f.serve(t.Context(), "r")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, sink.status)
		require.Equal(t, noticeTime, time.Since(began))
		require.Equal(t, 2, f.ends())
	})
}

// Notices take seconds while VMs lack processor time: a caller of whose request two upstreams ended reached a VM that did not know.
func TestCallerWaitsForSlowNoticesBeforeTheLastEndThatIsAllowed(t *testing.T) {
	const slow = 4 * shareTimeout
	for name, c := range map[string]struct {
		scripts   map[string]script
		elsewhere int
		want      time.Duration
	}{
		"one end":                {map[string]script{"a": breaks}, 0, shareTimeout},
		"two ends":               {map[string]script{"a": breaks, "b": breaks}, 0, slow},
		"one, another elsewhere": {map[string]script{"a": breaks}, 1, slow + shareTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := endingFixture(c.scripts)
				f.core.options.ShareEnds = func([]quarantine.Key) <-chan struct{} {
					told := make(chan struct{})
					time.AfterFunc(slow, func() { close(told) })
					return told
				}
				for range c.elsewhere {
					j := &job{core: f.core, service: "engines", request: &Request{Method: http.MethodPost, Host: "h", Model: "m"}}
					f.core.options.Quarantine.Merge(quarantine.Record{Key: j.contentsHash(), Ends: map[string]time.Time{"z@1@address": time.Now()}}, time.Now())
				}
				began := time.Now()
				_, err := f.serve(t.Context(), "r")
				require.NoError(t, err)
				require.Equal(t, c.want, time.Since(began))
			})
		})
	}
}

// Without processor time neither an answer nor a refusal comes in time: such an end was never counted.
func TestEndThatShowsLateIsCountedBeforeTheCallerIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := endingFixture(map[string]script{"a": breaks})
		began := time.Now()
		f.core.options.Liveness = func(context.Context, *upstream.Instance) Liveness {
			if time.Since(began) < livenessPause {
				return LivenessUnknown
			}
			return Ended
		}
		_, err := f.serve(t.Context(), "r")
		require.NoError(t, err)
		require.Equal(t, 1, f.ends())
		require.Equal(t, livenessPause+noticeTime, time.Since(began))
	})
}

// The repeat of a request by the same VM must not wait until the other VMs know of an upstream that ended.
func TestRepeatDoesNotWaitForTheOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := endingFixture(map[string]script{"a": breaks})
		addEngine(f, "b", func(ctx context.Context, a Attempt, out io.Writer) error {
			if len(f.upstreams.attempts()) == 1 {
				return breaks(ctx, a, out)
			}
			return answerAtOnce(ctx, a, out)
		})
		f.upstreams.scripts["a"] = f.upstreams.scripts["b"]
		began := time.Now()
		sink, err := f.serve(t.Context(), "r")
		require.NoError(t, err)
		require.Equal(t, eventsText(1, 3), sink.text)
		require.Less(t, time.Since(began), noticeTime)
	})
}

// An upstream ends without a sign of it, and its exchange is ended for its silence: that end must count like the others.
func TestEndOfASilentUpstreamIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := endingFixture(map[string]script{"a": silent, "b": silent})
		sink, err := f.serve(t.Context(), "r")
		require.NoError(t, err)
		require.Equal(t, http.StatusGatewayTimeout, sink.status)
		require.Len(t, f.upstreams.attempts(), 2)
		require.Positive(t, f.ends())
	})
}

// An upstream that goes dark shows its end by its entry alone, after its exchanges have been given up.
func TestExchangeWithADarkUpstreamCountsOnceItsEntryIsGone(t *testing.T) {
	for name, c := range map[string]struct {
		scripts   map[string]script
		leavesAt  time.Duration
		cut       bool
		wantSends int
	}{
		"a slot elsewhere was reserved": {map[string]script{"a": silent, "b": silent}, 8 * time.Second, false, 2},
		"the time ran out":              {map[string]script{"a": silent}, time.Minute, false, 1},
		"the caller left":               {map[string]script{"a": silent}, 2 * time.Second, false, 1},
		"the service is not reached":    {map[string]script{"a": breaks}, time.Minute, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := endingFixture(c.scripts)
				f.core.options.Liveness = func(context.Context, *upstream.Instance) Liveness { return LivenessUnknown }
				if c.cut {
					f.core.options.Reach.RecordCheck("engines", 1, 0, time.Now())
				}
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				time.AfterFunc(c.leavesAt, leave)
				_, _ = f.serve(ctx, "r")
				require.Len(t, f.upstreams.attempts(), c.wantSends)
				for _, i := range f.instances {
					f.core.options.Quarantine.RecordGone(i.IncarnationID(), time.Now())
				}
				require.Equal(t, c.wantSends, f.ends())
			})
		})
	}
}

// An answer that does not come as a stream shows that the parts of its prompt end no upstreams, unless it is a failure.
func TestWholeAnswerClearsThePartsOfItsPrompt(t *testing.T) {
	for status, want := range map[int]int{http.StatusOK: 0, http.StatusNotFound: 1, http.StatusInternalServerError: 1} {
		f := newFixture(resumable, nil)
		j := &job{core: f.core, service: "engines", request: &Request{Parts: []PromptPart{{ID: "aa"}, {ID: "bb"}}}}
		f.core.options.Quarantine.RecordEnd(1, "a@1@address", time.Now().Add(-time.Second), j.sharedParts()...)
		j.recordAnswer(status)
		require.Equal(t, want, f.core.options.Quarantine.Ends(partKey("engines", "aa")))
		require.Zero(t, f.core.options.Quarantine.Ends(partKey("engines", "bb")), "the last part belongs to the request itself")
	}
}
