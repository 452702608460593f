package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/standin"
)

// movingShare is the part of "moving" demand that the favoured model gets.
const movingShare = 0.8

// Arrival is one request of the schedule.
type Arrival struct {
	// At is when it comes, from the start of the run.
	At time.Duration
	// Team and Call index the workload.
	Team, Call int
	// Caller says which of the call's callers makes it.
	Caller int
	// Model is what is asked for; empty for an action.
	Model string
	// Prompt is the prompt, or an action's body.
	Prompt string
	// ID is unique in the schedule.
	ID string
}

// Schedule lists every arrival of a workload in order of time. The same seed
// gives the same schedule.
func Schedule(w *Workload) []Arrival {
	var all []Arrival
	for t := range w.Teams {
		for c := range w.Teams[t].Calls {
			g := generator{
				workload: w, call: &w.Teams[t].Calls[c], team: t, index: c,
				random: rand.New(rand.NewPCG(w.Seed, uint64(t)<<32|uint64(c))),
			}
			all = append(all, g.arrivals()...)
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

type generator struct {
	workload *Workload
	call     *Call
	team     int
	index    int
	made     int
	random   *rand.Rand
}

func (g *generator) arrivals() []Arrival {
	if g.call.Shape == ShapeFlashCrowd {
		return g.flashCrowd()
	}
	var all []Arrival
	at := time.Duration(0)
	for {
		gap := g.random.ExpFloat64() / (g.call.Rate * g.factor(at))
		at += time.Duration(gap * float64(time.Second))
		if at >= g.workload.Duration {
			return all
		}
		all = append(all, g.arrival(at, g.random.IntN(g.call.Callers)))
	}
}

func (g *generator) factor(at time.Duration) float64 {
	if g.call.Shape == ShapeSurge && at >= g.call.From && at < g.call.Until {
		return g.call.Factor
	}
	return 1
}

// flashCrowd spreads the first calls of all callers over the window.
func (g *generator) flashCrowd() []Arrival {
	var all []Arrival
	for caller := range g.call.Callers {
		at := time.Duration(g.random.Float64() * float64(g.call.Window))
		for range g.call.CallsPerCaller {
			if at < g.workload.Duration {
				all = append(all, g.arrival(at, caller))
			}
			at += time.Duration(g.random.ExpFloat64() * float64(g.call.Pause))
		}
	}
	return all
}

func (g *generator) arrival(at time.Duration, caller int) Arrival {
	g.made++
	a := Arrival{At: at, Team: g.team, Call: g.index, Caller: caller}
	a.ID = fmt.Sprintf("%d-%d-%d-%d", g.workload.Seed, g.team, g.index, g.made)
	if g.call.Kind != KindAction {
		a.Model = g.model(at)
	}
	a.Prompt = g.prompt(a.ID)
	return a
}

// model picks what is asked for: the first models more often than the last, as
// demand is, or for moving demand mostly the one whose turn it is.
func (g *generator) model(at time.Duration) string {
	models := g.call.Models
	if g.call.Shape == ShapeMoving && g.random.Float64() < movingShare {
		return models[int(at/g.call.Period)%len(models)]
	}
	x := g.random.Float64()
	return models[int(x*x*float64(len(models)))]
}

// prompt is one of the shared beginnings and a part of its own.
func (g *generator) prompt(id string) string {
	var b strings.Builder
	if g.call.Prefixes > 0 {
		fill(&b, fmt.Sprintf("manual %d of team %d", g.random.IntN(g.call.Prefixes), g.team), g.call.PrefixTokens)
	}
	fill(&b, "request "+id, g.call.PromptTokens)
	return b.String()
}

// fill writes text that a stand-in engine counts as so many tokens.
func fill(b *strings.Builder, text string, tokens int) {
	end := b.Len() + tokens*bytesPerToken
	for b.Len() < end {
		b.WriteString(text[:min(len(text), end-b.Len())])
		if b.Len() < end {
			b.WriteString(" ")
		}
	}
}

// bytesPerToken is how the stand-in engines count.
const bytesPerToken = 4

// cost is what an arrival takes from its team's rate: the prompt and the most
// that may be generated, or an action's cost.
func (w *Workload) cost(a Arrival) int64 {
	call := &w.Teams[a.Team].Calls[a.Call]
	if call.Kind == KindAction {
		return call.Cost
	}
	return int64(standin.PromptTokens(call.text(a)) + call.MaxTokens)
}

// text is the prompt as the engine sees it.
func (c *Call) text(a Arrival) string {
	if c.Kind == KindChat {
		return standin.ChatPrompt(c.messages(a))
	}
	return a.Prompt
}

func (c *Call) messages(a Arrival) []standin.Message {
	return []standin.Message{{Role: "user", Content: a.Prompt}}
}
