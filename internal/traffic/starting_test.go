package traffic

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// All VMs are killed and restarted, and read their configuration half a second later. Callers
// send requests as soon as a VM listens. If they were refused, each would retry once, most of
// them on another VM that has no configuration yet either.
func TestRequestIsHeldWhileTheVMStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"only": oneEvent})
		loaded := f.core.Catalog()
		f.core = New(f.core.options)
		began := time.Now()
		go func() {
			time.Sleep(startingHold / 2)
			f.core.SetCatalog(loaded)
		}()
		sink, err := f.serve(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, eventsText(1, 1), sink.text)
		require.Less(t, time.Since(began), startingHold)
	})
}

// The VM cannot read a configuration. Its caller must be refused while it still has time to try
// another VM.
func TestRequestIsNotHeldLongWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"only": oneEvent})
		f.core = New(f.core.options)
		for _, wait := range []time.Duration{0, time.Second} {
			began := time.Now()
			sink := &fakeSink{}
			require.NoError(t, f.core.Serve(t.Context(), &Request{ID: "a", Host: "h", Path: "/", Arrived: began, Timeout: wait}, sink))
			require.Equal(t, http.StatusServiceUnavailable, sink.status)
			held := startingHold
			if wait > 0 {
				held = wait / startingHoldDivisor
			}
			require.Equal(t, held, time.Since(began))
		}
	})
}

func oneEvent(ctx context.Context, _ Attempt, out io.Writer) error { return events(ctx, out, 1, 1, 0) }
