package assign

import (
	"math/rand/v2"
	"slices"
	"time"
)

// modelEngine plays an engine as engines publish it: it works in steps, each of which makes
// a token for every request of the batch and reads the prompts that have come, up to a piece
// of a few thousand tokens.
type modelEngine struct {
	step  time.Duration
	read  time.Duration
	piece int
	slots int
	// event is how many tokens an event has.
	event int

	at      time.Duration
	waiting []*modelRun
	running []*modelRun
}

// modelRun is a request on an engine.
type modelRun struct {
	unread, tokens int
	begun          bool
	// toEvent is how many tokens the next event lacks, last when the one before went out.
	toEvent int
	last    time.Duration
	longest time.Duration
	events  int
	choice  *Choice
	owner   *Assigner
	sent    time.Duration
	first   time.Duration
}

// advance plays the engine up to a time. ended is called with every run that is over.
func (e *modelEngine) advance(until time.Duration, began, ended func(*modelRun, time.Duration)) {
	for e.at < until {
		for len(e.waiting) > 0 && len(e.running) < e.slots {
			e.running = append(e.running, e.waiting[0])
			e.waiting = e.waiting[1:]
		}
		if len(e.running) == 0 {
			e.at = until
			return
		}
		left := e.piece
		for _, r := range e.running {
			part := min(left, r.unread)
			r.unread -= part
			left -= part
		}
		e.at += e.step + time.Duration(e.piece-left)*e.read
		kept := e.running[:0]
		for _, r := range e.running {
			if r.unread == 0 {
				e.token(r, began)
			}
			if r.tokens > 0 {
				kept = append(kept, r)
			} else {
				ended(r, e.at)
			}
		}
		e.running = kept
	}
}

// token makes a token of a run.
func (e *modelEngine) token(r *modelRun, began func(*modelRun, time.Duration)) {
	r.tokens--
	r.toEvent--
	if r.begun && r.toEvent > 0 && r.tokens > 0 {
		return
	}
	if !r.begun {
		r.begun, r.first = true, e.at
		began(r, e.at)
	} else {
		r.longest = max(r.longest, e.at-r.last)
	}
	r.events++
	r.last, r.toEvent = e.at, e.event
}

// modelFleet is VMs before engines that all hold one model.
type modelFleet struct {
	vms     []*Assigner
	engines map[string]*modelEngine
	random  *rand.Rand
	now     time.Duration
	start   time.Time
	// told is called after every sending with the VM and the engine.
	told func(vm int, engine string)

	// counted is from when streams and refusals count: the VMs have to see some streams first.
	counted time.Duration

	streams, late, refused int
}

// modelPrompt and modelTokens are the mean size of a request, in tokens.
const (
	modelPrompt = 700
	modelTokens = 280
	modelPause  = 150 * time.Millisecond
	// modelObjective is the time to the first event.
	modelObjective = 500 * time.Millisecond
)

func (f *modelFleet) clock() time.Time { return f.start.Add(f.now) }

// play sends perSecond requests a second, and reports of all VMs four times a second.
func (f *modelFleet) play(perSecond float64, length time.Duration) {
	const tick = time.Millisecond
	var held []heldAsk
	for ; f.now < length; f.now += tick {
		if f.random.Float64() < perSecond*tick.Seconds() {
			prompt := int(modelPrompt * (0.2 + f.random.ExpFloat64()*0.8))
			a := Ask{
				Service: "engines", Model: "m", PromptTokens: prompt, OutputTokens: modelTokens, Pause: modelPause,
				Start: f.clock().Add(modelObjective), Deadline: f.clock().Add(12 * time.Second), Urgency: 1,
			}
			held = append(held, heldAsk{ask: a, vm: f.random.IntN(len(f.vms))})
		}
		held = slices.DeleteFunc(held, f.try)
		for _, e := range f.engines {
			e.advance(f.now, f.began, f.ended)
		}
		if f.now%(250*time.Millisecond) == 0 {
			f.report()
		}
	}
}

// heldAsk is a request that looks for a place.
type heldAsk struct {
	ask Ask
	vm  int
}

// try looks for a place. It returns true once the request is sent or refused.
func (f *modelFleet) try(h heldAsk) bool {
	c, err := f.vms[h.vm].Choose(h.ask, f.clock())
	if err != nil {
		if f.clock().Before(h.ask.HoldUntil(h.ask.Start.Add(-modelObjective), err)) {
			return false
		}
		if f.now >= f.counted {
			f.refused++
		}
		return true
	}
	e := f.engines[c.Instance]
	e.waiting = append(e.waiting, &modelRun{unread: c.Uncached, tokens: modelTokens, choice: c, owner: f.vms[h.vm], sent: f.now})
	if f.told != nil {
		f.told(h.vm, c.Instance)
	}
	return true
}

func (f *modelFleet) began(r *modelRun, at time.Duration) { r.owner.Started(r.choice, f.start.Add(at)) }

func (f *modelFleet) ended(r *modelRun, at time.Duration) {
	r.owner.Streamed(r.choice, r.events, r.last-r.first, r.longest)
	r.owner.Finish(r.choice, Succeeded, f.start.Add(at))
	if r.sent < f.counted {
		return
	}
	f.streams++
	if r.longest > modelPause {
		f.late++
	}
}

func (f *modelFleet) report() {
	for i, from := range f.vms {
		loads := from.Loads()
		for j, to := range f.vms {
			if i != j {
				to.SetOthers(string(rune('a'+i)), loads, f.clock())
			}
		}
	}
}
