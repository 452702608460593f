package telemetry

import (
	"bytes"
	"context"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// The program that collects a process's log stops reading, and the pipe between them is
// full. Logging must not block the request path; once the queues are full, each dropped
// line is counted.
func TestFullPipeDoesNotBlockLogging(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	b := NewBoundedWriter(writer)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { b.Run(ctx) })
	log := zerolog.New(b)
	filler := strings.Repeat("x", 2000)
	for range 4 * routineQueueLines {
		log.Info().Str("filler", filler).Send()
		log.Warn().Str("filler", filler).Send()
	}
	routine, reserved := b.Dropped()
	require.Positive(t, routine)
	require.Positive(t, reserved)
	cancel()
	require.NoError(t, reader.Close())
	wg.Wait()
}

// Successes in one second write ten times as many lines as the rate limit of routine lines
// admits. The one failure among them must still be in the log.
func TestRoutineLinesDoNotDisplaceWarnings(t *testing.T) {
	var out bytes.Buffer
	b := NewBoundedWriter(&out)
	log := zerolog.New(b)
	for range 10 * routineLinesPerSecond {
		log.Info().Str("outcome", "answered").Send()
	}
	log.Warn().Str("outcome", "cut").Send()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	b.Run(ctx)
	require.Contains(t, out.String(), "cut")
	require.LessOrEqual(t, strings.Count(out.String(), "answered"), routineLinesPerSecond)
	routine, reserved := b.Dropped()
	require.Equal(t, int64(9*routineLinesPerSecond), routine)
	require.Zero(t, reserved)
}

func BenchmarkBoundedLine(b *testing.B) {
	w := NewBoundedWriter(new(bytes.Buffer))
	log := zerolog.New(w)
	b.ReportAllocs()
	for b.Loop() {
		w.routineBudget.Store(routineLinesPerSecond)
		log.Info().Str("event", "request_ended").Str("request", "9c41d07be2a35f68").Dur("took_ms", time.Second).Send()
	}
}

// Guards against lines that callers make long, and which fill the memory while nobody writes them.
func TestLongLinesAreBoundedInBytes(t *testing.T) {
	b := NewBoundedWriter(nil)
	line := make([]byte, 16<<10)
	for range 2 * reservedQueueLines {
		_, _ = b.WriteLevel(zerolog.WarnLevel, line)
		_, _ = b.WriteLevel(zerolog.InfoLevel, line)
	}
	for _, queue := range []*lineQueue{&b.routine, &b.reserved} {
		require.LessOrEqual(t, len(queue.lines)*len(line), queueBytes)
		require.Positive(t, queue.dropped.Load())
		for queue.next() != nil {
		}
		require.Zero(t, queue.bytes.Load())
	}
}
