package assign

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

const (
	// defaultRead is the time in which an engine reads a token of a prompt until it has
	// been seen: some 30,000 tokens a second, as large models do on one accelerator.
	defaultRead = 30 * time.Microsecond
	// defaultStep is the time of one step of a batch, which makes a token for each of its
	// requests, until it has been seen.
	defaultStep = 5 * time.Millisecond
	// readMemory is the weight that an observation keeps in the time to read a token.
	readMemory = 0.9
	// measureFrom is the number of tokens from which the time to the first event tells of
	// the pace at which prompts are read.
	measureFrom = 1000
	// stepFaster and stepSlower are the weights of an observation that is faster or slower
	// than the step that is believed: a stream is slowed down by the prompts that are read
	// beside it, so that the fast ones tell the engine's own pace.
	stepFaster = 0.2
	stepSlower = 0.01
	// outputMemory is the weight that an observation keeps in the part of the expected
	// tokens that are generated.
	outputMemory = 0.95
	// paceEvents is the number of events from which a stream tells of the pace.
	paceEvents = 4
	// paceSpread bounds what is believed of a pace against its default.
	paceSpread = 8
)

// pace is how fast engines run a model, as this VM has seen it. Zero values are unknown.
type pace struct {
	read, step time.Duration
	// outputShare is the part of the expected tokens that requests generate.
	outputShare float64
}

// paceOf returns the pace of a model, with defaults for what is unknown.
func (s *Assigner) paceOf(model string) pace {
	p := s.paces[model]
	if p.read == 0 {
		p.read = defaultRead
		if p.step > 0 {
			// A model that is smaller both reads and generates faster.
			p.read = bounded(time.Duration(float64(defaultRead)*float64(p.step)/float64(defaultStep)), defaultRead)
		}
	}
	if p.step == 0 {
		p.step = defaultStep
	}
	if p.outputShare == 0 {
		p.outputShare = 1
	}
	return p
}

func bounded(seen, usual time.Duration) time.Duration {
	return min(max(seen, usual/paceSpread), usual*paceSpread)
}

// work is the engine time that a request takes: the reading of its prompt, and its part of
// the steps that generate its answer, which all places of the batch share. An engine is used
// up when the work that comes in a second is a second: reading stretches the steps, and
// stretched steps keep the places taken for longer.
func (s *Assigner) work(spec *catalog.EngineSpec, model string, promptTokens, outputTokens int) time.Duration {
	p := s.paceOf(model)
	places := 1
	if spec != nil {
		places = max(1, spec.BatchSlots)
	}
	steps := p.outputShare * float64(outputTokens) * float64(p.step) / float64(places)
	return time.Duration(promptTokens)*p.read + time.Duration(steps)
}

// Streamed notes a whole stream: its events, the time from the first to the last, and
// the longest pause between two.
func (s *Assigner) Streamed(c *Choice, events int, span, longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteStream(c.ask.Service, c.ask.Pause > 0 && longest > c.ask.Pause)
	spec := s.spec(c.ask.Service)
	if spec == nil || events < 1 {
		return
	}
	tokens := events * max(1, spec.TokensPerEvent)
	p := s.paces[c.ask.Model]
	p.learnOutput(tokens, c.ask.OutputTokens)
	if events >= paceEvents {
		p.learnStep(bounded(span/time.Duration((events-1)*max(1, spec.TokensPerEvent)), defaultStep))
	}
	s.paces[c.ask.Model] = p
}

func (p *pace) learnStep(seen time.Duration) {
	if p.step == 0 {
		p.step = seen
		return
	}
	weight := stepSlower
	if seen < p.step {
		weight = stepFaster
	}
	p.step += time.Duration(weight * float64(seen-p.step))
}

func (p *pace) learnOutput(tokens, expected int) {
	if expected <= 0 {
		return
	}
	seen := min(1, float64(tokens)/float64(expected))
	if p.outputShare == 0 {
		p.outputShare = 1
	}
	p.outputShare = outputMemory*p.outputShare + (1-outputMemory)*seen
}

func (p *pace) learnRead(seen time.Duration, believed time.Duration) {
	p.read = time.Duration(readMemory*float64(believed) + (1-readMemory)*float64(bounded(seen, defaultRead)))
}
