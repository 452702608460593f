package vm

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/residency"
	"github.com/chestnutarch/chestnutarch/platform"
)

// sendOrder gives one order to an engine. The engine's orderMu must be held.
//
// An order whose reply is lost may be carried out seconds later. It is sent again with the same
// number of accepted orders: whichever of the two arrives first invalidates the other.
func (l *planner) sendOrder(ctx context.Context, state *engineState, op platform.Operation, model, adapter string) error {
	var lastErr error
	for range maxOrderAttempts {
		result, token, accepted, err := l.sendOrderOnce(ctx, state, op, model, adapter)
		if errors.Is(err, ErrNotLeader) {
			return err
		}
		l.p.incrementCounter("orders." + string(op) + "." + result.String())
		l.p.log.Info().Str("event", "order").Str("instance", state.instance.ID).Str("operation", string(op)).Str("model", model).
			Str("adapter", adapter).Int64("token", token).Int64("accepted", accepted).Stringer("result", result).AnErr("cause", err).Send()
		switch result {
		case platform.OrderAccepted, platform.OrderHolds:
			l.recordOrder(state, op, model, adapter, result)
			if op == platform.Unload && adapter != "" && result == platform.OrderAccepted {
				// The adapter is in use and its unload waits. The engine does not count such
				// an unload twice, so ordersAccepted could exceed the engine's count, and an
				// order that names too high a number may be carried out late.
				l.invalidate(state)
				return errors.Wrap(errBusy, state.instance.ID)
			}
			return nil
		case platform.OrderConflict:
			return l.resolveConflict(ctx, state, accepted, op, model, adapter)
		case platform.OrderUnknown:
		default:
			l.invalidate(state)
			return errors.Wrapf(ErrOrder, "engine %s: order result %s", state.instance.ID, result)
		}
		lastErr = errors.Wrapf(ErrOrder, "engine %s: order result %s", state.instance.ID, result)
	}
	l.invalidate(state)
	return lastErr
}

// sendOrderOnce sends an order once, if this VM may give orders and the state is valid.
func (l *planner) sendOrderOnce(
	ctx context.Context, state *engineState, op platform.Operation, model, adapter string,
) (result platform.OrderResult, token, accepted int64, err error) {
	token, ok := l.p.candidate.Authority()
	if !ok || l.state(state.instance.ID) != state {
		// Orders must not be based on a state of an earlier term or an invalidated one.
		return platform.OrderUnknown, 0, 0, errors.WithStack(ErrNotLeader)
	}
	l.mu.Lock()
	accepted = state.ordersAccepted
	l.mu.Unlock()
	result, err = l.p.replicas.Order(ctx, state.instance, platform.Order{
		Operation: op, Model: model, Adapter: adapter, Holder: l.p.settings.VM, Token: token, Accepted: accepted,
	})
	return result, token, accepted, err
}

// resolveConflict finds the reason for a conflict. If the engine is still carrying out an
// earlier order, it returns errBusy. If the engine has accepted an order that the state does not
// count, that order may be this one, with its reply lost, and resolveConflict returns nil if it
// took effect. Otherwise it invalidates the state, since the decision was based on what the
// engine held before, and returns ErrOrder.
func (l *planner) resolveConflict(ctx context.Context, state *engineState, accepted int64, op platform.Operation, model, adapter string) error {
	report, err := l.p.replicas.Report(ctx, state.instance)
	if err != nil {
		l.invalidate(state)
		return err
	}
	l.mu.Lock()
	known := report.Incarnation == state.born
	if known && report.OrdersAccepted <= accepted {
		l.mu.Unlock()
		return errors.Wrap(errBusy, state.instance.ID)
	}
	applied := known && !report.Busy && report.OrdersAccepted == accepted+1
	if applied {
		state.update(report)
	}
	l.mu.Unlock()
	if applied && l.orderInEffect(state, op, model, adapter) {
		return nil
	}
	l.invalidate(state)
	return errors.Wrapf(ErrOrder, "engine %s restarted or accepted orders that this leader does not know", state.instance.ID)
}

// invalidate drops the state of an engine, because it may differ from what the engine holds. The
// engine is read again after readRetryInterval.
func (l *planner) invalidate(state *engineState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states[state.instance.ID] == state {
		delete(l.states, state.instance.ID)
		l.readNotBefore[state.instance.ID] = time.Now().Add(readRetryInterval)
	}
}

// errBusy means that an engine is carrying out another order.
var errBusy = errors.New("vm: engine is busy with another order")

// recordOrder applies the effect of an order to the state.
func (l *planner) recordOrder(state *engineState, op platform.Operation, model, adapter string, result platform.OrderResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if result == platform.OrderAccepted || (op == platform.Unload && adapter != "") {
		state.ordersAccepted++
	}
	item := residency.Item(model, adapter)
	switch {
	case adapter == "" && op == platform.Load:
		// The engine would not have accepted the load while an earlier unload waited.
		state.unloading = ""
	case adapter != "" && op == platform.Load:
		state.adapters[item] = true
	case adapter != "":
		delete(state.adapters, item)
	case op == platform.Unload:
		delete(state.models, model)
	}
}

// refresh reads an engine and updates its state. It returns false if the state may differ from
// what the engine holds: the engine did not answer, or it has accepted an order that the state
// does not count, such as one of an earlier leader that was carried out late. A model that such
// an order loads is not reported until the load ends, so the state is invalidated and read again
// when the engine is idle.
func (l *planner) refresh(ctx context.Context, state *engineState) bool {
	report, err := l.p.replicas.Report(ctx, state.instance)
	if err != nil {
		return false
	}
	l.mu.Lock()
	known := report.Incarnation == state.born && report.OrdersAccepted <= state.ordersAccepted
	if known {
		state.update(report)
	}
	l.mu.Unlock()
	if !known {
		l.invalidate(state)
	}
	return known
}

// orderInEffect reports whether the state shows the effect of a load or unload.
func (l *planner) orderInEffect(state *engineState, op platform.Operation, model, adapter string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := state.models[model]
	if adapter != "" {
		present = state.adapters[residency.Item(model, adapter)]
	}
	return present == (op == platform.Load)
}
