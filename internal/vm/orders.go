package vm

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/residency"
	"github.com/chestnutarch/chestnutarch/platform"
)

// order gives one order to an engine. The engine's order lock must be held.
//
// An order whose answer is lost may be carried out seconds later. It is sent again
// with the same number of accepted orders: whichever of the two arrives first makes
// the other one void.
func (l *planner) order(ctx context.Context, b *book, op platform.Operation, model, adapter string) error {
	var last error
	for range orderTries {
		result, token, accepted, err := l.send(ctx, b, op, model, adapter)
		if errors.Is(err, ErrNotLeader) {
			return err
		}
		l.p.counter("orders." + string(op) + "." + result.String())
		l.p.log.Info().Str("event", "order").Str("instance", b.instance.ID).Str("operation", string(op)).Str("model", model).
			Str("adapter", adapter).Int64("token", token).Int64("accepted", accepted).Stringer("result", result).AnErr("cause", err).Send()
		switch result {
		case platform.OrderAccepted, platform.OrderHolds:
			l.settled(b, op, model, adapter, result)
			if op == platform.Unload && adapter != "" && result == platform.OrderAccepted {
				// The adapter is in use and its unload waits. The engine does not count such
				// an unload twice, so the book could run ahead of it, and an order that
				// names a number too high may be carried out late.
				l.closeBook(b)
				return errors.Wrap(errBusy, b.instance.ID)
			}
			return nil
		case platform.OrderConflict:
			return l.conflict(ctx, b, accepted, op, model, adapter)
		case platform.OrderUnknown:
		default:
			l.closeBook(b)
			return errors.Wrapf(ErrOrder, "%s: %s", b.instance.ID, result)
		}
		last = errors.Wrapf(ErrOrder, "%s: %s", b.instance.ID, result)
	}
	l.closeBook(b)
	return last
}

// send sends an order once, if this VM may give orders and the book is of its present term.
func (l *planner) send(
	ctx context.Context, b *book, op platform.Operation, model, adapter string,
) (result platform.OrderResult, token, accepted int64, err error) {
	token, ok := l.p.candidate.Authority()
	if !ok || l.book(b.instance.ID) != b {
		// A book of an earlier term, or one that was closed, is no ground for orders.
		return platform.OrderUnknown, 0, 0, errors.WithStack(ErrNotLeader)
	}
	l.mu.Lock()
	accepted = b.accepted
	l.mu.Unlock()
	result, err = l.p.replicas.Order(ctx, b.instance, platform.Order{
		Operation: op, Model: model, Adapter: adapter, Holder: l.p.settings.VM, Token: token, Accepted: accepted,
	})
	return result, token, accepted, err
}

// conflict tells the reasons for a conflict apart. Another order is under way: errBusy.
// An order was accepted that the book does not know: if that was this one, whose answer
// was lost, its effect is there; else the book is closed, since the decision rests on
// what the engine held before.
func (l *planner) conflict(ctx context.Context, b *book, accepted int64, op platform.Operation, model, adapter string) error {
	report, err := l.p.replicas.Report(ctx, b.instance)
	if err != nil {
		l.closeBook(b)
		return err
	}
	l.mu.Lock()
	known := report.Born == b.born
	if known && report.OrdersAccepted <= accepted {
		l.mu.Unlock()
		return errors.Wrap(errBusy, b.instance.ID)
	}
	ours := known && !report.Busy && report.OrdersAccepted == accepted+1
	if ours {
		b.read(report)
	}
	l.mu.Unlock()
	if ours && l.holds(b, op, model, adapter) {
		return nil
	}
	l.closeBook(b)
	return errors.Wrapf(ErrOrder, "%s: it has taken other orders", b.instance.ID)
}

// closeBook forgets an engine whose state is not certain. It is read anew.
func (l *planner) closeBook(b *book) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.books[b.instance.ID] == b {
		delete(l.books, b.instance.ID)
		l.notBefore[b.instance.ID] = time.Now().Add(openPause)
	}
}

// errBusy means that an engine is carrying out another order.
var errBusy = errors.New("vm: the engine carries out another order")

// settled notes the effect of an order.
func (l *planner) settled(b *book, op platform.Operation, model, adapter string, result platform.OrderResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if result == platform.OrderAccepted || (op == platform.Unload && adapter != "") {
		b.accepted++
	}
	item := residency.Item(model, adapter)
	switch {
	case adapter == "" && op == platform.Load:
		// It would not have taken the order if the unload before it still waited.
		b.leaving = ""
	case adapter != "" && op == platform.Load:
		b.adapters[item] = true
	case adapter != "":
		delete(b.adapters, item)
	case op == platform.Unload:
		delete(b.models, model)
	}
}

// reread asks an engine for its state. It returns false if that is not certain: there is
// no answer, or the engine has taken an order that the book does not know, such as one of
// an earlier leader that was carried out late. What such an order loads does not show
// until it is there, so the book is closed and opened anew when the engine rests.
func (l *planner) reread(ctx context.Context, b *book) bool {
	report, err := l.p.replicas.Report(ctx, b.instance)
	if err != nil {
		return false
	}
	l.mu.Lock()
	known := report.Born == b.born && report.OrdersAccepted <= b.accepted
	if known {
		b.read(report)
	}
	l.mu.Unlock()
	if !known {
		l.closeBook(b)
	}
	return known
}

func (l *planner) holds(b *book, op platform.Operation, model, adapter string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := b.models[model]
	if adapter != "" {
		present = b.adapters[residency.Item(model, adapter)]
	}
	return present == (op == platform.Load)
}
