package configsync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/kv"
)

// initialBackoff is the pause after the first failed call.
const initialBackoff = 50 * time.Millisecond

// mergeTimeoutCalls is the time limit of a merge or restore, as a multiple of the
// time limit of one call.
const mergeTimeoutCalls = 5

// poll reads the revision periodically. A watch that has stopped delivering cannot
// be told from one without changes, so the poll detects it. Its responses also
// renew the freshness.
func (s *Syncer) poll(ctx context.Context) error {
	failures := 0
	awaited := int64(0)
	for {
		var ok bool
		awaited, ok = s.pollOnce(ctx, awaited)
		pause := s.pollInterval()
		if !ok {
			pause = s.backoff(failures)
			failures++
		} else {
			failures = 0
		}
		if !sleep(ctx, kv.Jitter(pause)) {
			return nil
		}
	}
}

// pollInterval grows with the fleet, because the read rate that the service
// permits is fixed. The mean pause is three quarters of the interval because of
// the jitter.
func (s *Syncer) pollInterval() time.Duration {
	fleetInterval := time.Duration(s.options.FleetSize()) * time.Second / time.Duration(s.options.FleetPollsPerSecond)
	interval := max(s.options.PollInterval, fleetInterval*4/3)
	if !s.options.Watches() {
		interval *= NoWatchPollFactor
	}
	return interval
}

// pollOnce returns the revision that the watch has yet to deliver, or zero, and
// whether the poll succeeded. A watch that has not delivered the revision by the
// next poll is considered silent.
func (s *Syncer) pollOnce(ctx context.Context, awaited int64) (int64, bool) {
	var before int64
	if err := s.runOnOwner(ctx, func() { before = s.revision }); err != nil {
		return awaited, false
	}
	sent := s.options.Clock()
	call, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	revision, err := s.options.Store.Revision(call, s.key)
	if err != nil {
		s.count("config.poll_failures")
		return awaited, false
	}
	if s.faults.freshFromAnswer {
		sent = s.options.Clock()
	}
	var applied int64
	err = s.runOnOwner(ctx, func() {
		applied = s.revision
		// A response that shows this VM to be behind must not renew the
		// freshness. Otherwise a VM that can poll but cannot read the value
		// would serve withdrawn keys forever.
		if before <= revision && revision <= applied || s.faults.freshWhileBehind {
			fresh := configstate.NewFreshness(sent, s.options.FreshFor)
			s.freshness.Store(&fresh)
		}
	})
	switch {
	case err != nil:
		return awaited, false
	case revision < before:
		return 0, s.recoverFromRollback(ctx) == nil
	case revision <= applied:
		return 0, true
	case applied == 0:
		// There is no configuration yet, so do not wait for the watch.
		return 0, s.read(ctx, "poll") == nil
	case applied < awaited:
		s.count("config.silent_watches")
		signal(s.reopenWatch)
		return 0, s.read(ctx, "poll") == nil
	}
	return revision, true
}

// recoverFromRollback resets the known revision after the revisions of the service
// went back, because it was restored from an older copy. Compared with the old
// revision, everything accepted from now on would look outdated. The configuration
// in force here is written to the service again: otherwise a VM that starts would
// revert to the copy.
func (s *Syncer) recoverFromRollback(ctx context.Context) error {
	s.count("config.service_set_back")
	s.options.Log.Error().Msg("revision of the key-value service went back; restoring the configuration in force there")
	err := s.runOnOwner(ctx, func() {
		s.revision = kv.RevisionAbsent
		s.stored = nil
	})
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(kv.WithPriority(ctx, kv.PriorityClaim), mergeTimeoutCalls*s.options.CallTimeout)
	defer cancel()
	if err := s.Writer().Restore(call); err != nil {
		return err
	}
	signal(s.reopenWatch)
	return s.read(ctx, "poll")
}

// read reads the stored envelope and applies it. It sets no time limit, because the
// duration depends on the size of the envelope; the store ends a call that stalls.
func (s *Syncer) read(ctx context.Context, source string) error {
	entry, err := s.options.Store.Get(ctx, s.key)
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return s.applyEntry(ctx, entry, source)
}

func (s *Syncer) applyEntry(ctx context.Context, entry kv.Entry, source string) error {
	if entry.Value == nil {
		s.options.Log.Error().Str("key", s.key).Msg("configuration deleted from the key-value service; keeping the configuration in force")
		return nil
	}
	e, err := configstate.Decode(entry.Value)
	if err != nil {
		s.count("config.refused")
		s.options.Log.Error().Err(err).Msg("cannot decode the envelope in the key-value service; keeping the configuration in force")
		return s.runOnOwner(ctx, func() { s.revision = max(s.revision, entry.Revision) })
	}
	return s.runOnOwner(ctx, func() { s.applyStored(e, entry.Revision, source) })
}

// watch keeps one watch open and applies the entries that it delivers.
func (s *Syncer) watch(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if !s.options.Watches() {
			if !sleep(ctx, kv.Jitter(s.options.PollInterval)) {
				return nil
			}
			continue
		}
		delivered, err := s.watchOnce(ctx)
		if err == nil || delivered {
			failures = 0
		}
		if !sleep(ctx, kv.Jitter(s.backoff(failures))) {
			return nil
		}
		failures++
	}
	return nil
}

// watchOnce runs one watch until it breaks, was found silent or is no longer
// wanted. It reports whether the watch delivered anything or ended on request.
func (s *Syncer) watchOnce(ctx context.Context) (delivered bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var after int64
	if err := s.runOnOwner(ctx, func() { after = s.revision }); err != nil {
		return false, err
	}
	entries, err := s.options.Store.Watch(ctx, s.key, after)
	if err != nil {
		return false, err
	}
	watchCheck := time.NewTicker(s.options.PollInterval)
	defer watchCheck.Stop()
	for {
		select {
		case <-watchCheck.C:
			if !s.options.Watches() {
				return true, nil
			}
		case entry, open := <-entries:
			if !open {
				return delivered, kv.ErrUnavailable
			}
			delivered = true
			if err := s.applyEntry(ctx, entry, "watch"); err != nil {
				return delivered, err
			}
		case <-s.reopenWatch:
			return true, nil
		}
	}
}

// backoff returns the pause after a number of consecutive failures.
func (s *Syncer) backoff(failures int) time.Duration {
	pause := initialBackoff
	for range failures {
		pause = min(2*pause, s.options.MaxBackoff)
	}
	return min(pause, s.options.MaxBackoff)
}

// mergeLoop writes pending withdrawals to the service as soon as it is available.
func (s *Syncer) mergeLoop(ctx context.Context) error {
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.mergeRequested:
		}
		// Every VM that has the withdrawal tries to write it. The pause gives the
		// VM that received the operator's command time to write it, and the other
		// VMs time to see the result.
		if !sleep(ctx, kv.Jitter(s.options.PollInterval+s.backoff(failures))) {
			return nil
		}
		failures++
		if s.mergeOnce(ctx) {
			failures = 0
			continue
		}
		signal(s.mergeRequested)
	}
}

// mergeOnce writes the pending withdrawals to the service. It reports whether the
// service has every withdrawal of this VM.
func (s *Syncer) mergeOnce(ctx context.Context) bool {
	var digests []string
	err := s.runOnOwner(ctx, func() {
		if e := s.state.Envelope(); e != nil {
			digests = s.state.Pending(s.stored)
		}
	})
	if err != nil {
		return false
	}
	if len(digests) == 0 {
		return true
	}
	call, cancel := context.WithTimeout(kv.WithPriority(ctx, kv.PriorityClaim), mergeTimeoutCalls*s.options.CallTimeout)
	defer cancel()
	if _, err := s.Writer().Withdraw(call, Change{ID: "merge-" + newID(), Author: "chestnut-entry"}, digests); err != nil {
		s.count("config.merge_failures")
		return false
	}
	s.count("config.merges")
	// If another VM was first, nothing was written here and the pending count is
	// still the old one. Reading the stored envelope updates it.
	return s.read(ctx, "merge") == nil
}

// sleep waits for d or the end of ctx, and reports whether ctx is still active.
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
