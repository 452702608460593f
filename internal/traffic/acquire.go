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
	ask := j.ask()
	hold := ask.HoldUntil(j.request.Arrived)
	if j.sends > 0 {
		hold = time.Now().Add(j.due.Sub(j.request.Arrived) / 4)
	}
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
		if errors.Is(err, assign.ErrAdapterNotLoaded) {
			ensured++
			if ensured <= maxEnsures && j.ensure(ctx, ask) {
				continue
			}
			if !time.Now().Before(hold) {
				return nil, err
			}
			await(ctx, freed)
			continue
		}
		var refused *assign.Refused
		if !errors.As(err, &refused) || !refused.Wait || !time.Now().Before(hold) {
			return nil, err
		}
		await(ctx, freed)
	}
}

// maxEnsures bounds how often one request asks the leader for an adapter: engines
// may drop one again before the request reaches it.
const maxEnsures = 5

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
		PromptTokens: j.request.PromptTokens, OutputTokens: j.expectedOutput(),
		Start: j.due, Deadline: j.deadline, Urgency: j.urgency, Avoid: j.avoid,
	}
}

// expectedOutput is the caller's estimate of the tokens generated where there is
// one, else the most that may be.
func (j *job) expectedOutput() int {
	if hint := j.request.LengthHint; hint > 0 {
		return min(hint, j.request.OutputTokens)
	}
	return j.request.OutputTokens
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
