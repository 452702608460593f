package vm

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/residency"
	"github.com/chestnutarch/chestnutarch/platform"
)

const (
	// confirmDelay is how long after the expected end of a load the engine is read: its
	// reports are some hundred milliseconds old.
	confirmDelay = 250 * time.Millisecond
	// loadGrace is how long a load may take beyond three times its expected time before the
	// engine's state is invalidated and read again.
	loadGrace = 2 * time.Second
	// maxFailedReads is how many reads in a move may fail before the engine counts as gone.
	maxFailedReads = 3
	// unloadCheckDelay is the time from an accepted unload to the first attempt to load: a
	// model without requests is unloaded within a few steps of the engine.
	unloadCheckDelay = 100 * time.Millisecond
	// minIdleCheckPause and maxIdleCheckPause bound the pauses between two reads of an engine
	// whose unload waits. A read costs about as much as an order, and a stream lasts for
	// seconds.
	minIdleCheckPause = 150 * time.Millisecond
	maxIdleCheckPause = 600 * time.Millisecond
	// delayedLoadAfter is how long a model counts as loading on an engine that still waits for
	// requests of the evicted model. Streams last up to fifteen seconds, and if no other
	// engine holds the new model, its callers are refused meanwhile.
	delayedLoadAfter = time.Second
	// maxUnloadWait is the longest wait for an unload: a little more than the longest timeout
	// of a route.
	maxUnloadWait = 20 * time.Second
)

// executeMove unloads the models that the move names, loads the other one if there is one, and waits until the engine
// holds it. The move is given up as a whole if a step fails, or if the model does not fit beside what the engine holds by
// now.
func (l *planner) executeMove(ctx context.Context, state *engineState, move residency.ModelMove, spec *catalog.EngineSpec) error {
	state.orderMu.Lock()
	defer state.orderMu.Unlock()
	if move.Load != "" && !l.fits(state, spec, move) {
		return errors.Wrapf(ErrNoPlace, "engine %s holds more than planned", state.instance.ID)
	}
	for n, model := range move.Evict {
		if n > 0 {
			if waits, err := l.awaitUnload(ctx, state, move); err != nil || waits {
				return err
			}
		}
		if err := l.evict(ctx, state, model); err != nil {
			return err
		}
	}
	if move.Load == "" {
		_, err := l.awaitUnload(ctx, state, move)
		return err
	}
	expected := l.loadTime(state, move, spec)
	wanted, err := l.loadWhenIdle(ctx, state, move)
	if err != nil || !wanted {
		return err
	}
	return l.awaitLoad(ctx, state, move.Load, expected)
}

// fits reports whether the model of a move fits beside what the engine holds, once the victims are gone. The engine's
// orderMu must be held.
func (l *planner) fits(state *engineState, spec *catalog.EngineSpec, move residency.ModelMove) bool {
	e := l.snapshot(state)
	return residency.FitsModel(&e, spec, move.Load, 0, move.Evict...)
}

// snapshot returns what an engine holds. It changes only while the engine's orderMu is held, or when the engine is read.
func (l *planner) snapshot(state *engineState) residency.Engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.snapshotLocked(state)
}

// snapshotLocked is snapshot with the lock held.
func (l *planner) snapshotLocked(state *engineState) residency.Engine {
	e := residency.Engine{ID: state.instance.ID, Models: maps.Clone(state.models), Adapters: make(map[string]time.Time, len(state.adapters))}
	for item := range state.adapters {
		e.Adapters[item] = l.lastUsed[item]
	}
	return e
}

// awaitUnload waits until the engine has unloaded a model. It reports whether that still waits for requests after
// delayedLoadAfter: the engine is then available to the next plan.
func (l *planner) awaitUnload(ctx context.Context, state *engineState, move residency.ModelMove) (waits bool, err error) {
	if err := l.awaitIdle(ctx, state, move, time.Now()); err != nil {
		l.invalidate(state)
		return false, err
	}
	l.clearUnloading(state)
	return l.loadDelayed(state), nil
}

// evict orders an engine to unload a model. The unload may still be in progress when evict
// returns.
func (l *planner) evict(ctx context.Context, state *engineState, model string) error {
	l.markUnloading(state, model)
	l.publishEngine(state)
	if err := l.sendOrder(ctx, state, platform.Unload, model, ""); err != nil {
		l.invalidate(state)
		return err
	}
	l.publishEngine(state)
	sleep(ctx, unloadCheckDelay)
	return nil
}

// loadWhenIdle orders the load once the engine accepts orders again. It returns false if that
// took so long that the plan is out of date: the engine is then available to the next plan.
func (l *planner) loadWhenIdle(ctx context.Context, state *engineState, move residency.ModelMove) (wanted bool, err error) {
	began := time.Now()
	for {
		err = l.sendOrder(ctx, state, platform.Load, move.Load, "")
		if err == nil {
			return true, nil
		}
		if !errors.Is(err, errBusy) || time.Since(began) > maxUnloadWait || ctx.Err() != nil {
			l.invalidate(state)
			return false, err
		}
		if err = l.awaitIdle(ctx, state, move, began); err != nil {
			l.invalidate(state)
			return false, err
		}
		if l.loadDelayed(state) {
			l.clearUnloading(state)
			return false, nil
		}
	}
}

// awaitIdle waits until the engine has carried out its orders. After delayedLoadAfter the model
// no longer counts as loading here, so that the next plan can load it on another engine.
func (l *planner) awaitIdle(ctx context.Context, state *engineState, move residency.ModelMove, began time.Time) error {
	failedReads := 0
	for pause := minIdleCheckPause; ; pause = min(2*pause, maxIdleCheckPause) {
		sleep(ctx, pause)
		idle, err := l.isIdle(ctx, state)
		switch {
		case idle:
			return nil
		case ctx.Err() != nil || time.Since(began) > maxUnloadWait || l.state(state.instance.ID) != state:
			return errors.Wrapf(ErrOrder, "engine %s: stopped waiting for an earlier order to end", state.instance.ID)
		case err != nil:
			if failedReads++; failedReads >= maxFailedReads {
				return err
			}
		default:
			failedReads = 0
		}
		if time.Since(began) > delayedLoadAfter {
			l.markLoadDelayed(state, move)
		}
	}
}

// isIdle reports whether an engine has carried out every order that its state counts.
func (l *planner) isIdle(ctx context.Context, state *engineState) (bool, error) {
	report, err := l.p.replicas.Report(ctx, state.instance)
	if err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if report.Incarnation != state.born || report.OrdersAccepted > state.ordersAccepted {
		return false, errors.Wrapf(ErrOrder, "engine %s restarted or accepted orders that this leader does not know", state.instance.ID)
	}
	return report.OrdersAccepted == state.ordersAccepted && !report.Busy, nil
}

// markLoadDelayed records that a model no longer counts as loading on an engine, and returns its
// token to the load bucket. Without the token the plan might not be able to load the model on
// another engine.
func (l *planner) markLoadDelayed(state *engineState, move residency.ModelMove) {
	l.mu.Lock()
	wasLoading := state.loading != ""
	state.loading, state.delayedLoad = "", move.Load
	if state.fromStore {
		state.fromStore = false
		l.loadBucket.tokens = min(storeLoadBurst, l.loadBucket.tokens+1)
	}
	l.mu.Unlock()
	if wasLoading {
		l.p.log.Warn().Str("event", "model_move_waits").Str("instance", state.instance.ID).Str("load", move.Load).
			Str("evict", strings.Join(move.Evict, ",")).Dur("after_ms", delayedLoadAfter).Send()
	}
}

// awaitLoad waits until the engine reports that it holds a model that it was ordered to load.
func (l *planner) awaitLoad(ctx context.Context, state *engineState, model string, expected time.Duration) error {
	limit := time.Now().Add(3*expected + loadGrace)
	sleep(ctx, expected+confirmDelay)
	failedReads := 0
	for {
		if !l.refresh(ctx, state) {
			failedReads++
		} else if l.orderInEffect(state, platform.Load, model, "") {
			return nil
		}
		if time.Now().After(limit) || ctx.Err() != nil || failedReads >= maxFailedReads {
			l.invalidate(state)
			return errors.Wrapf(ErrOrder, "load of model %s was not confirmed within %v", model, 3*expected+loadGrace)
		}
		sleep(ctx, confirmDelay)
	}
}

// markUnloading records that a model is being unloaded and removes it and its adapters from the
// state, so that no more requests for it are sent to the engine.
func (l *planner) markUnloading(state *engineState, model string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state.unloading = model
	delete(state.models, model)
	for item := range state.adapters {
		if strings.HasPrefix(item, model+"/") {
			delete(state.adapters, item)
		}
	}
}

// loadDelayed reports whether the model of the move no longer counts as loading.
func (l *planner) loadDelayed(state *engineState) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return state.delayedLoad != ""
}

// clearUnloading records that the unload has ended.
func (l *planner) clearUnloading(state *engineState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state.unloading = ""
}

func (l *planner) loadTime(state *engineState, move residency.ModelMove, spec *catalog.EngineSpec) time.Duration {
	m := spec.Models[move.Load]
	if move.FromStore {
		return m.LoadTime
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if state.inMemory[move.Load] {
		return m.MemoryLoadTime
	}
	return m.DiskLoadTime
}
