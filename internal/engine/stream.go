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

// doneData is the data of the event that ends a whole stream.
const doneData = "[DONE]"

// Event is one event of a stream.
type Event struct {
	// ID counts the stream's events from 1, without gaps. It is 0 for an end
	// that the engine did not number.
	ID int64
	// Data is the event's JSON.
	Data []byte
	// Done means that the stream is whole and that this is its end.
	Done bool
}

// Stream is a completion's events in order. One goroutine reads and closes it.
type Stream struct {
	marks
	client    *Client
	host      string
	requestID string
	resp      *http.Response
	x         *exchange
	events    *eventReader
	cancel    context.CancelFunc
	silence   *time.Timer
	last      int64
	done      bool
}

// opening describes an exchange whose answer is a stream.
type opening struct {
	method, target string
	header         http.Header
	body           []byte
	requestID      string
	afterID        int64
	// limit is how long the answer's header may take.
	limit time.Duration
}

func (c *Client) open(ctx context.Context, o opening) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{client: c, host: document.Address(o.target), requestID: o.requestID, cancel: cancel, last: o.afterID}
	s.heard()
	s.silence = time.AfterFunc(o.limit, func() { c.silent(s) })
	c.streams.add(s)
	resp, x, err := c.exchange(ctx, o.method, o.target, o.header, o.body)
	if err != nil {
		s.release()
		return nil, err
	}
	s.resp, s.x, s.events = resp, x, newEventReader(resp.Body)
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

// Next returns the next event. After the one with Done it returns io.EOF. A
// stream that ends in any other way returns an error that wraps ErrBroken or
// ErrMismatch: what came so far is not the whole answer. It may then be resumed
// after Last.
func (s *Stream) Next() (Event, error) {
	if s.done {
		return Event{}, io.EOF
	}
	for {
		s.silence.Reset(s.client.idleLimit)
		raw, err := s.events.next()
		if err != nil {
			return Event{}, broken(err)
		}
		// A reader that takes its time is not the engine's silence.
		s.silence.Stop()
		s.heard()
		event, fresh, err := s.accept(raw)
		if err != nil {
			return Event{}, err
		}
		if fresh {
			return event, nil
		}
	}
}

// accept checks that an event is this stream's next one. An event that came
// before is dropped, and one that skips others is refused: passing it on would
// leave a hole in the answer that nobody downstream could see.
func (s *Stream) accept(raw rawEvent) (Event, bool, error) {
	if raw.name == "error" {
		return Event{}, false, errors.Wrap(ErrBroken, "the engine reported an error")
	}
	if string(raw.data) == doneData {
		if raw.hasID && raw.id != s.last+1 {
			return Event{}, false, errors.Wrap(ErrBroken, "events are missing before the end")
		}
		s.done = true
		return Event{ID: raw.id, Data: raw.data, Done: true}, true, nil
	}
	if err := s.checkChunk(raw); err != nil {
		return Event{}, false, err
	}
	if raw.id <= s.last {
		return Event{}, false, nil
	}
	if raw.id != s.last+1 {
		return Event{}, false, errors.Wrap(ErrBroken, "events are missing")
	}
	s.last = raw.id
	return Event{ID: raw.id, Data: raw.data}, true, nil
}

func (s *Stream) checkChunk(raw rawEvent) error {
	if !raw.hasID {
		return errors.Wrap(ErrBroken, "event without an ID")
	}
	if s.named(raw.data) {
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

// named reports whether a chunk is valid JSON that begins with the stream's ID, as
// most engines write it. It saves taking the chunk apart.
func (s *Stream) named(data []byte) bool {
	rest, ok := bytes.CutPrefix(data, []byte(`{"id":"`))
	if !ok || len(rest) <= len(s.requestID) {
		return false
	}
	same := string(rest[:len(s.requestID)]) == s.requestID && rest[len(s.requestID)] == '"'
	return same && json.Valid(data)
}

// Last returns the ID of the last event that Next has returned.
func (s *Stream) Last() int64 {
	return s.last
}

// Close ends the exchange. Unless the stream was whole, its connection is closed
// too. It does not cancel the generation: see Client.Cancel.
func (s *Stream) Close() {
	if s.done {
		s.x.end(s.resp)
	} else {
		s.x.abandon()
		_ = s.resp.Body.Close()
	}
	s.release()
}

// Silenced reports whether the stream was broken because it, or another one of
// the same engine, went silent.
func (s *Stream) Silenced() bool {
	return s.silenced.Load()
}

func (s *Stream) release() {
	s.silence.Stop()
	s.client.streams.remove(s)
	s.cancel()
}
