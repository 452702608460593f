package quarantine

import "time"

// This file decides about requests whose upstreams have ended at the same moment. A crash of a whole service takes each request
// along that runs on all of its upstreams, as a harmful request does that several callers send at once. Where the request was
// answered in the time before, or the upstreams ended under other requests, too, only what follows tells the two apart: one request
// at a time is sent on trial. An answer clears the request; one more end, later than the others, quarantines it.

const (
	// jointTime is the time within which ends may have a common cause: VMs notice an end up to two seconds late.
	jointTime = 2 * time.Second
	// unprovenWait is the time after the last end at which a request is tried that this VM does not know to have been answered
	// before. Others are tried after jointTime.
	unprovenWait = Duration / 2
	// servedTime is how long a request is remembered that was answered, at least: upstreams may stand still for minutes before they
	// end.
	servedTime = Duration
	// trialInterval is the time from one VM's turn for a trial to the next one's, maxRound bounds that of a round of all VMs:
	// in a large fleet few VMs may get the request. Each VM's pause between trials doubles from a round on.
	trialInterval = 250 * time.Millisecond
	maxRound      = 15 * time.Second
	// maxTrialDoublings bounds that growth.
	maxTrialDoublings = 8
)

// mayHaveCommonCause reports whether the ends of a request may have one cause, which is not the request.
func (t *Table) mayHaveCommonCause(r *Record) bool {
	if !r.sound && !t.sharesEnds(r) {
		return false
	}
	ends := t.counting(r, nil)
	return ends[len(ends)-1].Sub(ends[0]) <= jointTime
}

// sharesEnds reports whether each upstream that ended under a request ended under others, too.
func (t *Table) sharesEnds(r *Record) bool {
	for incarnation, at := range r.Ends {
		if t.counts(r, incarnation, at) && t.endedUnder[incarnation] < 2 {
			return false
		}
	}
	return true
}

// Suspected reports whether a request may only be sent on trial, and for how long this VM may send none. vms is the number of
// VMs, which take turns.
func (t *Table) Suspected(q Key, vms int, now time.Time) (left time.Duration, suspected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspected(q, vms, now)
}

func (t *Table) suspected(q Key, vms int, now time.Time) (left time.Duration, suspected bool) {
	r := t.records[q]
	if r == nil || t.count(r) < MaxEnds || !t.mayHaveCommonCause(r) || r.timeLeft(now) <= 0 {
		return 0, false
	}
	return max(0, t.nextTrial(r, vms).Sub(now)), true
}

// nextTrial returns when this VM may send a suspected request on trial.
func (t *Table) nextTrial(r *Record, vms int) time.Time {
	round := min(trialInterval*time.Duration(max(vms, 1)), maxRound)
	if tried := t.trials[r.Key]; tried.count > 0 {
		return tried.lastAt.Add(round << min(tried.count, maxTrialDoublings))
	}
	wait := unprovenWait
	if r.sound {
		wait = jointTime
	}
	return r.lastEnd().Add(wait + t.turn(r.Key, round))
}

// turn returns the time within a round at which it is this VM's turn.
func (t *Table) turn(q Key, round time.Duration) time.Duration {
	const mixer = 0x9e3779b97f4a7c15
	mixed := (uint64(q) ^ t.vm) * mixer
	return time.Duration(mixed>>1) % round
}

// TrySuspected reports whether a suspected request may be sent on trial now, and records that it is.
func (t *Table) TrySuspected(q Key, vms int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if left, suspected := t.suspected(q, vms, now); !suspected || left > 0 {
		return false
	}
	t.trials[q] = trial{count: t.trials[q].count + 1, lastAt: now}
	return true
}

// clearSuspicion records that a request was answered after the ends under it.
func (t *Table) clearSuspicion(r *Record) {
	if r.Depth == 0 {
		r.sound = true
		delete(t.trials, r.Key)
	}
}
