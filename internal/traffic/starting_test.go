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

// All VMs are killed and start again, and read their configuration half a second later. Callers
// come as soon as a VM listens. Refused, each of them would have come back once, most of them to
// the next VM that knows nothing yet.
func TestRequestIsHeldWhileTheVMStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(resumable, map[string]script{"only": oneEvent})
		k := w.core.Catalog()
		w.core = New(w.core.options)
		began := time.Now()
		go func() {
			time.Sleep(startingHold / 2)
			w.core.SetCatalog(k)
		}()
		sink, err := w.ask(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, whole(1, 1), sink.text)
		require.Less(t, time.Since(began), startingHold)
	})
}

// The VM cannot read a configuration. Its caller is told while there is time to ask another VM.
func TestRequestIsNotHeldLongByAVMThatKnowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(resumable, map[string]script{"only": oneEvent})
		w.core = New(w.core.options)
		for _, wait := range []time.Duration{0, time.Second} {
			began := time.Now()
			sink := &fakeSink{}
			require.NoError(t, w.core.Serve(t.Context(), &Request{ID: "a", Host: "h", Path: "/", Arrived: began, Wait: wait}, sink))
			require.Equal(t, http.StatusServiceUnavailable, sink.status)
			held := startingHold
			if wait > 0 {
				held = wait / startingShare
			}
			require.Equal(t, held, time.Since(began))
		}
	})
}

func oneEvent(ctx context.Context, _ Attempt, out io.Writer) error { return events(ctx, out, 1, 1, 0) }
