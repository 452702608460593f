package standin

import (
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/engine"
)

const (
	// prefillChunk is how many prompt tokens a step reads beside generating
	// requests; alone, a step reads prefillAlone.
	prefillChunk = 128
	prefillAlone = 1024
	// keptStreams is how many finished streams can still be resumed.
	keptStreams = 4096
)

// stream is one generation and the events that it has produced.
type stream struct {
	id         string
	name       string
	item       engine.Item
	chat       bool
	text       Generation
	prompt     int
	cached     int
	prefill    int
	next       int
	priority   int
	created    int64
	events     []string
	done       bool
	dead       bool
	readers    int
	unreadFrom time.Time
	changed    chan struct{}
	record     *EngineRequest
}

// notify wakes the readers.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// kvUsed is the KV cache that running requests and the prefix cache take, in
// bytes and at most all of it.
func (e *Engine) kvUsed() int64 {
	tokens := len(e.cache.blocks) * blockTokens
	for _, s := range e.running {
		tokens += s.text.Tokens
	}
	return min(int64(tokens)*int64(e.options.KVBytesPerToken), int64(e.options.KVCacheReserve))
}

// enqueue puts a stream into the waiting line: larger priorities first, then
// in the order of arrival.
func (e *Engine) enqueue(s *stream) {
	at, _ := slices.BinarySearchFunc(e.waiting, s, func(have, add *stream) int {
		if have.priority >= add.priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, s)
	e.poke()
}

// runBatch steps the batch whenever something runs or waits.
func (e *Engine) runBatch() {
	for {
		select {
		case <-e.closed:
			return
		case <-e.wake:
		}
		for e.step() {
		}
	}
}

// step takes one step of the batch and says whether there was one to take.
func (e *Engine) step() bool {
	e.mu.Lock()
	e.fillBatch()
	if len(e.running) == 0 {
		e.mu.Unlock()
		return false
	}
	generating, duration := e.plan()
	e.mu.Unlock()
	t := time.NewTimer(duration)
	select {
	case <-t.C:
	case <-e.closed:
		t.Stop()
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records.BusySeconds += duration.Seconds()
	for _, s := range generating {
		if !s.dead && !s.done {
			e.emit(s)
		}
	}
	e.endOrphans()
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool { return s.done || s.dead })
	return true
}

// fillBatch moves waiting streams into the batch while it and the KV cache
// have room.
func (e *Engine) fillBatch() {
	budget := int(e.options.KVCacheReserve / e.options.KVBytesPerToken)
	for _, s := range e.running {
		budget -= s.prompt + s.text.Tokens
	}
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxBatch {
		s := e.waiting[0]
		need := s.prompt + s.text.Tokens
		if need > budget && len(e.running) > 0 {
			break
		}
		budget -= need
		e.waiting = e.waiting[1:]
		if s.done || s.dead {
			continue
		}
		e.running = append(e.running, s)
	}
	e.records.MaxRunning = max(e.records.MaxRunning, len(e.running))
}

// plan spends the step's reading budget and returns the streams that generate
// a token in it and how long it takes.
func (e *Engine) plan() ([]*stream, time.Duration) {
	var generating []*stream
	for _, s := range e.running {
		if s.prefill == 0 {
			generating = append(generating, s)
		}
	}
	budget := prefillAlone
	if len(generating) > 0 {
		budget = prefillChunk
	}
	read := 0
	for _, s := range e.running {
		chunk := min(s.prefill, budget-read)
		s.prefill -= chunk
		read += chunk
		if chunk > 0 && s.prefill == 0 {
			generating = append(generating, s)
		}
	}
	duration := time.Duration(float64(read) / e.options.PrefillTokensPerSecond * float64(time.Second))
	duration += e.options.StepTime + e.options.SequenceTime*time.Duration(len(generating)-1)
	duration += e.adapterTime()
	if e.faults.SlowFactor > 1 {
		duration = time.Duration(float64(duration) * e.faults.SlowFactor)
	}
	return generating, e.scaled(duration)
}

// adapterTime is what the slowest adapter of the batch adds to a step.
func (e *Engine) adapterTime() time.Duration {
	longest := time.Duration(0)
	for _, s := range e.running {
		if s.item.Adapter == "" {
			continue
		}
		load := float64(e.options.Adapters.inFlight(s.item.Adapter)) / float64(e.options.AdapterKnee)
		longest = max(longest, time.Duration(float64(e.options.AdapterTime)*max(1, load)))
	}
	return longest
}

// emit adds a stream's next token, and after the last one its end.
func (e *Engine) emit(s *stream) {
	if s.next < s.text.Tokens {
		s.events = append(s.events, s.chunk(s.text.Token(s.next), "", nil))
		s.next++
		s.record.Generated++
		e.records.GeneratedTokens++
	}
	if s.next == s.text.Tokens {
		u := usage{PromptTokens: s.prompt, CompletionTokens: s.text.Tokens, TotalTokens: s.prompt + s.text.Tokens}
		u.Details.CachedTokens = s.cached
		s.events = append(s.events, s.chunk("", s.text.Finish, &u), doneData)
		s.record.Finished = true
		e.finish(s)
	}
	s.notify()
}

// finish ends a stream, whole or not. The caller holds mu.
func (e *Engine) finish(s *stream) {
	if s.done {
		return
	}
	s.done = true
	e.release(s)
	e.finished = append(e.finished, s.id)
	if len(e.finished) > keptStreams {
		if old := e.streams[e.finished[0]]; old != nil && old.done {
			delete(e.streams, e.finished[0])
		}
		e.finished = e.finished[1:]
	}
	e.settle()
}

// release gives back what a stream holds beside its events.
func (e *Engine) release(s *stream) {
	if r := e.resident[s.item]; r != nil {
		r.inFlight--
	}
	if s.item.Adapter != "" {
		e.options.Adapters.add(s.item.Adapter, -1)
	}
}

// endOrphans cancels the streams that nobody has read for too long.
func (e *Engine) endOrphans() {
	for _, s := range e.running {
		if s.done || s.dead || s.readers > 0 || time.Since(s.unreadFrom) < e.options.OrphanTimeout {
			continue
		}
		e.records.Orphans++
		s.record.Cancelled = true
		e.finish(s)
		s.notify()
	}
}
