package traffic

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/assign"
)

// acquire finds a place at an upstream. It holds the request for a place that may
// become free, brings a missing adapter through the leader, and returns an
// *assign.Refused, or ctx's error, once it is clear that the request gets none.
func (j *job) acquire(ctx context.Context) (*assign.Choice, error) {
	if booked := j.booked; booked != nil {
		j.booked = nil
		return booked, nil
	}
	ask, began := j.ask(), time.Now()
	ensured := 0
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		freed := j.core.options.Assigner.Freed()
		choice, err := j.core.options.Assigner.Choose(ask, time.Now())
		if err == nil {
			return choice, nil
		}
		if errors.Is(err, assign.ErrAdapterNotLoaded) && ensured < maxEnsures {
			ensured++
			if j.ensure(ctx, ask) {
				continue
			}
		}
		if !j.mayHold(ask, began, err) {
			return nil, err
		}
		await(ctx, freed)
	}
}

// mayHold reports whether a request that looks for a place since began is held for what it
// was refused for just now.
func (j *job) mayHold(ask assign.Ask, began time.Time, err error) bool {
	var refused *assign.Refused
	if !errors.As(err, &refused) || !refused.Wait {
		return false
	}
	until := ask.HoldUntil(j.request.Arrived, err)
	repeated := began.Add(j.due.Sub(j.request.Arrived) / repeatHoldShare)
	if j.sends > 0 && repeated.After(until) {
		until = repeated
	}
	return time.Now().Before(until)
}

const (
	// maxEnsures bounds how often one request asks the leader for an adapter: engines
	// may drop one again before the request reaches it.
	maxEnsures = 5
	// repeatHoldShare is the part of its objective for which a request that an upstream
	// has failed may wait for a place at another one.
	repeatHoldShare = 4
)

func (j *job) ask() assign.Ask {
	if j.parts == nil && len(j.request.Parts) > 0 {
		ids := make([]string, len(j.request.Parts))
		tokens := make([]int, len(j.request.Parts))
		for i, p := range j.request.Parts {
			ids[i], tokens[i] = p.ID, p.Tokens
		}
		j.parts = assign.Parts(j.request.Model, j.request.Adapter, ids, tokens)
	}
	return assign.Ask{
		Service: j.service, Model: j.request.Model, Adapter: j.request.Adapter, Parts: j.parts,
		PromptTokens: j.request.PromptTokens, OutputTokens: j.request.expectedOutput(),
		Start: j.due, Deadline: j.deadline, Pause: j.route.GapObjective, Urgency: j.urgency, Avoid: j.avoid,
	}
}

func (j *job) ensure(ctx context.Context, ask assign.Ask) bool {
	ctx, cancel := context.WithTimeout(ctx, min(ensureTimeout, time.Until(j.deadline)))
	defer cancel()
	instance, err := j.core.options.EnsureAdapter(ctx, ask.Service, ask.Model, ask.Adapter)
	if err != nil || instance == "" {
		return false
	}
	j.core.options.Assigner.AddAdapter(instance, ask.Model, ask.Adapter)
	return true
}

// await returns when a place may have become free.
func await(ctx context.Context, freed <-chan struct{}) {
	timer := time.NewTimer(waitTick)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-freed:
	case <-timer.C:
	}
}
