package assign

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

const (
	// defaultPrefillPerToken is the prefill time of one token before any observation: some
	// 30,000 tokens a second, as for large models on one accelerator.
	defaultPrefillPerToken = 30 * time.Microsecond
	// defaultStep is the time of one batch step, which generates a token for each request
	// of the batch, before any observation.
	defaultStep = 5 * time.Millisecond
	// prefillSmoothing is the weight of the previous prefill time per token when an
	// observation is added.
	prefillSmoothing = 0.9
	// minPrefillSample is the number of uncached tokens from which the time to the first
	// event is used to measure the prefill speed.
	minPrefillSample = 1000
	// fasterStepWeight and slowerStepWeight are the weights of an observation that is
	// faster or slower than the current estimate of the step time. A stream is slowed down
	// by the prompts that are prefilled beside it, so the fast observations show the
	// engine's own speed.
	fasterStepWeight = 0.2
	slowerStepWeight = 0.01
	// outputSmoothing is the weight of the previous output share when an observation is
	// added.
	outputSmoothing = 0.95
	// minStreamEvents is the number of events from which a stream is used to measure the
	// step time.
	minStreamEvents = 4
	// maxSpeedRatio bounds how far an observed speed may be from its default, in both
	// directions.
	maxSpeedRatio = 8
)

// speed is how fast engines run a model, as observed by this VM. Zero values are unknown.
type speed struct {
	prefillPerToken, step time.Duration
	// outputShare is the part of the expected output tokens that requests generate.
	outputShare float64
	// streams counts the streams that were used to measure the step time.
	streams int
}

// speedOf returns the speed of a model, with defaults for what is unknown.
func (s *Assigner) speedOf(model string) speed {
	p := s.speeds[model]
	if p.prefillPerToken == 0 {
		p.prefillPerToken = defaultPrefillPerToken
		if p.step > 0 {
			// A smaller model both prefills and generates faster.
			p.prefillPerToken = bounded(time.Duration(float64(defaultPrefillPerToken)*float64(p.step)/float64(defaultStep)), defaultPrefillPerToken)
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

func bounded(observed, normal time.Duration) time.Duration {
	return min(max(observed, normal/maxSpeedRatio), normal*maxSpeedRatio)
}

// work returns the engine time that a request takes: the prefill of its prompt, and its
// share of the steps that generate its answer, which all slots of the batch share. An
// engine is saturated when a second of such work arrives per second: prefill lengthens the
// steps, and longer steps keep the slots taken for longer.
func (s *Assigner) work(spec *catalog.EngineSpec, model string, promptTokens, outputTokens int) time.Duration {
	p := s.speedOf(model)
	slots := 1
	if spec != nil {
		slots = max(1, spec.BatchSlots)
	}
	steps := p.outputShare * float64(outputTokens) * float64(p.step) / float64(slots)
	return time.Duration(promptTokens)*p.prefillPerToken + time.Duration(steps)
}

// RecordStream records a complete stream: the number of its events, the time from the first to
// the last, and the longest time between two.
func (s *Assigner) RecordStream(c *Choice, events int, span, longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordStall(c.request.Service, c.request.MaxGap > 0 && longest > c.request.MaxGap)
	spec := s.spec(c.request.Service)
	if spec == nil || events < 1 {
		return
	}
	tokens := events * max(1, spec.TokensPerEvent)
	s.recordOutput(&c.request, tokens, c.node.lastActivity)
	p := s.speeds[c.request.Model]
	p.updateOutputShare(tokens, c.request.OutputTokens)
	if events >= minStreamEvents {
		observed := bounded(span/time.Duration((events-1)*max(1, spec.TokensPerEvent)), defaultStep)
		p.updateStep(observed)
		s.speeds[c.request.Model] = p
		s.recordStepRatio(c, observed)
		return
	}
	s.speeds[c.request.Model] = p
}

func (p *speed) updateStep(observed time.Duration) {
	if p.step == 0 {
		p.step = observed
		return
	}
	weight := slowerStepWeight
	if observed < p.step {
		weight = fasterStepWeight
	}
	p.step += time.Duration(weight * float64(observed-p.step))
}

func (p *speed) updateOutputShare(tokens, expected int) {
	if expected <= 0 {
		return
	}
	observed := min(1, float64(tokens)/float64(expected))
	if p.outputShare == 0 {
		p.outputShare = 1
	}
	p.outputShare = outputSmoothing*p.outputShare + (1-outputSmoothing)*observed
}

func (p *speed) updatePrefill(observed time.Duration, current time.Duration) {
	p.prefillPerToken = time.Duration(prefillSmoothing*float64(current) + (1-prefillSmoothing)*float64(bounded(observed, defaultPrefillPerToken)))
}
