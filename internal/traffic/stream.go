package traffic

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/assign"
)

const (
	// eventBuffer is the size of the buffer for a stream in bytes; an event has some
	// tens to hundreds.
	eventBuffer = 4 << 10
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
	// heardEvery is how often a stream that goes on is noted as a sign of life.
	heardEvery = 100 * time.Millisecond
)

// stream passes an upstream's events on, one by one. A stream that breaks is
// resumed at another upstream if the route allows it, after its last whole event.
func (j *job) stream(ctx context.Context, choice *assign.Choice, reply *Reply, silence *handover) *failure {
	reader := bufio.NewReaderSize(reply.Body, eventBuffer)
	heard := time.Now()
	for {
		event, err := readEvent(reader)
		if err == io.EOF && len(event) == 0 {
			return j.streamEnded(choice, reply)
		}
		if err != nil || len(event) == 0 {
			reply.Close(false)
			return j.streamBroke(ctx, choice, err)
		}
		if id := eventID(event); id != "" {
			j.last = id
		}
		if err := j.pass(choice, reply, event, reader); err != nil {
			reply.Close(false)
			j.finish(choice, assign.Neutral)
			return &failure{kind: unknown, err: err}
		}
		now := time.Now()
		silence.noteEvent(now)
		j.pauses.event(now, j.last)
		if now.Sub(heard) > heardEvery {
			heard = now
			j.core.options.Assigner.Heard(choice, now)
		}
	}
}

// pass gives one event to the caller. Events that are already here go out with it.
func (j *job) pass(choice *assign.Choice, reply *Reply, event []byte, reader *bufio.Reader) error {
	if !j.begun {
		j.begun = true
		j.sink.Begin(reply.Status, reply.Header)
	}
	j.started(choice)
	if err := j.sink.Pass(event); err != nil {
		return err
	}
	if bytes.Contains(peek(reader), eventEnd) {
		return nil
	}
	return j.sink.Flush()
}

func peek(reader *bufio.Reader) []byte {
	buffered, err := reader.Peek(reader.Buffered())
	if err != nil {
		return nil
	}
	return buffered
}

func (j *job) streamEnded(choice *assign.Choice, reply *Reply) *failure {
	reply.Close(true)
	if !j.begun {
		j.begun = true
		j.sink.Begin(reply.Status, reply.Header)
	}
	j.core.options.Assigner.Streamed(choice, j.pauses.count, j.pauses.last.Sub(j.pauses.first), j.pauses.longest)
	j.finish(choice, assign.Succeeded)
	j.outcome, j.status = outcomeAnswered, reply.Status
	return nil
}

func (j *job) streamBroke(ctx context.Context, choice *assign.Choice, err error) *failure {
	outcome := assign.Failed
	if ctx.Err() != nil {
		// The connection was closed here: the time is up, or the caller has left.
		outcome, err = assign.Neutral, ctx.Err()
	}
	j.finish(choice, outcome)
	j.avoidInstance(choice.Instance)
	return &failure{kind: unknown, err: errors.Wrapf(ErrUnknown, "%s: stream: %v", choice.Instance, err)}
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// readEvent returns the next whole event with the blank line that ends it. A part
// of an event at the end of the stream is dropped with io.ErrUnexpectedEOF: passed
// on, it would be joined with what comes next.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if err == bufio.ErrBufferFull && len(event) < maxEvent {
			continue
		}
		if err == io.EOF && len(event) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if blank(line) && len(event) > len(line) {
			return event, nil
		}
	}
}

func blank(line []byte) bool {
	return len(line) == 1 || (len(line) == 2 && line[0] == '\r')
}

// eventID returns the ID that an event carries, or "".
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
