package traffic

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

// acquire reserves a slot on an upstream. It holds the request while a slot may become
// free, asks the leader to load a missing adapter, and returns an *assign.Refused, or ctx's
// error, once the request cannot get a slot.
func (j *job) acquire(ctx context.Context) (*assign.Choice, error) {
	if reserved := j.takeReserved(); reserved != nil {
		return reserved, nil
	}
	if j.lastEventID != "" && j.version == "" {
		return nil, errors.WithStack(ErrVersionUnknown)
	}
	req, began := j.assignRequest(), time.Now()
	adapterRequests := 0
	defer j.endWait()
	for {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		freed := j.core.options.Assigner.Freed()
		choice, err := j.choosePermitted(ctx, req)
		if err == nil {
			return choice, nil
		}
		if errors.Is(err, assign.ErrAdapterNotLoaded) && adapterRequests < maxAdapterRequests {
			adapterRequests++
			if j.ensureAdapter(ctx, req) {
				continue
			}
		}
		if j.awaitsModel(ctx, req, began, err) {
			awaitFreed(ctx, freed)
			continue
		}
		if !j.mayHold(req, began, err) {
			j.recordNoRoom(err, time.Now())
			return nil, err
		}
		j.awaitSlot(ctx, freed)
	}
}

// takeReserved returns the slot that was reserved while an exchange was silent, nil if there is none or the stream has
// begun at another version meanwhile.
func (j *job) takeReserved() *assign.Choice {
	reserved := j.reserved
	j.reserved = nil
	if reserved != nil && j.version != "" && reserved.Version != j.version {
		j.finish(reserved, assign.Neutral)
		return nil
	}
	return reserved
}

// awaitsModel reports whether a request that has been waiting for a slot since began is to wait further for a model, which
// the leader brings to an engine of the version that the request is bound to.
func (j *job) awaitsModel(ctx context.Context, req assign.Request, began time.Time, err error) bool {
	if !errors.Is(err, assign.ErrVersionNotServed) || req.Model == "" || len(j.brokeAlive) > 0 {
		return false
	}
	if !j.modelRequested {
		j.modelRequested = true
		j.modelComes = j.ensureModel(ctx, req)
	}
	return j.modelComes && time.Since(began) < j.route.Objective && j.timeLeft() > minTimeLeft
}

func (j *job) ensureModel(ctx context.Context, req assign.Request) bool {
	j.waitingFor = waitModel
	ctx, cancel := context.WithTimeout(ctx, ensureTimeout)
	defer cancel()
	instance, err := j.core.options.EnsureModel(ctx, ModelRequest{
		Service: req.Service, Model: req.Model, Version: req.Version, Avoid: j.core.options.Assigner.UnsuitableHolders(req, time.Now()),
	})
	return err == nil && instance != ""
}

// mayHold reports whether a request that has been waiting for a slot since began may be held
// further after the refusal err.
func (j *job) mayHold(req assign.Request, began time.Time, err error) bool {
	var refused *assign.Refused
	if !errors.As(err, &refused) || !refused.Holdable {
		return false
	}
	return time.Now().Add(refused.Wait).Before(j.holdUntil(req, began, err))
}

// holdUntil returns until when a request that has been waiting for a slot since began may be held after the refusal err.
func (j *job) holdUntil(req assign.Request, began time.Time, err error) time.Time {
	holdUntil := req.HoldUntil(j.request.Arrived, err)
	repeatUntil := began.Add(j.due.Sub(j.request.Arrived) / repeatHoldDivisor)
	if j.sends > 0 && repeatUntil.After(holdUntil) {
		return repeatUntil
	}
	return holdUntil
}

const (
	// maxAdapterRequests bounds how often one request asks the leader for an adapter:
	// engines may unload it again before the request reaches them.
	maxAdapterRequests = 5
	// permitsDivisor limits the time in which a request asks for permits, before only upstreams without
	// a rate limit are considered, to the objective divided by it.
	permitsDivisor = 4
	// repeatHoldDivisor limits how long a request that has been sent before may wait for a
	// slot on another upstream: for its objective divided by repeatHoldDivisor.
	repeatHoldDivisor = 4
	// permitWaitDivisor and neededPermitWaitDivisor limit the wait for a permit to the objective
	// divided by them.
	permitWaitDivisor       = 8
	neededPermitWaitDivisor = 2
)

func (j *job) assignRequest() assign.Request {
	if j.prefixes == nil && len(j.request.Parts) > 0 {
		ids := make([]string, len(j.request.Parts))
		tokens := make([]int, len(j.request.Parts))
		for i, p := range j.request.Parts {
			ids[i], tokens[i] = p.ID, p.Tokens
		}
		j.prefixes = assign.Prefixes(j.request.Model, j.request.Adapter, ids, tokens)
	}
	return assign.Request{
		Service: j.service, Route: j.route.Name, BodyBytes: len(j.request.Body), Model: j.request.Model, Adapter: j.request.Adapter, Prefixes: j.prefixes,
		PromptTokens: j.request.PromptTokens, OutputTokens: j.request.expectedOutput(),
		StartBy: j.due, Deadline: j.deadline, MaxGap: j.route.GapObjective, Urgency: j.urgency, Team: j.team, Avoid: j.avoid,
		Version:       j.version,
		Room:          j.room,
		RegionAllowed: j.regionAllowed,
		// A request that may not run twice is rejected rather than sent to an upstream that may be gone.
		AllowUnresponsive: j.route.Repeatable(),
	}
}

// regionAllowed reports whether upstreams of a region may run the request.
func (j *job) regionAllowed(region string) bool {
	return catalog.RegionAllowed(j.route, j.catalog.Teams[j.team], region)
}

func (j *job) ensureAdapter(ctx context.Context, req assign.Request) bool {
	j.waitingFor = waitAdapter
	ctx, cancel := context.WithTimeout(ctx, ensureTimeout)
	defer cancel()
	instance, err := j.core.options.EnsureAdapter(ctx, AdapterRequest{
		Service: req.Service, Model: req.Model, Adapter: req.Adapter, Avoid: j.core.options.Assigner.UnsuitableHolders(req, time.Now()),
	})
	if err != nil || instance == "" {
		return false
	}
	j.core.options.Assigner.AddAdapter(instance, req.Model, req.Adapter)
	return true
}

// choosePermitted reserves a slot on an upstream, and gets a permit for it if the upstream names a rate
// limit or is brittle.
func (j *job) choosePermitted(ctx context.Context, req assign.Request) (*assign.Choice, error) {
	began := time.Now()
	for {
		choice, err := j.core.options.Assigner.Choose(req, time.Now())
		if err != nil || !choice.NeedsPermit || j.requestPermit(ctx, choice) {
			return choice, err
		}
		req.WithoutPermit = time.Since(began) > j.due.Sub(j.request.Arrived)/permitsDivisor
	}
}

// requestPermit asks for a permit to send the request to the chosen upstream. Without one it releases the choice.
func (j *job) requestPermit(ctx context.Context, choice *assign.Choice) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j.waitingFor = waitPermit
	timer := time.AfterFunc(j.permitWait(choice), cancel)
	defer timer.Stop()
	decision := j.askPermit(ctx, choice)
	j.core.countPermit(decision.Granted)
	if !decision.Granted {
		j.core.options.Assigner.RecordDenial(choice, decision.RetryAfter, time.Now())
		return false
	}
	j.core.options.Assigner.RecordPermit(choice, time.Now())
	return true
}

func (j *job) askPermit(ctx context.Context, choice *assign.Choice) upstreamrate.Decision {
	if !choice.Brittle {
		return j.core.options.Permit(ctx, choice.Key, choice.LastChoice)
	}
	q := PlaceRequest{Upstream: choice.Key, Permit: j.core.permits.Add(1), Needed: choice.LastChoice, TimeLeft: j.timeLeft()}
	if q.Needed {
		// The rest of the wait is for the answer's way.
		q.MaxWait = j.permitWait(choice) * 3 / 4
	}
	decision := j.core.options.TakePlace(ctx, q)
	if decision.Granted {
		choice.Permit = q.Permit
	}
	return decision
}

// permitWait returns how long to wait for a permit: longer if no other upstream can take the request.
func (j *job) permitWait(choice *assign.Choice) time.Duration {
	objective := j.due.Sub(j.request.Arrived)
	if choice.LastChoice {
		return objective / neededPermitWaitDivisor
	}
	return objective / permitWaitDivisor
}

// awaitFreed returns when a slot may have become free, after holdPollInterval at the latest.
func awaitFreed(ctx context.Context, freed <-chan struct{}) {
	timer := time.NewTimer(holdPollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-freed:
	case <-timer.C:
	}
}
