package main

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// The trace: every model's demand moves tenfold within an hour and back, each at
// its own time; and a flash crowd comes within a minute, for one model.
const (
	step       = 5 * time.Second
	length     = 4 * time.Hour
	swing      = 2 * time.Hour
	rushEvery  = 30 * time.Minute
	rushRamp   = time.Minute
	rushLength = 15 * time.Minute
	// rushShare is the demand of a rush as a share of the fleet's capacity.
	rushShare = 0.15
	// meanShare is the mean demand without rushes as a share of the capacity.
	meanShare = 0.45
	// baseShare is the share of a model's demand that names no adapter.
	baseShare = 0.5
)

// trace gives the demand of every name at any time, in tokens per second.
type trace struct {
	models   []document.Model
	capacity float64
	weight   []float64
	phase    []float64
	rushes   []int
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
	for range int(length / rushEvery) {
		t.rushes = append(t.rushes, random.IntN(len(models)))
	}
	return t
}

// at returns the demand at a time after the start.
func (t *trace) at(now time.Duration) map[placement.Name]float64 {
	out := make(map[placement.Name]float64)
	for i, m := range t.models {
		wave := math.Pow(10, 0.5*math.Sin(2*math.Pi*float64(now)/float64(swing)+t.phase[i]))
		rate := t.capacity * (meanShare*t.weight[i]*wave + t.rush(i, now))
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

func (t *trace) rush(model int, now time.Duration) float64 {
	which := int(now / rushEvery)
	since := now % rushEvery
	if which >= len(t.rushes) || t.rushes[which] != model || since > rushLength {
		return 0
	}
	return rushShare * min(1, float64(since)/float64(rushRamp))
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}
