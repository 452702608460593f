package telemetry

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// routineLines and reservedLines are how many lines wait for the writer at most:
	// those of debug and info level, and those from warn level on. Together they take
	// under 2 MB at 500 bytes a line.
	routineLines  = 2048
	reservedLines = 1024
	// routinePerSecond is the rate of routine lines that is kept up. Beyond it they
	// are dropped and counted: at ten times the usual load of a VM of some 30 requests
	// a second, with two lines for each, nothing is dropped.
	routinePerSecond = 800
	// writeEvery is the time between two writes, batchBytes the size from which one is
	// not left to grow.
	writeEvery = 100 * time.Millisecond
	batchBytes = 64 << 10
	// reportEvery is how often dropped lines are reported.
	reportEvery = 5 * time.Second
)

// Bounded passes log lines to a writer from a goroutine of its own. A reader of the
// log that stops reading would otherwise block every request that writes a line,
// which callers would see as a VM that hangs. What cannot wait is dropped and counted.
// Lines from warn level on have room of their own, so that the successes of a busy
// second cannot push out a failure.
type Bounded struct {
	out               io.Writer
	routine, reserved chan []byte
	credit            atomic.Int64
	// batch belongs to Run.
	batch bytes.Buffer

	droppedRoutine, droppedReserved atomic.Int64
}

// NewBounded returns a writer that passes nothing on until Run is called.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, routine: make(chan []byte, routineLines), reserved: make(chan []byte, reservedLines)}
	b.credit.Store(routinePerSecond)
	return b
}

// Write implements io.Writer for lines without a level.
func (b *Bounded) Write(line []byte) (int, error) {
	return b.WriteLevel(zerolog.NoLevel, line)
}

// WriteLevel implements zerolog.LevelWriter. It never blocks and never fails.
func (b *Bounded) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	if level >= zerolog.WarnLevel && level <= zerolog.PanicLevel {
		offer(b.reserved, copied, &b.droppedReserved)
		return len(line), nil
	}
	if b.credit.Add(-1) < 0 {
		b.droppedRoutine.Add(1)
		return len(line), nil
	}
	offer(b.routine, copied, &b.droppedRoutine)
	return len(line), nil
}

func offer(to chan []byte, line []byte, dropped *atomic.Int64) {
	select {
	case to <- line:
	default:
		dropped.Add(1)
	}
}

// Dropped returns how many lines were dropped: routine ones and those from warn level
// on.
func (b *Bounded) Dropped() (routine, reserved int64) {
	return b.droppedRoutine.Load(), b.droppedReserved.Load()
}

// Run writes until ctx ends, and then what still waits. Lines are written a few times
// a second, many at once: a write and a wake-up of its own for each line would cost more
// than making the line. A process that is killed loses what came since the last write.
func (b *Bounded) Run(ctx context.Context) {
	write := time.NewTicker(writeEvery)
	defer write.Stop()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	var reported int64
	for {
		select {
		case <-write.C:
			b.flush()
		case <-second.C:
			b.credit.Store(routinePerSecond)
		case <-report.C:
			reported = b.reportDrops(reported)
		case <-ctx.Done():
			b.flush()
			return
		}
	}
}

// reportDrops writes a line if lines were dropped since the last one.
func (b *Bounded) reportDrops(reported int64) int64 {
	routine, reserved := b.Dropped()
	if routine+reserved == reported {
		return reported
	}
	log := zerolog.New(b.out)
	log.Warn().Str("event", "log_dropped").Int64("routine", routine).Int64("reserved", reserved).Send()
	return routine + reserved
}

// flush writes what waits.
func (b *Bounded) flush() {
	b.batch.Reset()
	for {
		select {
		case line := <-b.reserved:
			b.batch.Write(line)
		case line := <-b.routine:
			b.batch.Write(line)
		default:
			b.pass()
			return
		}
		if b.batch.Len() > batchBytes {
			b.pass()
		}
	}
}

// pass writes the batch. A log that cannot be written has nowhere to say so.
func (b *Bounded) pass() {
	if b.batch.Len() > 0 {
		_, _ = b.out.Write(b.batch.Bytes())
		b.batch.Reset()
	}
}
