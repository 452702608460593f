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
	// routineQueueLines and reservedQueueLines are the capacities of the queues of lines
	// that wait to be written: lines of debug or info level or without a level, and lines
	// of warn level and above.
	routineQueueLines  = 2048
	reservedQueueLines = 1024
	// queueBytes is how much the lines of one queue may take together: callers choose parts of
	// some lines.
	queueBytes = 1 << 20
	// routineLinesPerSecond limits the rate of routine lines; those beyond it are dropped
	// and counted. At ten times the usual load of a VM, which is some 30 requests a
	// second with two lines each, nothing is dropped.
	routineLinesPerSecond = 800
	// flushInterval is the time between two flushes. A batch that grows beyond
	// flushThresholdBytes is written at once.
	flushInterval       = 100 * time.Millisecond
	flushThresholdBytes = 64 << 10
	// dropReportInterval is the interval at which dropped lines are reported.
	dropReportInterval = 5 * time.Second
)

// BoundedWriter writes log lines asynchronously through bounded queues. With direct
// writes, a log reader that stops reading would block every request that logs a line,
// and callers would see a VM that hangs. Lines that do not fit into their queue are
// dropped and counted. Lines of warn level and above have a separate queue, so that the
// successes of a busy second cannot displace a failure.
type BoundedWriter struct {
	out               io.Writer
	routine, reserved lineQueue
	routineBudget     atomic.Int64
	// batch is used only by the goroutine of Run.
	batch bytes.Buffer
}

// lineQueue holds lines that wait to be written.
type lineQueue struct {
	lines chan []byte
	// bytes is the size of these lines, dropped the number of those that found no room.
	bytes, dropped atomic.Int64
}

// add adds a copy of a line, or drops it if there is no room.
func (q *lineQueue) add(line []byte) {
	if q.bytes.Add(int64(len(line))) <= queueBytes {
		select {
		case q.lines <- append([]byte(nil), line...):
			return
		default:
		}
	}
	q.bytes.Add(-int64(len(line)))
	q.dropped.Add(1)
}

// next returns the next line, nil if there is none.
func (q *lineQueue) next() []byte {
	select {
	case line := <-q.lines:
		q.bytes.Add(-int64(len(line)))
		return line
	default:
		return nil
	}
}

// NewBoundedWriter returns a writer that queues lines and writes nothing until Run is called.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out}
	b.routine.lines, b.reserved.lines = make(chan []byte, routineQueueLines), make(chan []byte, reservedQueueLines)
	b.routineBudget.Store(routineLinesPerSecond)
	return b
}

// Write implements io.Writer for lines without a level.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	return b.WriteLevel(zerolog.NoLevel, line)
}

// WriteLevel implements zerolog.LevelWriter. It never blocks and never fails.
func (b *BoundedWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level >= zerolog.WarnLevel && level <= zerolog.PanicLevel {
		b.reserved.add(line)
		return len(line), nil
	}
	if b.routineBudget.Add(-1) < 0 {
		b.routine.dropped.Add(1)
		return len(line), nil
	}
	b.routine.add(line)
	return len(line), nil
}

// Dropped returns the numbers of dropped lines: routine ones, and those of warn level and
// above.
func (b *BoundedWriter) Dropped() (routine, reserved int64) {
	return b.routine.dropped.Load(), b.reserved.dropped.Load()
}

// Run writes queued lines until ctx ends, and then the remaining ones. It writes lines in
// batches several times a second: a write and a wake-up for each line would cost more than
// formatting the line. A process that is killed loses the lines since the last flush.
func (b *BoundedWriter) Run(ctx context.Context) {
	flushTicker := time.NewTicker(flushInterval)
	defer flushTicker.Stop()
	budgetTicker := time.NewTicker(time.Second)
	defer budgetTicker.Stop()
	reportTicker := time.NewTicker(dropReportInterval)
	defer reportTicker.Stop()
	var reported int64
	for {
		select {
		case <-flushTicker.C:
			b.flush()
		case <-budgetTicker.C:
			b.routineBudget.Store(routineLinesPerSecond)
		case <-reportTicker.C:
			reported = b.reportDrops(reported)
		case <-ctx.Done():
			b.flush()
			return
		}
	}
}

// reportDrops logs the totals if lines were dropped since the last report, and returns
// the total of dropped lines that has been reported.
func (b *BoundedWriter) reportDrops(reported int64) int64 {
	routine, reserved := b.Dropped()
	if routine+reserved == reported {
		return reported
	}
	log := zerolog.New(b.out)
	log.Warn().Str("event", "log_dropped").Int64("routine", routine).Int64("reserved", reserved).Send()
	return routine + reserved
}

// flush writes all queued lines.
func (b *BoundedWriter) flush() {
	b.batch.Reset()
	for {
		line := b.reserved.next()
		if line == nil {
			line = b.routine.next()
		}
		if line == nil {
			b.writeBatch()
			return
		}
		b.batch.Write(line)
		if b.batch.Len() > flushThresholdBytes {
			b.writeBatch()
		}
	}
}

// writeBatch writes the batch. A write error is ignored, as there is no other place to
// log it.
func (b *BoundedWriter) writeBatch() {
	if b.batch.Len() > 0 {
		_, _ = b.out.Write(b.batch.Bytes())
		b.batch.Reset()
	}
}
