package standin

import (
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/engine"
)

const (
	// prefillChunk is the largest number of prompt tokens that a step prefills,
	// over all requests together, if some request has finished its prefill before
	// the step. prefillOnlyChunk is the number if none has.
	prefillChunk     = 128
	prefillOnlyChunk = 1024
	// maxFinishedStreams is how many finished streams can still be resumed.
	maxFinishedStreams = 4096
)

// stream is one generation and the events that it has produced so far.
type stream struct {
	id             string
	requestedModel string
	item           engine.Item
	chat           bool
	output         Generation
	promptTokens   int
	cachedTokens   int
	prefillLeft    int
	nextToken      int
	priority       int
	created        int64
	events         []string
	done           bool
	// lost is set when a restart of the engine broke the stream.
	lost        bool
	readers     int
	unreadSince time.Time
	changed     chan struct{}
	record      *EngineRequest
}

// notify wakes the readers.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (e *Engine) wakeBatch() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// kvUsed returns the number of bytes of KV cache in use, limited to
// KVCacheReserve: the blocks of the prefix cache, which holds prompts, and the
// whole output of each running request.
func (e *Engine) kvUsed() int64 {
	tokens := len(e.cache.blocks) * blockTokens
	for _, s := range e.running {
		tokens += s.output.Tokens
	}
	return min(int64(tokens)*int64(e.options.KVBytesPerToken), int64(e.options.KVCacheReserve))
}

// enqueue inserts a stream into the queue: larger priorities first, equal
// priorities in order of arrival.
func (e *Engine) enqueue(s *stream) {
	at, _ := slices.BinarySearchFunc(e.waiting, s, func(queued, added *stream) int {
		if queued.priority >= added.priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, s)
	e.wakeBatch()
}

// runBatch steps the batch while a stream runs or waits.
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

// step runs one step of the batch. It returns false if the batch is empty or
// the engine is closed.
func (e *Engine) step() bool {
	e.mu.Lock()
	e.fillBatch()
	if len(e.running) == 0 {
		e.mu.Unlock()
		return false
	}
	generating, duration := e.planStep()
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
		if !s.lost && !s.done {
			e.emitToken(s)
		}
	}
	e.cancelOrphans()
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool { return s.done || s.lost })
	return true
}

// fillBatch moves waiting streams into the batch, in the order of the queue,
// while the batch has fewer than MaxBatch streams and the KV cache has room for
// the prompt and the whole output of the next one. A stream too large for the KV
// cache runs if the batch is empty. Streams that are done or lost are dropped.
func (e *Engine) fillBatch() {
	budget := int(e.options.KVCacheReserve / e.options.KVBytesPerToken)
	for _, s := range e.running {
		budget -= s.promptTokens + s.output.Tokens
	}
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxBatch {
		s := e.waiting[0]
		need := s.promptTokens + s.output.Tokens
		if need > budget && len(e.running) > 0 {
			break
		}
		budget -= need
		e.waiting = e.waiting[1:]
		if s.done || s.lost {
			continue
		}
		e.running = append(e.running, s)
	}
	e.records.MaxRunning = max(e.records.MaxRunning, len(e.running))
}

// planStep divides the step's prefill budget among the running streams, in the
// order of the batch. It returns the streams that generate a token in the step,
// including those whose prefill the step completes, and the step's duration.
func (e *Engine) planStep() ([]*stream, time.Duration) {
	var generating []*stream
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			generating = append(generating, s)
		}
	}
	budget := prefillOnlyChunk
	if len(generating) > 0 {
		budget = prefillChunk
	}
	read := 0
	for _, s := range e.running {
		chunk := min(s.prefillLeft, budget-read)
		s.prefillLeft -= chunk
		read += chunk
		if chunk > 0 && s.prefillLeft == 0 {
			generating = append(generating, s)
		}
	}
	duration := time.Duration(float64(read) / e.options.PrefillTokensPerSecond * float64(time.Second))
	// A step in which no stream generates is shorter by SequenceTime than one in
	// which a single stream generates.
	duration += e.options.StepTime + e.options.SequenceTime*time.Duration(len(generating)-1)
	duration += e.adapterTime()
	if e.faults.SlowFactor > 1 {
		duration = time.Duration(float64(duration) * e.faults.SlowFactor)
	}
	return generating, e.scaled(duration)
}

// adapterTime returns the time that the slowest adapter of the batch adds to a
// step.
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

// emitToken appends the event of a stream's next token and, after the last
// token, the events that end the stream.
func (e *Engine) emitToken(s *stream) {
	if s.nextToken < s.output.Tokens {
		s.events = append(s.events, s.encodeChunk(s.output.Token(s.nextToken), "", nil))
		s.nextToken++
		s.record.Generated++
		e.records.GeneratedTokens++
	}
	if s.nextToken == s.output.Tokens {
		u := usage{PromptTokens: s.promptTokens, CompletionTokens: s.output.Tokens, TotalTokens: s.promptTokens + s.output.Tokens}
		u.Details.CachedTokens = s.cachedTokens
		s.events = append(s.events, s.encodeChunk("", s.output.Finish, &u), doneData)
		s.record.Finished = true
		e.finish(s)
	}
	s.notify()
}

// finish ends a stream, complete or not. The caller holds mu.
func (e *Engine) finish(s *stream) {
	if s.done {
		return
	}
	s.done = true
	e.release(s)
	e.finished = append(e.finished, s.id)
	if len(e.finished) > maxFinishedStreams {
		if old := e.streams[e.finished[0]]; old != nil && old.done {
			delete(e.streams, e.finished[0])
		}
		e.finished = e.finished[1:]
	}
	e.removeUnloaded()
}

// release removes a stream from the in-flight counts of its item and adapter.
func (e *Engine) release(s *stream) {
	if r := e.resident[s.item]; r != nil {
		r.inFlight--
	}
	if s.item.Adapter != "" {
		e.options.Adapters.add(s.item.Adapter, -1)
	}
}

// cancelOrphans cancels the running streams that have had no reader for
// OrphanTimeout.
func (e *Engine) cancelOrphans() {
	for _, s := range e.running {
		if s.done || s.lost || s.readers > 0 || time.Since(s.unreadSince) < e.options.OrphanTimeout {
			continue
		}
		e.records.Orphans++
		s.record.Cancelled = true
		e.finish(s)
		s.notify()
	}
}
