package membership

import "maps"

// fullReportInterval is the number of rounds between reports that carry all counters,
// for partners that are new or missed a heartbeat.
const fullReportInterval = 16

// counterSelector selects the counters of served tokens that a report carries. In a
// large fleet a VM serves only a few of many teams in a round; without the selection,
// unchanged counters would make up most of its heartbeats.
type counterSelector struct {
	rounds uint64
	// reported holds all counters at the start of the current round.
	atRoundStart map[string]int64
	// changed and changedBefore hold the teams whose counters changed in the last
	// round and in the one before it. Both are needed because a partner receives one
	// heartbeat of this VM per round, at any time within the round.
	changed, changedBefore map[string]struct{}
}

// startRound starts a round with the present counters.
func (c *counterSelector) startRound(served map[string]int64) {
	c.rounds++
	c.changedBefore = c.changed
	c.changed = make(map[string]struct{})
	for team, tokens := range served {
		if last, known := c.atRoundStart[team]; !known || last != tokens {
			c.changed[team] = struct{}{}
		}
	}
	c.atRoundStart = served
}

// forReport returns the counters to include in a report now, or nil if there are none.
func (c *counterSelector) forReport(served map[string]int64) map[string]int64 {
	if c.rounds%fullReportInterval == 0 {
		return served
	}
	var selected map[string]int64
	for team, tokens := range served {
		_, changed := c.changed[team]
		_, changedBefore := c.changedBefore[team]
		if !changed && !changedBefore && c.atRoundStart[team] == tokens {
			continue
		}
		if selected == nil {
			selected = make(map[string]int64)
		}
		selected[team] = tokens
	}
	return selected
}

// mergeCounters returns the old counters updated with those of a report of the same
// process. The old map may be shared with views and is not modified.
func mergeCounters(old, update map[string]int64) map[string]int64 {
	if len(update) == 0 {
		return old
	}
	all := make(map[string]int64, max(len(old), len(update)))
	maps.Copy(all, old)
	maps.Copy(all, update)
	return all
}
