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

// carryOut starts what the book asks for.
func (l *leadership) carryOut(ctx context.Context, action order.Action) {
	switch a := action.(type) {
	case order.Read:
		l.call(ctx, l.storeSlots, func() func() { return l.read(ctx, a) })
	case order.Write:
		l.call(ctx, l.storeSlots, func() func() { return l.write(ctx, a) })
	case order.Poll:
		url := l.urls[a.Engine]
		l.call(ctx, l.engineSlots, func() func() { return l.poll(ctx, url, a) })
	case order.Send:
		url := l.urls[a.Engine]
		l.call(ctx, l.engineSlots, func() func() { return l.send(ctx, url, a) })
	}
}

// call runs work beside the owner, when a slot is free, and hands its result
// back to it.
func (l *leadership) call(ctx context.Context, slots chan struct{}, work func() func()) {
	l.calls.Go(func() error {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		result := work()
		<-slots
		select {
		case l.events <- result:
		case <-ctx.Done():
		}
		return nil
	})
}

func (l *leadership) read(ctx context.Context, a order.Read) func() {
	entry, err := l.planner.options.Store.Get(ctx, a.Key)
	known := err == nil || errors.Is(err, kv.ErrNotFound)
	if !known {
		pause(ctx, failurePause)
	}
	return func() {
		l.book.ReadDone(a.Key, order.Stored{Revision: entry.Revision, Value: entry.Value}, known)
	}
}

func (l *leadership) write(ctx context.Context, a order.Write) func() {
	result, err := l.planner.options.Store.CompareAndSwap(ctx, a.Key, a.Expected, a.Value, kv.NoLease)
	outcome := order.OutcomeUnknown
	switch {
	case err != nil:
		// Also an error that promises that nothing was sent is read back: the
		// book then goes one way only.
		pause(ctx, failurePause)
	case result.Outcome == kv.TookEffect:
		outcome = order.TookEffect
	case result.Outcome == kv.DidNot:
		outcome = order.DidNot
	}
	var current *order.Stored
	if result.Current != nil {
		current = &order.Stored{Revision: result.Current.Revision, Value: result.Current.Value}
	}
	return func() { l.book.Written(a.Key, outcome, result.Revision, current) }
}

func (l *leadership) poll(ctx context.Context, url string, a order.Poll) func() {
	load, err := l.planner.reports.Load(ctx, url)
	// Another engine may listen at the address meanwhile.
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
		l.book.Reported(a, report, ok, l.planner.options.Clock().Wall)
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

func (l *leadership) send(ctx context.Context, url string, a order.Send) func() {
	kind := engine.OrderLoad
	if a.Order.Kind == order.Unload {
		kind = engine.OrderUnload
	}
	status, err := l.planner.orders.Send(ctx, url, a.Incarnation, engine.Order{
		OrderID: a.Order.ID,
		Fence:   a.Order.Fence,
		Kind:    kind,
		Item:    engine.Item(a.Order.Item),
		Memory:  a.Order.Memory,
	})
	if err != nil {
		l.log.Debug().Err(err).Str("engine", a.Engine).Str("order", a.Order.ID).Msg("order unanswered")
		return func() { l.book.Unanswered(a, l.planner.options.Clock().Wall) }
	}
	l.noteAnswer(a, kind, status)
	return func() { l.book.Answered(a, answerOf(status.State), l.planner.options.Clock().Wall) }
}

func (l *leadership) noteAnswer(a order.Send, kind engine.OrderKind, status engine.OrderStatus) {
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
