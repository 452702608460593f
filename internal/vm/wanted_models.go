package vm

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/residency"
	"github.com/chestnutarch/chestnutarch/internal/traffic"
)

// This file brings models to engines of a software version at which streams wait for them: models are placed without
// regard to versions otherwise, and a stream whose engine has ended cannot go on at another version.

// wantedModel identifies a model that streams wait for at a software version.
type wantedModel struct{ service, model, version string }

// pendingModel is a wanted model that the next plans consider. engine is set before done is closed.
type pendingModel struct {
	avoid  []string
	until  time.Time
	done   chan struct{}
	engine string
}

// wantedLifetime is how long plans look for a place for a wanted model: engines of its version may be busy for a moment, or
// the weight store's rate used up.
const wantedLifetime = 500 * time.Millisecond

// ensureModel has the next plans bring a model to an engine of a software version. It returns the engine that holds it or is
// to, and ErrNoPlace if there is none.
func (l *planner) ensureModel(ctx context.Context, q traffic.ModelRequest) (string, error) {
	if !l.p.leads() {
		return "", errors.WithStack(ErrNotLeader)
	}
	key := wantedModel{q.Service, q.Model, q.Version}
	l.mu.Lock()
	pending := l.wanted[key]
	if pending == nil {
		pending = &pendingModel{until: time.Now().Add(wantedLifetime), done: make(chan struct{})}
		l.wanted[key] = pending
	}
	pending.avoid = append(pending.avoid, q.Avoid...)
	l.mu.Unlock()
	select {
	case <-pending.done:
	case <-ctx.Done():
		return "", errors.Wrap(ErrNoPlace, ctx.Err().Error())
	}
	if pending.engine == "" {
		return "", errors.WithStack(ErrNoPlace)
	}
	return pending.engine, nil
}

// wantedOf returns the models that streams wait for at the engines of a service. It must be called with the lock held.
func (l *planner) wantedOf(service string) []residency.Wanted {
	var out []residency.Wanted
	for key, pending := range l.wanted {
		if key.service == service {
			slices.Sort(pending.avoid)
			out = append(out, residency.Wanted{Model: key.model, Version: key.version, Avoid: slices.Compact(pending.avoid)})
		}
	}
	return out
}

// answerWanted tells those who wait for models of a service which engines the plan f brings them to. It must be called with
// the lock held.
func (l *planner) answerWanted(service string, f residency.Fleet) {
	for _, w := range f.Wanted {
		key := wantedModel{service, w.Model, w.Version}
		pending := l.wanted[key]
		pending.engine = w.Holder(f.Engines)
		if pending.engine == "" && w.Servable(f.Engines) && f.Now.Before(pending.until) {
			continue
		}
		close(pending.done)
		delete(l.wanted, key)
	}
}

// ensureModel has the leader bring a model to an engine of a software version. Its errors are those of planner.ensureModel
// and of callLeader.
func (p *Process) ensureModel(ctx context.Context, q traffic.ModelRequest) (string, error) {
	if p.leads() {
		return p.planner.ensureModel(ctx, q)
	}
	var response *peerpb.EnsureModelResponse
	err := p.callLeader(ctx, func(ctx context.Context, leader peerpb.VMsClient) (err error) {
		response, err = leader.EnsureModel(ctx, &peerpb.EnsureModelRequest{Service: q.Service, Model: q.Model, Version: q.Version, Avoid: q.Avoid})
		return err
	})
	return response.GetInstance(), err
}

// EnsureModel implements peerpb.VMsServer.
func (s *vmServer) EnsureModel(ctx context.Context, in *peerpb.EnsureModelRequest) (*peerpb.EnsureModelResponse, error) {
	instance, err := s.process.planner.ensureModel(ctx, traffic.ModelRequest{Service: in.Service, Model: in.Model, Version: in.Version, Avoid: in.Avoid})
	if err != nil {
		return nil, err
	}
	return &peerpb.EnsureModelResponse{Instance: instance}, nil
}
