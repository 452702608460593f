package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/standin"
)

// movingModelShare is the share of "moving" requests that ask for the model of
// the current period. The others are spread over all models.
const movingModelShare = 0.8

// Arrival is one request of the schedule.
type Arrival struct {
	// At is the time of arrival from the start of the run.
	At time.Duration
	// Team is the index of the team in the workload, Call that of the call in
	// the team.
	Team, Call int
	// Caller is the index of the caller among those of the call.
	Caller int
	// Model is the requested model or adapter, empty for an action.
	Model string
	// Prompt is the prompt, or the body of an action.
	Prompt string
	// ID is unique in the schedule.
	ID string
}

// Schedule returns all arrivals of a workload in order of time. The same
// workload and seed give the same schedule.
func Schedule(w *Workload) []Arrival {
	var all []Arrival
	for t := range w.Teams {
		for c := range w.Teams[t].Calls {
			g := generator{
				workload: w, call: &w.Teams[t].Calls[c], teamIndex: t, callIndex: c,
				random: rand.New(rand.NewPCG(w.Seed, uint64(t)<<32|uint64(c))),
			}
			all = append(all, g.arrivals()...)
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

// generator creates the arrivals of one call.
type generator struct {
	workload  *Workload
	call      *Call
	teamIndex int
	callIndex int
	count     int
	random    *rand.Rand
}

func (g *generator) arrivals() []Arrival {
	if g.call.Shape == ShapeFlashCrowd {
		return g.flashCrowd()
	}
	var all []Arrival
	at := time.Duration(0)
	for {
		gap := g.random.ExpFloat64() / (g.call.Rate * g.rateFactor(at))
		at += time.Duration(gap * float64(time.Second))
		if at >= g.workload.Duration {
			return all
		}
		all = append(all, g.newArrival(at, g.random.IntN(g.call.Callers)))
	}
}

func (g *generator) rateFactor(at time.Duration) float64 {
	if g.call.Shape == ShapeSurge && at >= g.call.From && at < g.call.Until {
		return g.call.Factor
	}
	return 1
}

// flashCrowd spreads the first calls of all callers evenly at random over the
// window.
func (g *generator) flashCrowd() []Arrival {
	var all []Arrival
	for caller := range g.call.Callers {
		at := time.Duration(g.random.Float64() * float64(g.call.Window))
		for range g.call.CallsPerCaller {
			if at < g.workload.Duration {
				all = append(all, g.newArrival(at, caller))
			}
			at += time.Duration(g.random.ExpFloat64() * float64(g.call.Pause))
		}
	}
	return all
}

func (g *generator) newArrival(at time.Duration, caller int) Arrival {
	g.count++
	a := Arrival{At: at, Team: g.teamIndex, Call: g.callIndex, Caller: caller}
	a.ID = fmt.Sprintf("%d-%d-%d-%d", g.workload.Seed, g.teamIndex, g.callIndex, g.count)
	if g.call.Kind != KindAction {
		a.Model = g.pickModel(at)
	}
	a.Prompt = g.newPrompt(a.ID)
	return a
}

// pickModel chooses the model of a request. Earlier models in the list are more
// popular than later ones, because real demand is skewed. With "moving" demand,
// most requests ask for the model of the current period.
func (g *generator) pickModel(at time.Duration) string {
	models := g.call.Models
	if g.call.Shape == ShapeMoving && g.random.Float64() < movingModelShare {
		return models[int(at/g.call.Period)%len(models)]
	}
	x := g.random.Float64()
	return models[int(x*x*float64(len(models)))]
}

// newPrompt returns a prompt of one of the shared prefixes, if there are any, and
// a unique part.
func (g *generator) newPrompt(id string) string {
	var b strings.Builder
	if g.call.Prefixes > 0 {
		writeTokens(&b, fmt.Sprintf("manual %d of team %d", g.random.IntN(g.call.Prefixes), g.teamIndex), g.call.PrefixTokens)
	}
	writeTokens(&b, "request "+id, g.call.PromptTokens)
	return b.String()
}

// writeTokens appends text that a stand-in engine counts as the given number of
// tokens. It repeats the text as often as needed.
func writeTokens(b *strings.Builder, text string, tokens int) {
	end := b.Len() + tokens*bytesPerToken
	for b.Len() < end {
		b.WriteString(text[:min(len(text), end-b.Len())])
		if b.Len() < end {
			b.WriteString(" ")
		}
	}
}

// bytesPerToken is the number of bytes that the stand-in engines count as one
// token.
const bytesPerToken = 4

// cost returns the number of tokens that an arrival is charged against its
// team's rate: the prompt and the largest number of generated tokens, or the
// cost of an action.
func (w *Workload) cost(a Arrival) int64 {
	call := &w.Teams[a.Team].Calls[a.Call]
	if call.Kind == KindAction {
		return call.Cost
	}
	return int64(standin.PromptTokens(call.promptText(a)) + call.MaxTokens)
}

// promptText returns the prompt in the form in which the engine receives it.
func (c *Call) promptText(a Arrival) string {
	if c.Kind == KindChat {
		return standin.ChatPrompt(c.messages(a))
	}
	return a.Prompt
}

func (c *Call) messages(a Arrival) []standin.Message {
	return []standin.Message{{Role: "user", Content: a.Prompt}}
}
