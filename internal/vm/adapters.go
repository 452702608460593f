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

// ensure brings an adapter to an engine and returns the engine's ID.
func (l *planner) ensure(ctx context.Context, service, model, adapter string) (string, error) {
	item := residency.Item(model, adapter)
	l.mu.Lock()
	if w := l.pending[item]; w != nil {
		l.mu.Unlock()
		select {
		case <-w.done:
			return w.instance, w.err
		case <-ctx.Done():
			return "", errors.Wrap(ErrOrder, ctx.Err().Error())
		}
	}
	w := &pendingAdapter{done: make(chan struct{})}
	l.pending[item] = w
	l.mu.Unlock()
	// The order goes on if the first to ask leaves: others wait for it.
	w.instance, w.err = l.bring(context.WithoutCancel(ctx), service, model, adapter)
	close(w.done)
	l.mu.Lock()
	delete(l.pending, item)
	l.mu.Unlock()
	return w.instance, w.err
}

func (l *planner) bring(ctx context.Context, service, model, adapter string) (string, error) {
	k := l.p.core.Catalog()
	if _, ok := l.p.candidate.Authority(); !ok || k == nil || k.Services[service] == nil || k.Services[service].Engine == nil {
		return "", errors.WithStack(ErrNotLeader)
	}
	spec := k.Services[service].Engine
	item := residency.Item(model, adapter)
	engines := l.engines(service)
	l.mu.Lock()
	l.used[item] = time.Now()
	for _, e := range engines {
		if e.Usable && e.Models[model] {
			if _, ok := e.Adapters[item]; ok {
				l.mu.Unlock()
				return e.ID, nil
			}
		}
	}
	l.mu.Unlock()
	move, ok := residency.PlaceAdapter(engines, spec, model, time.Now())
	if !ok {
		return "", errors.WithStack(ErrNoPlace)
	}
	b := l.book(move.Engine)
	if b == nil {
		return "", errors.WithStack(ErrNoPlace)
	}
	if err := l.swapAdapter(ctx, b, move.Evict, model, adapter, spec); err != nil {
		return "", err
	}
	sleep(ctx, adapterTime)
	l.p.assigner.AddAdapter(move.Engine, model, adapter)
	return move.Engine, nil
}

// swapAdapter unloads one adapter if need be and loads another.
func (l *planner) swapAdapter(ctx context.Context, b *book, evict, model, adapter string, spec *catalog.EngineSpec) error {
	b.orders.Lock()
	defer b.orders.Unlock()
	if evict != "" {
		oldModel, oldAdapter, _ := strings.Cut(evict, "/")
		if err := l.order(ctx, b, platform.Unload, oldModel, oldAdapter); err != nil {
			return l.busyUnknown(b, err)
		}
		l.p.assigner.RemoveItem(b.instance.ID, oldModel, oldAdapter)
	}
	l.mu.Lock()
	full := len(b.adapters) >= spec.AdapterSlots
	gone := !b.models[model]
	l.mu.Unlock()
	if full || gone {
		return errors.WithStack(ErrNoPlace)
	}
	return l.busyUnknown(b, l.order(ctx, b, platform.Load, model, adapter))
}

// busyUnknown closes the book of an engine that carries out an order which the book does not
// know, such as a late one of an earlier leader. With the book open, every request for
// another adapter would send the engine one more order that it refuses.
func (l *planner) busyUnknown(b *book, err error) error {
	if errors.Is(err, errBusy) {
		l.closeBook(b)
	}
	return err
}

// ensureAdapter brings an adapter to an engine, through the leader if that is
// another VM.
func (p *Process) ensureAdapter(ctx context.Context, service, model, adapter string) (string, error) {
	if _, ok := p.candidate.Authority(); ok {
		return p.planner.ensure(ctx, service, model, adapter)
	}
	term, ok := p.candidate.Leader()
	if !ok || term.VM == p.settings.VM {
		return "", errors.WithStack(ErrNotLeader)
	}
	address, ok := p.fleet.peerOf(term.VM)
	if !ok {
		return "", errors.WithStack(ErrNotLeader)
	}
	var answer *peerpb.EnsureAdapterResponse
	err := p.pool.Call(ctx, address, exchangeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = peerpb.NewVMsClient(conn).EnsureAdapter(ctx, &peerpb.EnsureAdapterRequest{Service: service, Model: model, Adapter: adapter})
		return err
	})
	if err != nil {
		return "", err
	}
	return answer.Instance, nil
}
