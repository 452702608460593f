package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

// doneData is the data of the event that ends a complete stream.
const doneData = "[DONE]"

// Event is one event of a stream.
type Event struct {
	// ID numbers the stream's events from 1, without gaps. It is 0 for a final event
	// that the engine did not number.
	ID int64
	// Data is the event's JSON, or "[DONE]" for the final event.
	Data []byte
	// Done means that this is the final event and the stream is complete.
	Done bool
}

// Stream is the ordered sequence of a completion's events. It must be read and closed by
// one goroutine.
type Stream struct {
	activity
	client    *Client
	host      string
	requestID string
	resp      *http.Response
	exchange  *exchange
	events    *eventReader
	cancel    context.CancelFunc
	idleTimer *time.Timer
	lastID    int64
	done      bool
}

// openRequest describes an exchange whose answer is a stream.
type openRequest struct {
	method, target string
	header         http.Header
	body           []byte
	requestID      string
	afterID        int64
	// headerTimeout bounds the time until the header of the answer.
	headerTimeout time.Duration
}

func (c *Client) open(ctx context.Context, o openRequest) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{client: c, host: document.Address(o.target), requestID: o.requestID, cancel: cancel, lastID: o.afterID}
	s.recordActivity()
	s.idleTimer = time.AfterFunc(o.headerTimeout, func() { c.breakIdleStreams(s) })
	c.streams.add(s)
	resp, x, err := c.exchange(ctx, o.method, o.target, o.header, o.body)
	if err != nil {
		s.release()
		return nil, err
	}
	s.resp, s.exchange, s.events = resp, x, newEventReader(resp.Body)
	if err := s.checkHeader(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Stream) checkHeader() error {
	failed := s.resp.StatusCode != http.StatusOK
	echo := s.resp.Header.Get(headerRequestID)
	if failed && echo == "" {
		return statusError(s.resp)
	}
	if echo != s.requestID {
		return errors.Wrap(ErrMismatch, s.requestID)
	}
	if failed {
		return statusError(s.resp)
	}
	return nil
}

// Next returns the next event. After the event with Done it returns io.EOF. If the
// stream ends in any other way, the error wraps ErrBroken or ErrMismatch and the events
// so far are not the complete answer. The stream may then be resumed after the last
// event returned.
func (s *Stream) Next() (Event, error) {
	if s.done {
		return Event{}, io.EOF
	}
	for {
		s.idleTimer.Reset(s.client.idleLimit)
		raw, err := s.events.next()
		if err != nil {
			return Event{}, broken(err)
		}
		// The time that the reader takes between events must not count as idle time
		// of the engine.
		s.idleTimer.Stop()
		s.recordActivity()
		event, fresh, err := s.accept(raw)
		if err != nil {
			return Event{}, err
		}
		if fresh {
			return event, nil
		}
	}
}

// accept checks that an event is this stream's next one. A repeated event is dropped. An
// event that skips others is rejected, because passing it on would leave a gap in the
// answer that nobody downstream could detect.
func (s *Stream) accept(raw rawEvent) (Event, bool, error) {
	if raw.name == "error" {
		return Event{}, false, errors.Wrap(ErrBroken, "the engine sent an error event")
	}
	if string(raw.data) == doneData {
		if raw.hasID && raw.id != s.lastID+1 {
			return Event{}, false, errors.Wrap(ErrBroken, "events are missing before the final event")
		}
		s.done = true
		return Event{ID: raw.id, Data: raw.data, Done: true}, true, nil
	}
	if err := s.checkChunk(raw); err != nil {
		return Event{}, false, err
	}
	if raw.id <= s.lastID {
		return Event{}, false, nil
	}
	if raw.id != s.lastID+1 {
		return Event{}, false, errors.Wrap(ErrBroken, "events are missing before the received event")
	}
	s.lastID = raw.id
	return Event{ID: raw.id, Data: raw.data}, true, nil
}

func (s *Stream) checkChunk(raw rawEvent) error {
	if !raw.hasID {
		return errors.Wrap(ErrBroken, "event without an ID")
	}
	if s.beginsWithID(raw.data) {
		return nil
	}
	var chunk struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(bytes.TrimSpace(raw.data), &chunk); err != nil {
		return broken(err)
	}
	if chunk.ID != s.requestID {
		return errors.Wrap(ErrMismatch, s.requestID)
	}
	return nil
}

// beginsWithID reports whether a chunk is valid JSON that begins with the stream's ID, in
// the form that most engines write. It avoids decoding the chunk.
func (s *Stream) beginsWithID(data []byte) bool {
	rest, ok := bytes.CutPrefix(data, []byte(`{"id":"`))
	if !ok || len(rest) <= len(s.requestID) {
		return false
	}
	same := string(rest[:len(s.requestID)]) == s.requestID && rest[len(s.requestID)] == '"'
	return same && json.Valid(data)
}

// LastID returns the ID of the last event that Next has returned.
func (s *Stream) LastID() int64 {
	return s.lastID
}

// Close ends the exchange. Unless the stream is complete, its connection is closed. It
// does not cancel the generation: see Client.Cancel.
func (s *Stream) Close() {
	if s.done {
		s.exchange.drain(s.resp)
	} else {
		s.exchange.abandon()
		_ = s.resp.Body.Close()
	}
	s.release()
}

// IdleTimedOut reports whether the stream was cancelled because it, or another stream of
// the same engine, reached its idle limit.
func (s *Stream) IdleTimedOut() bool {
	return s.idleTimedOut.Load()
}

func (s *Stream) release() {
	s.idleTimer.Stop()
	s.client.streams.remove(s)
	s.cancel()
}
