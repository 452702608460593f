package traffic

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// An engine begins a stream at once and then processes the prompts of other requests
// between the stream's fourth and fifth event, for longer than the route's pause objective.
// The caller sees the stream stall. A log that records only the time to the first event would
// report the response as in time.
func TestStreamWithALongPauseIsLoggedAsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"one": func(ctx context.Context, _ Attempt, out io.Writer) error {
			if err := events(ctx, out, 1, 4, 40*time.Millisecond); err != nil {
				return err
			}
			time.Sleep(210 * time.Millisecond)
			return events(ctx, out, 5, 9, 40*time.Millisecond)
		}})
		_, err := f.serve(t.Context(), "stutters")
		require.NoError(t, err)
		line := f.log.lastOf("request_ended", "stutters")
		require.Equal(t, "answered", line["outcome"])
		require.Equal(t, "pause", line["late"])
		require.Equal(t, 210.0, line["longest_pause_ms"])
		require.Equal(t, 120.0, line["pause_at_ms"])
		require.Equal(t, "4", line["pause_after"])
		require.Equal(t, 150.0, line["pause_objective_ms"])
	})
}

func TestStreamThatKeepsItsPaceIsNotLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(resumable, map[string]script{"one": func(ctx context.Context, _ Attempt, out io.Writer) error {
			return events(ctx, out, 1, 9, 40*time.Millisecond)
		}})
		_, err := f.serve(t.Context(), "steady")
		require.NoError(t, err)
		require.Empty(t, f.log.lastOf("request_ended", "steady")["late"])
	})
}
