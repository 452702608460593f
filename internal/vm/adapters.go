package vm

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/residency"
	"github.com/chestnutarch/chestnutarch/platform"
)

type pendingAdapter struct {
	done     chan struct{}
	instance string
	err      error
}

// ensureAdapter makes sure that an engine holds an adapter and returns the engine's ID. Concurrent calls
// for the same adapter share one load.
func (l *planner) ensureAdapter(ctx context.Context, service, model, adapter string) (string, error) {
	item := residency.Item(model, adapter)
	l.mu.Lock()
	if pending := l.pendingAdapters[item]; pending != nil {
		l.mu.Unlock()
		select {
		case <-pending.done:
			return pending.instance, pending.err
		case <-ctx.Done():
			return "", errors.Wrap(ErrOrder, ctx.Err().Error())
		}
	}
	pending := &pendingAdapter{done: make(chan struct{})}
	l.pendingAdapters[item] = pending
	l.mu.Unlock()
	// The load continues if the first caller cancels: others may wait for it.
	pending.instance, pending.err = l.placeAdapter(context.WithoutCancel(ctx), service, model, adapter)
	close(pending.done)
	l.mu.Lock()
	delete(l.pendingAdapters, item)
	l.mu.Unlock()
	return pending.instance, pending.err
}

// placeAdapter returns an engine that holds an adapter, after loading it if need be.
func (l *planner) placeAdapter(ctx context.Context, service, model, adapter string) (string, error) {
	k := l.p.core.Catalog()
	if _, ok := l.p.candidate.Authority(); !ok || k == nil || k.Services[service] == nil || k.Services[service].Engine == nil {
		return "", errors.WithStack(ErrNotLeader)
	}
	spec := k.Services[service].Engine
	item := residency.Item(model, adapter)
	engines := l.enginesHolding(service, model)
	l.mu.Lock()
	l.lastUsed[item] = time.Now()
	l.mu.Unlock()
	holder, move, ok := residency.FindAdapter(engines, spec, model, adapter, time.Now())
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
	if err := l.swapAdapter(ctx, state, move.Evict, model, adapter, spec); err != nil {
		return "", err
	}
	sleep(ctx, adapterLoadTime)
	l.p.assigner.AddAdapter(move.Engine, model, adapter)
	return move.Engine, nil
}

// swapAdapter unloads the adapter evict, if any, and loads another. It returns ErrNoPlace if the
// engine has no free slot or no longer holds the model.
func (l *planner) swapAdapter(ctx context.Context, state *engineState, evict, model, adapter string, spec *catalog.EngineSpec) error {
	state.orderMu.Lock()
	defer state.orderMu.Unlock()
	if evict != "" {
		oldModel, oldAdapter, _ := strings.Cut(evict, "/")
		if err := l.sendOrder(ctx, state, platform.Unload, oldModel, oldAdapter); err != nil {
			return l.invalidateIfBusy(state, err)
		}
		l.p.assigner.RemoveItem(state.instance.ID, oldModel, oldAdapter)
	}
	l.mu.Lock()
	full := len(state.adapters) >= spec.AdapterSlots
	gone := !state.models[model]
	l.mu.Unlock()
	if full || gone {
		return errors.WithStack(ErrNoPlace)
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
// VM, and returns the engine's ID. It returns ErrNotLeader if this VM does not lead and does not
// know another leader and its address.
func (p *Process) ensureAdapter(ctx context.Context, service, model, adapter string) (string, error) {
	if _, ok := p.candidate.Authority(); ok {
		return p.planner.ensureAdapter(ctx, service, model, adapter)
	}
	term, ok := p.candidate.Leader()
	if !ok || term.VM == p.settings.VM {
		return "", errors.WithStack(ErrNotLeader)
	}
	address, ok := p.fleet.peerAddressOf(term.VM)
	if !ok {
		return "", errors.WithStack(ErrNotLeader)
	}
	var response *peerpb.EnsureAdapterResponse
	err := p.pool.Call(ctx, address, exchangeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		response, err = peerpb.NewVMsClient(conn).EnsureAdapter(ctx, &peerpb.EnsureAdapterRequest{Service: service, Model: model, Adapter: adapter})
		return err
	})
	if err != nil {
		return "", err
	}
	return response.Instance, nil
}
