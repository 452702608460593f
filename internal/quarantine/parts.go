package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxPartEnds is the number of distinct ends of upstreams that a part of prompts may explain before requests with it are
	// not sent any more. It is above MaxEnds, since sound requests share parts with those that end upstreams.
	MaxPartEnds = 4
	// maxSoundPartEnds is that number for a part with which answers have begun lately: it may have come to end upstreams only
	// now, but rather stands beside the part that does.
	maxSoundPartEnds = 2 * MaxPartEnds
	// soundTime is how long parts are remembered with which answers have begun, at least.
	soundTime = 30 * time.Second
	// endDistance is the least time between two ends that count as distinct: upstreams that crash at the same moment do so
	// for one reason, which need not be a part that requests to all of them share.
	endDistance = 150 * time.Millisecond
	// partMemory is how long a part is remembered that was quarantined. A further end after Duration quarantines it again.
	partMemory = 2 * Duration
	// judgeInterval is the least time between two searches for the parts that explain the ends.
	judgeInterval = 20 * time.Millisecond
	// firstTrial is the time after the last end at which one request with a quarantined part may be sent, to find out whether
	// it still ends upstreams. Each further trial waits trialFactor times as long.
	firstTrial  = 8 * time.Second
	trialFactor = 10
)

// Part is a part of prompts.
type Part struct {
	Key Key
	// Depth is the place of the part in the prompt, counted from 1.
	Depth int
}

// maxRecentKeys bounds a generation of recentKeys.
const maxRecentKeys = 8192

// recentKeys holds the requests or parts that were found to be sound lately, in two generations.
type recentKeys struct {
	// lifetime is how long a key is remembered, at least, unless there are many.
	lifetime          time.Duration
	present, previous map[Key]struct{}
	// since is when present began.
	since time.Time
}

func (k *recentKeys) add(key Key, now time.Time) {
	if k.present == nil || now.Sub(k.since) > k.lifetime || len(k.present) >= maxRecentKeys {
		k.previous, k.present, k.since = k.present, make(map[Key]struct{}), now
	}
	k.present[key] = struct{}{}
}

func (k *recentKeys) has(key Key) bool {
	if _, ok := k.present[key]; ok {
		return true
	}
	_, ok := k.previous[key]
	return ok
}

// RecordBegun records that an upstream has begun to answer a request whose prompt has some parts: none of them ends
// upstreams. It returns those of which the other VMs have to be told, since ends do not count any more.
func (t *Table) RecordBegun(parts []Part, now time.Time) (cleared []Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		t.sound.add(p.Key, now)
		if t.recordAnswer(p.Key, now) > 0 {
			cleared = append(cleared, p.Key)
		}
	}
	return cleared
}

// trial says how often a quarantined part has been tried.
type trial struct {
	count  int
	lastAt time.Time
}

// counting returns the ends of a part that count, in order, but those of some incarnations.
func (t *Table) counting(r *Record, except map[string]bool) []time.Time {
	var out []time.Time
	for incarnation, at := range r.Ends {
		if !except[incarnation] && t.counts(r, incarnation, at) {
			out = append(out, at)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// distinctEnds returns how many of some ends, in order, are distinct.
func distinctEnds(ends []time.Time) int {
	n, last := 0, time.Time{}
	for _, at := range ends {
		if n == 0 || at.Sub(last) >= endDistance {
			n, last = n+1, at
		}
	}
	return n
}

// QuarantinedPart returns the first of some parts with which requests must not be sent any more, and for how long.
func (t *Table) QuarantinedPart(parts []Part, now time.Time) (part Part, left time.Duration, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	return t.quarantinedPart(parts, now)
}

// JudgedPart is QuarantinedPart as of the last judgement: it changes nothing.
func (t *Table) JudgedPart(parts []Part, now time.Time) (part Part, left time.Duration, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantinedPart(parts, now)
}

func (t *Table) quarantinedPart(parts []Part, now time.Time) (part Part, left time.Duration, quarantined bool) {
	for _, p := range parts {
		r := t.quarantined[p.Key]
		if r == nil {
			continue
		}
		if left = r.timeLeft(now); left > 0 {
			return p, left, true
		}
	}
	return Part{}, 0, false
}

// Try reports whether a request with a quarantined part may be sent to find out whether it still ends upstreams, and records
// that it is.
func (t *Table) Try(part Part, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[part.Key]
	if r == nil {
		return false
	}
	tried := t.trials[part.Key]
	wait := firstTrial
	for range tried.count {
		wait *= trialFactor
	}
	since := r.lastEnd()
	if tried.lastAt.After(since) {
		since = tried.lastAt
	}
	if now.Sub(since) < wait {
		return false
	}
	t.trials[part.Key] = trial{tried.count + 1, now}
	return true
}

// judge finds the parts that explain the ends of upstreams. Requests that share parts with those that end upstreams, or run
// beside them, have the same ends; the part that explains most ends is quarantined, and its ends speak against no other.
func (t *Table) judge(now time.Time) {
	if !t.changed || now.Sub(t.judgedAt) < judgeInterval {
		return
	}
	t.judgedAt, t.changed = now, false
	t.quarantined = make(map[Key]*Record)
	suspects, sound := t.partCandidates()
	explained := make(map[string]bool)
	t.quarantineBest(suspects, MaxPartEnds, explained)
	t.quarantineBest(sound, maxSoundPartEnds, explained)
}

// quarantineBest quarantines those of some parts that explain at least a number of distinct ends which are not explained yet.
func (t *Table) quarantineBest(candidates []*Record, least int, explained map[string]bool) {
	for best := t.bestPart(candidates, least, explained); best != nil; best = t.bestPart(candidates, least, explained) {
		t.quarantined[best.Key] = best
		for incarnation, at := range best.Ends {
			if t.counts(best, incarnation, at) {
				explained[incarnation] = true
			}
		}
	}
}

// partCandidates returns the parts that may explain enough ends, in a fixed order; sound are those with which answers have
// begun lately.
func (t *Table) partCandidates() (suspects, sound []*Record) {
	for _, r := range t.records {
		switch {
		case r.Depth == 0 || len(r.Ends) < MaxPartEnds || t.count(r) < MaxPartEnds:
		case t.sound.has(r.Key):
			sound = append(sound, r)
		default:
			suspects = append(suspects, r)
		}
	}
	byKey := func(a, b *Record) int { return cmp.Compare(a.Key, b.Key) }
	slices.SortFunc(suspects, byKey)
	slices.SortFunc(sound, byKey)
	return suspects, sound
}

// bestPart returns the part that explains most of the ends that are not explained yet, nil if none explains enough. Of
// several the one that stands last in prompts is taken, which the fewest other requests share.
func (t *Table) bestPart(candidates []*Record, least int, explained map[string]bool) *Record {
	var best *Record
	most := 0
	for _, r := range candidates {
		ends := t.counting(r, explained)
		if distinctEnds(ends) < least {
			continue
		}
		if len(ends) > most || (len(ends) == most && r.Depth > best.Depth) {
			best, most = r, len(ends)
		}
	}
	return best
}
