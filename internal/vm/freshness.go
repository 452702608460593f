package vm

import (
	"context"
	"sync"
	"time"
)

// freshness tells up to which time a view of the store holds all changes, and has the view brought up to date for those
// that wait for a later one.
type freshness struct {
	mu sync.Mutex
	// confirmedAt is the time up to which all changes are known, wantedAt the latest one that somebody waits for.
	confirmedAt, wantedAt time.Time
	// confirmed is closed and replaced when confirmedAt grows.
	confirmed chan struct{}
	// demand holds a value if somebody has begun to wait.
	demand chan struct{}
}

func newFreshness() *freshness {
	return &freshness{confirmed: make(chan struct{}), demand: make(chan struct{}, 1)}
}

// confirm records that all changes up to a time are known.
func (f *freshness) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
		close(f.confirmed)
		f.confirmed = make(chan struct{})
	}
}

// wanted reports whether somebody waits for later changes.
func (f *freshness) wanted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wantedAt.After(f.confirmedAt)
}

// await returns true once all changes up to a time are known, false if ctx ends before.
func (f *freshness) await(ctx context.Context, at time.Time) bool {
	for {
		f.mu.Lock()
		known, confirmed := !f.confirmedAt.Before(at), f.confirmed
		f.wantedAt = later(f.wantedAt, at)
		f.mu.Unlock()
		if known {
			return true
		}
		select {
		case f.demand <- struct{}{}:
		default:
		}
		select {
		case <-confirmed:
		case <-ctx.Done():
			return false
		}
	}
}

// pause waits for a time, or until somebody waits for later changes.
func (f *freshness) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for !f.wanted() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-f.demand:
		}
	}
}
