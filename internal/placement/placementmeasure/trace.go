package main

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// Parameters of the trace. Every model's demand rises and falls tenfold, from
// its minimum to its maximum within an hour and back in the next, each model at
// its own phase. In addition, flash crowds reach their full demand within a
// minute, each for one model.
const (
	stepLength    = 5 * time.Second
	traceLength   = 4 * time.Hour
	wavePeriod    = 2 * time.Hour
	crowdInterval = 30 * time.Minute
	crowdRamp     = time.Minute
	crowdLength   = 15 * time.Minute
	// crowdShare is the demand of a flash crowd as a share of the fleet's
	// capacity.
	crowdShare = 0.15
	// meanShare is the mean demand without flash crowds as a share of the
	// capacity.
	meanShare = 0.45
	// baseShare is the share of a model's demand that is for no adapter.
	baseShare = 0.5
)

// trace generates the demand of every name at any time, in tokens per second.
type trace struct {
	models      []document.Model
	capacity    float64
	weight      []float64
	phase       []float64
	crowdModels []int
}

func newTrace(models []document.Model, capacity float64, random *rand.Rand) *trace {
	t := &trace{models: models, capacity: capacity}
	var sum float64
	for range models {
		w := 1 / (0.1 + random.Float64())
		t.weight = append(t.weight, w)
		t.phase = append(t.phase, random.Float64()*2*math.Pi)
		sum += w
	}
	for i := range t.weight {
		t.weight[i] /= sum
	}
	for range int(traceLength / crowdInterval) {
		t.crowdModels = append(t.crowdModels, random.IntN(len(models)))
	}
	return t
}

// demandAt returns the demand at a time since the start.
func (t *trace) demandAt(now time.Duration) map[placement.Name]float64 {
	out := make(map[placement.Name]float64)
	for i, m := range t.models {
		wave := math.Pow(10, 0.5*math.Sin(2*math.Pi*float64(now)/float64(wavePeriod)+t.phase[i]))
		rate := t.capacity * (meanShare*t.weight[i]*wave + t.crowdDemand(i, now))
		out[placement.Name{Model: m.Name}] = rate
		if len(m.Adapters) == 0 {
			continue
		}
		out[placement.Name{Model: m.Name}] = rate * baseShare
		for _, a := range m.Adapters {
			out[placement.Name{Model: m.Name, Adapter: a.Name}] = rate * (1 - baseShare) / float64(len(m.Adapters))
		}
	}
	return out
}

func (t *trace) crowdDemand(model int, now time.Duration) float64 {
	which := int(now / crowdInterval)
	since := now % crowdInterval
	if which >= len(t.crowdModels) || t.crowdModels[which] != model || since > crowdLength {
		return 0
	}
	return crowdShare * min(1, float64(since)/float64(crowdRamp))
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}
