package vm

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/residency"
	"github.com/chestnutarch/chestnutarch/platform"
)

const (
	// confirmAfter is how long after the expected end of a load the engine is asked:
	// its reports are some hundred milliseconds old.
	confirmAfter = 250 * time.Millisecond
	// moveTimeout is how long a move may take beyond three times its expected time
	// before the engine is read anew.
	moveTimeout = 2 * time.Second
	// maxUnread is how many questions may go without an answer before an engine is
	// taken to be gone.
	maxUnread = 3
	// unloadCheck is when the load is tried first after an unload was accepted: a model
	// that no request uses is gone within a few steps of the engine.
	unloadCheck = 100 * time.Millisecond
	// restFirst and restMost bound the pauses between two looks at an engine whose unload
	// waits. A look costs about as much as an order, and a stream goes on for seconds.
	restFirst = 150 * time.Millisecond
	restMost  = 600 * time.Millisecond
	// unloadPatience is how long a model counts as coming to an engine that still waits
	// for requests of another one. Streams last up to fifteen seconds, and callers who
	// ask for a model that is nowhere else are refused all the while.
	unloadPatience = time.Second
	// unloadLimit is the longest wait for an unload: a little more than the longest
	// timeout of a route.
	unloadLimit = 20 * time.Second
)

// move unloads one model if need be, loads the other and waits until the engine has
// it.
func (l *planner) move(ctx context.Context, b *book, move residency.ModelMove, spec *catalog.EngineSpec) error {
	b.orders.Lock()
	defer b.orders.Unlock()
	if move.Evict != "" {
		if err := l.evict(ctx, b, move.Evict); err != nil {
			return err
		}
	}
	expected := l.loadTime(b, move, spec)
	wanted, err := l.loadWhenFree(ctx, b, move)
	if err != nil || !wanted {
		return err
	}
	return l.awaitLoad(ctx, b, move.Load, expected)
}

// evict orders a model to be unloaded. The unload may take a while.
func (l *planner) evict(ctx context.Context, b *book, model string) error {
	l.drop(b, model)
	l.publish()
	if err := l.order(ctx, b, platform.Unload, model, ""); err != nil {
		l.closeBook(b)
		return err
	}
	l.publish()
	sleep(ctx, unloadCheck)
	return nil
}

// loadWhenFree orders the load once the engine takes orders again. It returns false if
// that took so long that the plan behind it is out of date: the engine is free then, and
// the next plan says what for.
func (l *planner) loadWhenFree(ctx context.Context, b *book, move residency.ModelMove) (wanted bool, err error) {
	began := time.Now()
	for {
		err = l.order(ctx, b, platform.Load, move.Load, "")
		if err == nil {
			return true, nil
		}
		if !errors.Is(err, errBusy) || time.Since(began) > unloadLimit || ctx.Err() != nil {
			l.closeBook(b)
			return false, err
		}
		if err = l.awaitRest(ctx, b, move, began); err != nil {
			l.closeBook(b)
			return false, err
		}
		if l.waitedTooLong(b) {
			l.left(b)
			return false, nil
		}
	}
}

// awaitRest waits until the engine has carried out what it was ordered. After
// unloadPatience the model no longer counts as coming here, so that it is brought to
// another engine.
func (l *planner) awaitRest(ctx context.Context, b *book, move residency.ModelMove, began time.Time) error {
	unread := 0
	for pause := restFirst; ; pause = min(2*pause, restMost) {
		sleep(ctx, pause)
		rested, err := l.rested(ctx, b)
		switch {
		case rested:
			return nil
		case ctx.Err() != nil || time.Since(began) > unloadLimit || l.book(b.instance.ID) != b:
			return errors.Wrapf(ErrOrder, "%s: it still carries out an earlier order", b.instance.ID)
		case err != nil:
			if unread++; unread >= maxUnread {
				return err
			}
		default:
			unread = 0
		}
		if time.Since(began) > unloadPatience {
			l.noLongerComing(b, move)
		}
	}
}

// rested reports whether an engine has carried out every order that the book knows of.
func (l *planner) rested(ctx context.Context, b *book) (bool, error) {
	report, err := l.p.replicas.Report(ctx, b.instance)
	if err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if report.Born != b.born || report.OrdersAccepted > b.accepted {
		return false, errors.Wrapf(ErrOrder, "%s: it has taken other orders", b.instance.ID)
	}
	return report.OrdersAccepted == b.accepted && !report.Busy, nil
}

// noLongerComing takes back that a model is on its way to an engine, with its share of what
// the weight store allows: the plan would else have nothing left to bring it elsewhere.
func (l *planner) noLongerComing(b *book, move residency.ModelMove) {
	l.mu.Lock()
	waits := b.coming != ""
	b.coming, b.waiting = "", move.Load
	if b.fromStore {
		b.fromStore = false
		l.loads.tokens = min(loadBurst, l.loads.tokens+1)
	}
	l.mu.Unlock()
	if waits {
		l.p.log.Warn().Str("event", "model_move_waits").Str("instance", b.instance.ID).Str("load", move.Load).
			Str("evict", move.Evict).Dur("after_ms", unloadPatience).Send()
	}
}

// awaitLoad waits until the engine says that it holds a model that it was ordered to load.
func (l *planner) awaitLoad(ctx context.Context, b *book, model string, expected time.Duration) error {
	limit := time.Now().Add(3*expected + moveTimeout)
	sleep(ctx, expected+confirmAfter)
	unread := 0
	for {
		if !l.reread(ctx, b) {
			unread++
		} else if l.holds(b, platform.Load, model, "") {
			return nil
		}
		if time.Now().After(limit) || ctx.Err() != nil || unread >= maxUnread {
			l.closeBook(b)
			return errors.Wrapf(ErrOrder, "%s is not there after %v", model, 3*expected+moveTimeout)
		}
		sleep(ctx, confirmAfter)
	}
}

// drop notes that a model is on its way out, with its adapters, so that no more
// requests go there for it.
func (l *planner) drop(b *book, model string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.leaving = model
	delete(b.models, model)
	for item := range b.adapters {
		if strings.HasPrefix(item, model+"/") {
			delete(b.adapters, item)
		}
	}
}

// waitedTooLong reports whether the model of the move no longer counts as coming.
func (l *planner) waitedTooLong(b *book) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return b.waiting != ""
}

// left notes that the model on its way out is gone.
func (l *planner) left(b *book) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.leaving = ""
}

func (l *planner) loadTime(b *book, move residency.ModelMove, spec *catalog.EngineSpec) time.Duration {
	m := spec.Models[move.Load]
	if move.FromStore {
		return m.LoadTime
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.inMemory[move.Load] {
		return m.WarmTime
	}
	return m.DiskTime
}
