package traffic

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/assign"
)

const (
	// eventBufferSize is the size of a stream's read buffer in bytes; an event has tens to
	// hundreds of bytes.
	eventBufferSize = 4 << 10
	// maxEventSize bounds an event in bytes, maxEventsSize the room for all events that are not complete. Events up to
	// smallEventSize need none of it.
	maxEventSize   = 1 << 20
	maxEventsSize  = 16 << 20
	smallEventSize = 16 << 10
	// activityInterval is how often a stream that delivers events reports its upstream as
	// active.
	activityInterval = 100 * time.Millisecond
)

// stream forwards an upstream's events one by one. A stream that breaks is resumed on
// another upstream after its last complete event, if the route allows it.
func (j *job) stream(ctx context.Context, choice *assign.Choice, reply *Reply, silence *handover) *failure {
	events := eventReader{reader: bufio.NewReaderSize(reply.Body, eventBufferSize), room: &j.core.eventRoom}
	defer events.release()
	reportedAt := time.Now()
	for {
		event, err := events.next()
		if err == io.EOF && len(event) == 0 {
			return j.streamEnded(choice, reply)
		}
		if err != nil || len(event) == 0 {
			reply.Close(false)
			return j.streamBroke(ctx, choice, err)
		}
		j.noteEvent(choice, silence, event)
		if !j.begun() {
			j.recordBegun()
		}
		if err := j.forwardEvent(choice, reply, event, events.reader); err != nil {
			reply.Close(false)
			j.finish(choice, assign.Neutral)
			return &failure{kind: unknown, err: err}
		}
		now := time.Now()
		silence.noteEvent(now)
		j.pauses.noteEvent(now, j.lastEventID)
		if now.Sub(reportedAt) > activityInterval {
			reportedAt = now
			j.core.options.Assigner.RecordActivity(choice, now)
			j.core.options.Reach.Sign(j.service, now)
		}
	}
}

// forwardEvent writes one event to the caller. It does not flush while another complete
// event is buffered, so that events that have already arrived are sent together.
func (j *job) forwardEvent(choice *assign.Choice, reply *Reply, event []byte, reader *bufio.Reader) error {
	if !j.responseBegun {
		if !j.beginResponse() {
			return errors.WithStack(context.DeadlineExceeded)
		}
		j.sink.Begin(reply.Status, reply.Header)
	}
	j.noteStarted(choice)
	if err := j.sink.WriteChunk(event); err != nil {
		return err
	}
	if bytes.Contains(bufferedBytes(reader), eventEnd) {
		return nil
	}
	return j.sink.Flush()
}

// resumeAfter returns the ID of the last event that the caller has received, empty for a new stream.
func (j *job) resumeAfter() string {
	if j.lastEventID != "" {
		return j.lastEventID
	}
	return j.request.ResumeAfter
}

func bufferedBytes(reader *bufio.Reader) []byte {
	buffered, err := reader.Peek(reader.Buffered())
	if err != nil {
		return nil
	}
	return buffered
}

func (j *job) streamEnded(choice *assign.Choice, reply *Reply) *failure {
	reply.Close(true)
	j.recordAnswer(reply.Status)
	if !j.responseBegun {
		j.responseBegun = true
		j.sink.Begin(reply.Status, reply.Header)
	}
	j.core.options.Assigner.RecordStream(choice, j.pauses.count, j.pauses.lastAt.Sub(j.pauses.firstAt), j.pauses.longest)
	j.finish(choice, assign.Succeeded)
	j.outcome, j.status = outcomeAnswered, reply.Status
	return nil
}

func (j *job) streamBroke(ctx context.Context, choice *assign.Choice, err error) *failure {
	outcome := assign.Failed
	if ctx.Err() != nil {
		// This VM closed the connection: the deadline has passed, or the caller has
		// disconnected.
		outcome, err = assign.Neutral, context.Cause(ctx)
	}
	j.finish(choice, outcome)
	j.avoidInstance(choice.Instance)
	if errors.Is(err, ErrUnknown) {
		return &failure{kind: unknown, err: errors.Wrapf(err, "%s: stream", choice.Instance)}
	}
	return &failure{kind: unknown, err: errors.Wrapf(ErrUnknown, "%s: stream: %v", choice.Instance, err)}
}

// eventEnd is the end of an event: that of its last line and the blank line.
var eventEnd = []byte("\n\n")

// eventReader reads the events of one stream.
type eventReader struct {
	reader *bufio.Reader
	room   *eventRoom
	// taken is what the event that is read now has of the room.
	taken int64
}

// next returns the next complete event with the blank line that ends it. A partial
// event at the end of the stream is discarded with io.ErrUnexpectedEOF: if it were
// forwarded, the caller would join it with the event that follows. An event that is too large, or for which there is no room,
// is an OversizedError.
func (r *eventReader) next() ([]byte, error) {
	r.release()
	var event []byte
	for {
		line, err := r.reader.ReadSlice('\n')
		if len(event)+len(line) > cap(event) && !r.reserve(len(event)+len(line)) {
			return nil, errors.WithStack(&OversizedError{Part: "event", Bound: maxEventSize})
		}
		event = append(event, line...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(event) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if isBlankLine(line) && len(event) > len(line) {
			return event, nil
		}
	}
}

// reserve takes room for an event that has grown to a size, and reports whether there is any. Small events need none.
func (r *eventReader) reserve(size int) bool {
	if size <= smallEventSize {
		return true
	}
	// What an event outgrows is garbage for a while.
	needed := 2 * int64(size)
	if size > maxEventSize || !r.room.take(needed-r.taken) {
		return false
	}
	r.taken = needed
	return true
}

// release gives the room of the last event back.
func (r *eventReader) release() {
	r.room.take(-r.taken)
	r.taken = 0
}

// eventRoom is the memory for events that are not complete, over all streams. The zero value is ready for use.
type eventRoom struct{ taken atomic.Int64 }

// take takes some bytes, and reports whether there are as many. A negative number gives bytes back.
func (r *eventRoom) take(n int64) bool {
	if r.taken.Add(n) <= maxEventsSize || n <= 0 {
		return true
	}
	r.taken.Add(-n)
	return false
}

func isBlankLine(line []byte) bool {
	return len(line) == 1 || (len(line) == 2 && line[0] == '\r')
}

// eventID returns the ID of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
