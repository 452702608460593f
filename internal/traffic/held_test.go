package traffic

import (
	"context"
	"io"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/holding"
)

// arrive makes n bytes of an answer arrive in its last piece, which must have room.
func arrive(h *heldAnswer, n int) {
	p, _ := h.last()
	h.fill(p, n, time.Now())
}

// Guards against a caller that is cut because its upstream pauses.
func TestAnswerWhoseCallerHasTakenAllIsNotEnded(t *testing.T) {
	for name, sent := range map[string]int{"nothing has come": 0, "all is taken": 20 << 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				account := holding.NewAccount(8 * pieceSize)
				h := newHeldAnswer(account, func() { t.Error("ended") })
				defer h.close()
				require.True(t, h.holder.Take(pieceSize, time.Now()))
				h.add(time.Now())
				if sent > 0 {
					arrive(h, sent)
					h.release(sent, time.Now())
				}
				time.Sleep(time.Minute)
				require.False(t, account.Open(nil).Take(pieceSize, time.Now()))
			})
		})
	}
}

// Guards against a caller that stalls after a pause of its upstream and is never ended.
func TestAnswerThatWaitsAfterAPauseIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := holding.NewAccount(8 * pieceSize)
		h := newHeldAnswer(account, func() {})
		defer h.close()
		require.True(t, h.holder.Take(pieceSize, time.Now()))
		h.add(time.Now())
		arrive(h, 100)
		h.release(100, time.Now())
		time.Sleep(time.Minute)
		arrive(h, 100)
		other := account.Open(nil)
		defer other.Close()
		require.False(t, other.Take(pieceSize, time.Now()))
		time.Sleep(2 * time.Second)
		require.True(t, other.Take(pieceSize, time.Now()))
	})
}

// zeros is an endless body.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against an upstream that gets further requests while its caller reads, and against stalled callers that keep its places.
func TestPlaceIsFreeOnlyOnceTheCallerStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(catalog.Route{}, map[string]script{"e": nil})
		now := time.Now()
		choice, err := f.assigner.Choose(assign.Request{Service: "engines", Model: "m", StartBy: now.Add(time.Second), Deadline: now.Add(time.Minute)}, now)
		require.NoError(t, err)
		requests := func() int { return f.assigner.Loads()["e"].Requests }
		account := holding.NewAccount(8 * 64 * pieceSize)
		h := newHeldAnswer(account, func() {})
		defer h.close()
		ctx, cancel := context.WithCancel(t.Context())
		source := &answerSource{job: &job{core: f.core, request: &Request{}}, ctx: ctx, choice: choice, reply: &Reply{Status: http.StatusOK, Body: zeros{}, Close: func(bool) {}}}
		go h.receive(ctx, source)
		for range 10 {
			synctest.Wait()
			require.Equal(t, 1, requests())
			time.Sleep(900 * time.Millisecond)
			h.release(pieceSize, time.Now())
		}
		time.Sleep(2 * time.Second)
		require.Zero(t, requests())
		cancel()
		<-h.received
		require.Zero(t, requests())
	})
}

// unreadSink is a caller that reads nothing. Writes block until their deadline.
type unreadSink struct {
	fakeSink
	deadline chan time.Time
}

// SetWriteDeadline implements writeDeadliner.
func (s *unreadSink) SetWriteDeadline(t time.Time) error {
	s.deadline <- t
	return nil
}

// WriteChunk implements Sink.
func (s *unreadSink) WriteChunk([]byte) error {
	timer := time.NewTimer(time.Hour)
	for {
		select {
		case t := <-s.deadline:
			timer.Reset(time.Until(t))
		case <-timer.C:
			return os.ErrDeadlineExceeded
		}
	}
}

// Guards against an answer whose memory is held until its deadline for a caller that has left but closed only one direction.
func TestAnswerEndsWhenItsCallerLeavesWithoutReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(catalog.Route{}, map[string]script{"e": func(ctx context.Context, _ Attempt, out io.Writer) error {
			_, err := io.Copy(out, zeros{})
			return err
		}})
		route := &catalog.Route{Host: "h", PathPrefix: "/", Name: "r", Shares: []catalog.Share{{Service: "engines", Weight: 1}}}
		config := catalog.New(2, []*catalog.Route{route}, nil)
		config.Services["engines"] = &catalog.Service{Name: "engines"}
		f.assigner.SetCatalog(config)
		f.core.SetCatalog(config)
		f.core.options.Answers = holding.NewAccount(8 * 64 * pieceSize)
		ctx, leave := context.WithCancel(t.Context())
		began := time.Now()
		time.AfterFunc(time.Second, leave)
		sink := &unreadSink{deadline: make(chan time.Time, 10)}
		err := f.core.Serve(ctx, &Request{ID: "a", Host: "h", Path: "/", Method: http.MethodGet, Arrived: began, Timeout: 20 * time.Second}, sink)
		require.Error(t, err)
		require.Equal(t, http.StatusOK, sink.status)
		require.Equal(t, time.Second, time.Since(began), "in the time of the bubble")
		require.Zero(t, f.core.options.Answers.Held())
	})
}
