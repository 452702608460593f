package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testID = "r-1"

// chunk returns one event of a request's stream.
func chunk(id int, requestID string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"n\":%d}\n\n", id, requestID, id)
}

// startEngine runs an engine that echoes a request ID and writes the body.
func startEngine(t *testing.T, echo, body string) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerRequestID, echo)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return s
}

// readAll reads a stream to its end and returns its event IDs.
func readAll(s *Stream) ([]int64, error) {
	var ids []int64
	for {
		e, err := s.Next()
		if err != nil {
			return ids, err
		}
		if e.Done {
			return ids, nil
		}
		ids = append(ids, e.ID)
	}
}

func complete(t *testing.T, echo, body string) ([]int64, error) {
	t.Helper()
	server := startEngine(t, echo, body)
	c := NewClient(ClientOptions{})
	defer c.Close()
	s, err := c.Complete(context.Background(), Request{BaseURL: server.URL, Path: "/v1/completions", RequestID: testID, Body: []byte("{}")})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	return readAll(s)
}

func TestCompleteStream(t *testing.T) {
	ids, err := complete(t, testID, chunk(1, testID)+": heartbeat\n\n"+chunk(2, testID)+"id: 3\ndata: [DONE]\n\n")
	require.NoError(t, err)
	require.Equal(t, []int64{1, 2}, ids)
}

// Restarting engines and faulty connections deliver answers with a gap, with another
// request's events, or without an end. Guards against accepting a partial answer as
// complete, and against reading another request's answer.
func TestFaultyStreamsAreRejected(t *testing.T) {
	done := "data: [DONE]\n\n"
	for name, c := range map[string]struct {
		echo, body string
		want       error
		ids        []int64
	}{
		"truncated between events": {testID, chunk(1, testID), ErrBroken, []int64{1}},
		"truncated in an event":    {testID, chunk(1, testID) + "id: 2\ndata: {\"id\"", ErrBroken, []int64{1}},
		"truncated in the end":     {testID, chunk(1, testID) + "data: [DONE]\n", ErrBroken, []int64{1}},
		"hole":                     {testID, chunk(1, testID) + chunk(3, testID) + done, ErrBroken, []int64{1}},
		"hole before the end":      {testID, chunk(1, testID) + "id: 3\n" + done, ErrBroken, []int64{1}},
		"another's header":         {"r-2", chunk(1, testID) + done, ErrMismatch, nil},
		"another's chunk":          {testID, chunk(1, testID) + chunk(2, "r-2") + done, ErrMismatch, []int64{1}},
		"no header":                {"", chunk(1, testID) + done, ErrMismatch, nil},
		"no ID":                    {testID, "data: {\"id\":\"r-1\"}\n\n" + done, ErrBroken, nil},
		"twice":                    {testID, chunk(1, testID) + chunk(1, testID) + done, nil, []int64{1}},
	} {
		t.Run(name, func(t *testing.T) {
			ids, err := complete(t, c.echo, c.body)
			require.ErrorIs(t, err, c.want)
			require.Equal(t, c.ids, ids)
		})
	}
}

// A connection goes silent without a reset, as when a network component on the path
// drops its state. Without an idle limit the caller would wait for ever.
func TestSilentStreamReachesIdleLimit(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerRequestID, testID)
		_, _ = io.WriteString(w, chunk(1, testID))
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer server.Close()
	defer close(release)
	c := NewClient(ClientOptions{IdleLimit: 50 * time.Millisecond})
	s, err := c.Complete(context.Background(), Request{BaseURL: server.URL, Path: "/v1/completions", RequestID: testID, Body: []byte("{}")})
	require.NoError(t, err)
	defer s.Close()
	ids, err := readAll(s)
	require.ErrorIs(t, err, ErrBroken)
	require.Equal(t, []int64{1}, ids)
	require.Equal(t, int64(1), s.LastID())
}

// Nothing listens at the address, so nothing was sent. Any other error would leave open
// whether the request has run.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	server := startEngine(t, testID, "")
	address := server.URL
	server.Close()
	_, err := NewClient(ClientOptions{}).Complete(context.Background(), Request{BaseURL: address, RequestID: testID})
	require.ErrorIs(t, err, ErrNotSent)
}

func TestUnknownStream(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	c := NewClient(ClientOptions{})
	_, err := c.Resume(context.Background(), server.URL, testID, 4)
	require.ErrorIs(t, err, ErrUnknownStream)
	require.ErrorIs(t, c.Cancel(context.Background(), server.URL, testID), ErrUnknownStream)
}

// The network has dropped the state of all connections to an engine. When one stream
// reaches its idle limit, the others that are idle must be cancelled without waiting for
// their own limits; a stream that has just received an event must continue. Idle pooled
// connections are dead as well, and a request must not be sent on one.
func TestIdleSiblingsOfASilentStreamAreCancelled(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerRequestID, testID)
		_, _ = io.WriteString(w, chunk(1, testID))
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer server.Close()
	defer close(release)
	c := NewClient(ClientOptions{IdleLimit: time.Minute})
	var open []*Stream
	for range 3 {
		s, err := c.Complete(context.Background(), Request{BaseURL: server.URL, Path: "/", RequestID: testID})
		require.NoError(t, err)
		defer s.Close()
		_, err = s.Next()
		require.NoError(t, err)
		open = append(open, s)
	}
	open[1].lastByte.Store(time.Now().Add(-30 * time.Second).UnixNano())
	c.breakIdleStreams(open[0])
	_, err := open[1].Next()
	require.ErrorIs(t, err, ErrBroken)
	require.True(t, open[1].IdleTimedOut())
	require.False(t, open[2].IdleTimedOut())
}
