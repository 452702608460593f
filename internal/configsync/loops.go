package configsync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/kv"
)

// firstBackoff is the first pause after a failed call.
const firstBackoff = 50 * time.Millisecond

// mergeCalls is how many calls' time one merge may take.
const mergeCalls = 5

// poll reads the revision again and again. A watch that went silent looks like
// a quiet one; this is what finds it. The answers also prove that the service
// is heard.
func (k *Keeper) poll(ctx context.Context) error {
	failures := 0
	behind := int64(0)
	for {
		var ok bool
		behind, ok = k.pollOnce(ctx, behind)
		pause := k.pollInterval()
		if !ok {
			pause = k.backoff(failures)
			failures++
		} else {
			failures = 0
		}
		if !sleep(ctx, kv.Jitter(pause)) {
			return nil
		}
	}
}

// pollInterval grows with the fleet, since the service's reads do not. The mean
// pause is three quarters of the interval, because of the jitter.
func (k *Keeper) pollInterval() time.Duration {
	share := time.Duration(k.options.FleetSize()) * time.Second / time.Duration(k.options.FleetPolls)
	interval := max(k.options.PollInterval, share*4/3)
	if !k.options.Watches() {
		interval *= IdlePollFactor
	}
	return interval
}

// pollOnce returns the revision that the watch has yet to deliver, or zero. A
// watch that still lacks it one poll later is silent.
func (k *Keeper) pollOnce(ctx context.Context, behind int64) (int64, bool) {
	var before int64
	if err := k.do(ctx, func() { before = k.revision }); err != nil {
		return behind, false
	}
	sent := k.options.Clock()
	call, cancel := context.WithTimeout(ctx, k.options.CallTimeout)
	defer cancel()
	revision, err := k.options.Store.Revision(call, k.key)
	if err != nil {
		k.count("config.poll_failures")
		return behind, false
	}
	if k.faults.freshFromAnswer {
		sent = k.options.Clock()
	}
	var known int64
	err = k.do(ctx, func() {
		known = k.revision
		// An answer that shows this VM to be behind proves the opposite of
		// freshness. Counted as freshness, a VM that can poll but cannot read
		// the value would serve withdrawn keys for ever.
		if before <= revision && revision <= known || k.faults.freshWhileBehind {
			fresh := configstate.UpToDate(sent, k.options.FreshFor)
			k.freshness.Store(&fresh)
		}
	})
	switch {
	case err != nil:
		return behind, false
	case revision < before:
		return 0, k.setBack(ctx) == nil
	case revision <= known:
		return 0, true
	case known == 0:
		// With nothing known yet there is nothing to wait for.
		return 0, k.read(ctx, "poll") == nil
	case known < behind:
		k.count("config.silent_watches")
		signal(k.reopen)
		return 0, k.read(ctx, "poll") == nil
	}
	return revision, true
}

// setBack starts anew with a service whose revisions have gone back, because it
// was restored from an older copy. Compared with what was read before, all that
// is accepted from now on would look old. What is in force here is offered to
// the service again: without that, a VM that starts would revert to the copy.
func (k *Keeper) setBack(ctx context.Context) error {
	k.count("config.service_set_back")
	k.options.Log.Error().Msg("the key-value service was set back to an older state")
	err := k.do(ctx, func() {
		k.revision = kv.RevisionAbsent
		k.stored = nil
	})
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(kv.WithPriority(ctx, kv.PriorityClaim), mergeCalls*k.options.CallTimeout)
	defer cancel()
	if err := k.Writer().Restore(call); err != nil {
		return err
	}
	signal(k.reopen)
	return k.read(ctx, "poll")
}

// read takes the stored envelope. It takes as long as its size asks for; the store ends a call
// that goes silent.
func (k *Keeper) read(ctx context.Context, source string) error {
	entry, err := k.options.Store.Get(ctx, k.key)
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return k.takeEntry(ctx, entry, source)
}

func (k *Keeper) takeEntry(ctx context.Context, entry kv.Entry, source string) error {
	if entry.Value == nil {
		k.options.Log.Error().Str("key", k.key).Msg("configuration deleted from the service; what is in force goes on")
		return nil
	}
	e, err := configstate.Decode(entry.Value)
	if err != nil {
		k.count("config.refused")
		k.options.Log.Error().Err(err).Msg("the service holds no usable envelope")
		return k.do(ctx, func() { k.revision = max(k.revision, entry.Revision) })
	}
	return k.do(ctx, func() { k.takeStored(e, entry.Revision, source) })
}

// watch keeps one watch open and takes what it delivers.
func (k *Keeper) watch(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if !k.options.Watches() {
			if !sleep(ctx, kv.Jitter(k.options.PollInterval)) {
				return nil
			}
			continue
		}
		delivered, err := k.watchOnce(ctx)
		if err == nil || delivered {
			failures = 0
		}
		if !sleep(ctx, kv.Jitter(k.backoff(failures))) {
			return nil
		}
		failures++
	}
	return nil
}

// watchOnce returns when the watch breaks or was found silent. It reports
// whether anything was delivered.
func (k *Keeper) watchOnce(ctx context.Context) (delivered bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var after int64
	if err := k.do(ctx, func() { after = k.revision }); err != nil {
		return false, err
	}
	entries, err := k.options.Store.Watch(ctx, k.key, after)
	if err != nil {
		return false, err
	}
	still := time.NewTicker(k.options.PollInterval)
	defer still.Stop()
	for {
		select {
		case <-still.C:
			if !k.options.Watches() {
				return true, nil
			}
		case entry, open := <-entries:
			if !open {
				return delivered, kv.ErrUnavailable
			}
			delivered = true
			if err := k.takeEntry(ctx, entry, "watch"); err != nil {
				return delivered, err
			}
		case <-k.reopen:
			return true, nil
		}
	}
}

// backoff returns the pause after a number of failures in a row.
func (k *Keeper) backoff(failures int) time.Duration {
	pause := firstBackoff
	for range failures {
		pause = min(2*pause, k.options.MaxBackoff)
	}
	return min(pause, k.options.MaxBackoff)
}

// mergeLoop makes pending withdrawals durable as soon as the service lets it.
func (k *Keeper) mergeLoop(ctx context.Context) error {
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.merge:
		}
		// Every VM that holds the withdrawal tries. The pause gives the VM that
		// the operator asked the time to write it, and the others the time to
		// see that it is done.
		if !sleep(ctx, kv.Jitter(k.options.PollInterval+k.backoff(failures))) {
			return nil
		}
		failures++
		if k.mergeOnce(ctx) {
			failures = 0
			continue
		}
		signal(k.merge)
	}
}

// mergeOnce reports whether the service holds every withdrawal that this VM
// knows of.
func (k *Keeper) mergeOnce(ctx context.Context) bool {
	var digests []string
	err := k.do(ctx, func() {
		if e := k.state.Envelope(); e != nil {
			digests = k.state.Pending(k.stored)
		}
	})
	if err != nil {
		return false
	}
	if len(digests) == 0 {
		return true
	}
	call, cancel := context.WithTimeout(kv.WithPriority(ctx, kv.PriorityClaim), mergeCalls*k.options.CallTimeout)
	defer cancel()
	if _, err := k.Writer().Withdraw(call, Change{ID: "merge-" + newID(), Author: "chestnut-entry"}, digests); err != nil {
		k.count("config.merge_failures")
		return false
	}
	k.count("config.merges")
	// Another VM may have been first. Nothing was written through this one
	// then, and the pending count falls only with what the service holds.
	return k.read(ctx, "merge") == nil
}

// sleep waits and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
