package planner

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/order"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// execute starts an action that the reconciler returned.
func (l *leadership) execute(ctx context.Context, action order.Action) {
	switch a := action.(type) {
	case order.Read:
		l.startCall(ctx, l.storeSlots, func() func() { return l.readKey(ctx, a) })
	case order.Write:
		l.startCall(ctx, l.storeSlots, func() func() { return l.writeKey(ctx, a) })
	case order.Poll:
		url := l.engineURLs[a.Engine]
		l.startCall(ctx, l.engineSlots, func() func() { return l.pollEngine(ctx, url, a) })
	case order.Send:
		url := l.engineURLs[a.Engine]
		l.startCall(ctx, l.engineSlots, func() func() { return l.sendOrder(ctx, url, a) })
	}
}

// startCall runs work in a goroutine of its own once a slot is free, and passes
// the completion that work returns to the owner of the state.
func (l *leadership) startCall(ctx context.Context, slots chan struct{}, work func() func()) {
	l.calls.Go(func() error {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		result := work()
		<-slots
		select {
		case l.completions <- result:
		case <-ctx.Done():
		}
		return nil
	})
}

func (l *leadership) readKey(ctx context.Context, a order.Read) func() {
	entry, err := l.planner.options.Store.Get(ctx, a.Key)
	known := err == nil || errors.Is(err, kv.ErrNotFound)
	if !known {
		sleep(ctx, storeFailureDelay)
	}
	return func() {
		l.reconciler.ReadDone(a.Key, order.Stored{Revision: entry.Revision, Value: entry.Value}, known)
	}
}

func (l *leadership) writeKey(ctx context.Context, a order.Write) func() {
	result, err := l.planner.options.Store.CompareAndSwap(ctx, a.Key, a.Expected, a.Value, kv.NoLease)
	outcome := order.OutcomeUnknown
	switch {
	case err != nil:
		// The key is read back even after an error that guarantees that nothing
		// was sent, so that the reconciler handles all failed writes in one way.
		sleep(ctx, storeFailureDelay)
	case result.Outcome == kv.TookEffect:
		outcome = order.TookEffect
	case result.Outcome == kv.NoEffect:
		outcome = order.NoEffect
	}
	var current *order.Stored
	if result.Current != nil {
		current = &order.Stored{Revision: result.Current.Revision, Value: result.Current.Value}
	}
	return func() { l.reconciler.WriteDone(a.Key, outcome, result.Revision, current) }
}

func (l *leadership) pollEngine(ctx context.Context, url string, a order.Poll) func() {
	load, err := l.planner.loadClient.Load(ctx, url)
	// Another engine may be listening at the address by now.
	ok := err == nil && load.Engine == a.Engine
	report := order.Report{
		Incarnation: load.Incarnation,
		Draining:    load.Draining,
		MemoryUsed:  load.MemoryUsed,
	}
	for _, r := range load.Resident {
		report.Resident = append(report.Resident, order.ReportItem{
			Item:  placement.Item(r.Item),
			Ready: r.State == engine.ItemReady,
		})
	}
	return func() {
		report.Draining = report.Draining || l.draining(a.Engine)
		l.reconciler.Reported(a, report, ok, l.planner.options.Clock().Wall)
	}
}

// draining reports whether operators have taken the engine out of service.
func (l *leadership) draining(name string) bool {
	for _, e := range l.snapshot.Document.Engines {
		if e.Name == name {
			return e.Draining
		}
	}
	return false
}

func (l *leadership) sendOrder(ctx context.Context, url string, a order.Send) func() {
	kind := engine.OrderLoad
	if a.Order.Kind == order.Unload {
		kind = engine.OrderUnload
	}
	status, err := l.planner.orderClient.Send(ctx, url, a.Incarnation, engine.Order{
		OrderID: a.Order.ID,
		Fence:   a.Order.Fence,
		Kind:    kind,
		Item:    engine.Item(a.Order.Item),
		Memory:  a.Order.Memory,
	})
	if err != nil {
		l.log.Debug().Err(err).Str("engine", a.Engine).Str("order", a.Order.ID).Msg("order call to the engine failed")
		return func() { l.reconciler.Unanswered(a, l.planner.options.Clock().Wall) }
	}
	l.recordAnswer(a, kind, status)
	return func() { l.reconciler.Answered(a, answerOf(status.State), l.planner.options.Clock().Wall) }
}

func (l *leadership) recordAnswer(a order.Send, kind engine.OrderKind, status engine.OrderStatus) {
	if status.State == engine.OrderRunning {
		return
	}
	name := "planner.orders." + string(kind) + "." + string(status.State)
	metrics.GetOrRegisterCounter(name, l.planner.options.Metrics).Inc(1)
	l.log.Info().Str("engine", a.Engine).Str("order", a.Order.ID).Str("kind", string(kind)).
		Str("model", a.Order.Item.Model).Str("adapter", a.Order.Item.Adapter).
		Str("version", a.Order.Item.Version).Str("state", string(status.State)).
		Str("reason", status.Reason).Msg("order answered")
}

func answerOf(state engine.OrderState) order.Answer {
	switch state {
	case engine.OrderDone:
		return order.Done
	case engine.OrderFailed:
		return order.Failed
	case engine.OrderRefused:
		return order.Refused
	default:
		return order.Running
	}
}
