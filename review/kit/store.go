//go:build review

package kit

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// Write is a writing call to the store.
type Write struct {
	Method, Path string
	Body         []byte
}

// Verdict says what the store does with a writing call.
type Verdict struct {
	// Lost means that the call gets no answer; it is executed after Delay all the same, if its condition still holds.
	Lost  bool
	Delay time.Duration
}

// Store is the project's stand-in of the platform's store behind a switch for lost answers.
type Store struct {
	kv *standin.Store
	w  *World

	mu    sync.Mutex
	judge func(Write) Verdict
}

func newStore(w *World) *Store { return &Store{kv: standin.NewStore(), w: w} }

// LoseAnswers has judge decide about each writing call; nil ends that.
func (s *Store) LoseAnswers(judge func(Write) Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judge = judge
}

// Get returns the value of a key.
func (s *Store) Get(key string) ([]byte, bool) { return s.kv.Get(key) }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	judge := s.judge
	s.mu.Unlock()
	if judge == nil || r.Method == http.MethodGet {
		s.kv.ServeHTTP(out, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	verdict := judge(Write{r.Method, r.URL.Path, body})
	again := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
	if !verdict.Lost {
		s.kv.ServeHTTP(out, again)
		return
	}
	s.w.Log("store", "lost", r.URL.Path, "delay", verdict.Delay, "body", string(body))
	time.AfterFunc(verdict.Delay, func() {
		answer := httptest.NewRecorder()
		s.kv.ServeHTTP(answer, again)
		s.w.Log("store", "late", r.URL.Path, "status", answer.Code)
	})
	<-r.Context().Done()
}
