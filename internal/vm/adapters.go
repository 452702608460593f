package vm

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/residency"
	"github.com/chestnutarch/chestnutarch/internal/traffic"
	"github.com/chestnutarch/chestnutarch/platform"
)

type pendingAdapter struct {
	done     chan struct{}
	instance string
	err      error
}

// ensureAdapter makes sure that an engine holds an adapter and returns the engine's ID. Concurrent calls
// for the same adapter share one load.
func (l *planner) ensureAdapter(ctx context.Context, q traffic.AdapterRequest) (string, error) {
	item := residency.Item(q.Model, q.Adapter)
	l.mu.Lock()
	if pending := l.pendingAdapters[item]; pending != nil {
		l.mu.Unlock()
		select {
		case <-pending.done:
		case <-ctx.Done():
			return "", errors.Wrap(ErrOrder, ctx.Err().Error())
		}
		if slices.Contains(q.Avoid, pending.instance) {
			return l.placeAdapter(ctx, q)
		}
		return pending.instance, pending.err
	}
	pending := &pendingAdapter{done: make(chan struct{})}
	l.pendingAdapters[item] = pending
	l.mu.Unlock()
	// The load continues if the first caller cancels: others may wait for it.
	pending.instance, pending.err = l.placeAdapter(context.WithoutCancel(ctx), q)
	close(pending.done)
	l.mu.Lock()
	delete(l.pendingAdapters, item)
	l.mu.Unlock()
	return pending.instance, pending.err
}

// placeAdapter returns an engine that holds an adapter, after loading it if need be.
func (l *planner) placeAdapter(ctx context.Context, q traffic.AdapterRequest) (string, error) {
	k := l.p.core.Catalog()
	if !l.p.leads() || k == nil || k.Services[q.Service] == nil || k.Services[q.Service].Engine == nil {
		return "", errors.WithStack(ErrNotLeader)
	}
	spec := k.Services[q.Service].Engine
	item := residency.Item(q.Model, q.Adapter)
	engines := slices.DeleteFunc(l.enginesHolding(q.Service, q.Model), func(e residency.Engine) bool { return slices.Contains(q.Avoid, e.ID) })
	l.mu.Lock()
	l.lastUsed[item] = time.Now()
	l.mu.Unlock()
	holder, move, ok := residency.FindAdapter(engines, spec, q.Model, q.Adapter, time.Now())
	if !ok {
		return "", errors.WithStack(ErrNoPlace)
	}
	if holder != "" {
		return holder, nil
	}
	state := l.state(move.Engine)
	if state == nil {
		return "", errors.WithStack(ErrNoPlace)
	}
	if err := l.loadAdapter(ctx, state, q.Model, q.Adapter, spec); err != nil {
		return "", err
	}
	sleep(ctx, adapterLoadTime)
	l.p.assigner.AddAdapter(move.Engine, q.Model, q.Adapter)
	return move.Engine, nil
}

// loadAdapter unloads what has to make way for an adapter and loads it. What makes way is decided while no other order to the
// engine can be given. It returns ErrNoPlace if the adapter does not fit, or the engine no longer holds the model.
func (l *planner) loadAdapter(ctx context.Context, state *engineState, model, adapter string, spec *catalog.EngineSpec) error {
	state.orderMu.Lock()
	defer state.orderMu.Unlock()
	e := l.snapshot(state)
	if _, held := e.Adapters[residency.Item(model, adapter)]; held && e.Models[model] {
		return nil
	}
	victims, ok := residency.AdapterVictims(&e, spec, model, time.Now())
	if !ok {
		return errors.Wrapf(ErrNoPlace, "engine %s", state.instance.ID)
	}
	for _, item := range victims {
		oldModel, oldAdapter, _ := strings.Cut(item, "/")
		if err := l.sendOrder(ctx, state, platform.Unload, oldModel, oldAdapter); err != nil {
			return l.invalidateIfBusy(state, err)
		}
		l.p.assigner.RemoveItem(state.instance.ID, oldModel, oldAdapter)
	}
	return l.invalidateIfBusy(state, l.sendOrder(ctx, state, platform.Load, model, adapter))
}

// invalidateIfBusy invalidates the state of an engine that carries out an order which the state
// does not count, such as a late one of an earlier leader. With a valid state, every request for
// another adapter would send the engine one more order that it refuses.
func (l *planner) invalidateIfBusy(state *engineState, err error) error {
	if errors.Is(err, errBusy) {
		l.invalidate(state)
	}
	return err
}

// ensureAdapter makes sure that an engine holds an adapter, through the leader if that is another
// VM, and returns the engine's ID. Its errors are those of planner.ensureAdapter and of callLeader.
func (p *Process) ensureAdapter(ctx context.Context, q traffic.AdapterRequest) (string, error) {
	if p.leads() {
		return p.planner.ensureAdapter(ctx, q)
	}
	var response *peerpb.EnsureAdapterResponse
	err := p.callLeader(ctx, func(ctx context.Context, leader peerpb.VMsClient) (err error) {
		response, err = leader.EnsureAdapter(ctx, &peerpb.EnsureAdapterRequest{Service: q.Service, Model: q.Model, Adapter: q.Adapter, Avoid: q.Avoid})
		return err
	})
	return response.GetInstance(), err
}

// callLeader calls the leader, which is another VM. It returns ErrNotLeader if no leader and its address are known.
func (p *Process) callLeader(ctx context.Context, call func(ctx context.Context, leader peerpb.VMsClient) error) error {
	term, ok := p.candidate.Leader()
	if !ok || term.VM == p.settings.VM {
		return errors.WithStack(ErrNotLeader)
	}
	address, ok := p.fleet.peerAddressOf(term.VM)
	if !ok {
		return errors.WithStack(ErrNotLeader)
	}
	return p.pool.Call(ctx, address, exchangeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		return call(ctx, peerpb.NewVMsClient(conn))
	})
}
