package membership

import "maps"

// fullEvery is the number of rounds after which a report carries all counters
// again, for partners that are new or missed a heartbeat.
const fullEvery = 16

// counters decides which counters of served tokens a report carries. A VM of a
// large fleet serves a few of many teams in a round; without this, the counters
// that stand still would be most of its heartbeats.
type counters struct {
	rounds uint64
	told   map[string]int64
	// changed and before hold the teams whose counters changed in the last round
	// and in the one before: a partner hears from this VM once a round, at any
	// time of it.
	changed, before map[string]struct{}
}

// tick begins a round.
func (c *counters) tick(served map[string]int64) {
	c.rounds++
	c.before = c.changed
	c.changed = make(map[string]struct{})
	for team, tokens := range served {
		if last, known := c.told[team]; !known || last != tokens {
			c.changed[team] = struct{}{}
		}
	}
	c.told = served
}

// selected returns the counters to tell now, nil for none.
func (c *counters) selected(served map[string]int64) map[string]int64 {
	if c.rounds%fullEvery == 0 {
		return served
	}
	var some map[string]int64
	for team, tokens := range served {
		_, now := c.changed[team]
		_, before := c.before[team]
		if !now && !before && c.told[team] == tokens {
			continue
		}
		if some == nil {
			some = make(map[string]int64)
		}
		some[team] = tokens
	}
	return some
}

// merged returns the counters after a report of the same process. The old map
// may be shared by views and is not changed.
func merged(old, news map[string]int64) map[string]int64 {
	if len(news) == 0 {
		return old
	}
	all := make(map[string]int64, max(len(old), len(news)))
	maps.Copy(all, old)
	maps.Copy(all, news)
	return all
}
