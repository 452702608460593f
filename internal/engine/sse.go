package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxLineBytes bounds one line of an event stream.
	maxLineBytes = 256 << 10
	// maxEventBytes bounds the data of one event.
	maxEventBytes = 1 << 20
	// readerBytes is the size of the read buffer of one stream.
	readerBytes = 4 << 10
)

var (
	// ErrEventTooLarge means that a line or event is larger than the limit.
	ErrEventTooLarge = errors.New("engine: event too large")
	// ErrEventID means that an event's ID is not a positive number.
	ErrEventID = errors.New("engine: malformed event ID")
)

// rawEvent is one server-sent event as received, before it is checked.
type rawEvent struct {
	id    int64
	hasID bool
	name  string
	data  []byte
}

// eventReader reads server-sent events as defined by the HTML standard, section 9.2.
// It returns an event only after its terminating blank line, so that a truncated event
// is never returned as complete.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readerBytes)}
}

// next returns the next complete event that has data. It returns io.EOF at the end of
// the stream and io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() (rawEvent, error) {
	var event rawEvent
	started := false
	for {
		line, err := e.line()
		if err == io.EOF && (started || len(line) > 0) {
			return rawEvent{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return rawEvent{}, err
		}
		if len(line) > 0 {
			started = true
			if err := event.add(line); err != nil {
				return rawEvent{}, err
			}
			continue
		}
		if event.data != nil {
			return event, nil
		}
		event, started = rawEvent{}, false
	}
}

// line returns a line without its line ending. The slice is valid until the next read.
func (e *eventReader) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = e.longLine(line)
	}
	if err != nil {
		return line, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// longLine reads the rest of a line that does not fit into the read buffer.
func (e *eventReader) longLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for {
		part, err := e.r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return nil, ErrEventTooLarge
		}
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
}

// add parses one field line and adds it to the event.
func (e *rawEvent) add(line []byte) error {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "data":
		return e.addData(value)
	case "id":
		return e.setID(value)
	case "event":
		e.name = string(value)
	}
	return nil
}

func (e *rawEvent) addData(value []byte) error {
	if len(e.data)+len(value) >= maxEventBytes {
		return ErrEventTooLarge
	}
	if e.data == nil {
		e.data = append(make([]byte, 0, len(value)), value...)
		return nil
	}
	e.data = append(e.data, '\n')
	e.data = append(e.data, value...)
	return nil
}

func (e *rawEvent) setID(value []byte) error {
	id, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || id < 1 {
		return ErrEventID
	}
	e.id, e.hasID = id, true
	return nil
}
