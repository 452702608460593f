package vm

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/teamrate"
	"github.com/chestnutarch/chestnutarch/platform"
)

// applyConfiguration puts a configuration in force if it is newer than the current one. If it
// cannot be parsed, the current one stays in force.
func (p *Process) applyConfiguration(config store.Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := config.Revision
	if revision <= p.config.Revision {
		p.logOlderConfiguration(revision)
		return
	}
	next, skipped, err := platform.Configuration(config.Value)
	if err != nil {
		p.log.Error().Str("event", "configuration_unreadable").Int64("revision", revision).AnErr("cause", err).Send()
		return
	}
	for _, s := range skipped {
		p.log.Warn().Str("event", "configuration_part_skipped").Int64("revision", revision).AnErr("cause", s).Send()
	}
	p.config = config
	p.configurationLag.apply(revision, time.Now())
	p.tracker.values.record(config)
	limits, rates := limitsOf(next), changedLimits(p.core.Catalog(), next)
	p.limiter.SetLimits(limits, time.Now())
	p.assigner.SetCatalog(next)
	p.core.SetCatalog(next)
	p.log.Info().Str("event", "configuration_in_force").Int64("version", next.Version).Int64("revision", revision).
		Int("routes", len(next.Routes())).Int("bytes", len(config.Value)).Int("teams", len(limits)).Int("rates_changed", len(rates)).
		Interface("rates", firstLimits(rates)).Send()
}

// logOlderConfiguration logs once that a configuration is not put in force because it is older than the current one. It
// must be called with the lock held.
func (p *Process) logOlderConfiguration(revision int64) {
	if revision == p.config.Revision || revision == p.olderConfiguration {
		return
	}
	p.olderConfiguration = revision
	p.log.Info().Str("event", "configuration_older").Int64("revision", revision).Int64("in_force", p.config.Revision).Send()
}

// changedLimits returns the limits of the teams that are new or have another limit than before. before is
// nil for the first configuration.
func changedLimits(before, next *catalog.Catalog) map[string]teamrate.Limit {
	out := limitsOf(next)
	if before == nil {
		return out
	}
	for team, limit := range limitsOf(before) {
		if out[team] == limit {
			delete(out, team)
		}
	}
	return out
}

// firstLimits returns maxIndividualLogs of the limits at most, by the names of the teams: each of hundreds of
// VMs logs them at each change of the configuration.
func firstLimits(limits map[string]teamrate.Limit) map[string]teamrate.Limit {
	out := make(map[string]teamrate.Limit)
	for _, team := range slices.Sorted(maps.Keys(limits)) {
		if len(out) == maxIndividualLogs {
			break
		}
		out[team] = limits[team]
	}
	return out
}

func limitsOf(c *catalog.Catalog) map[string]teamrate.Limit {
	out := make(map[string]teamrate.Limit, len(c.Teams))
	for name, t := range c.Teams {
		out[name] = teamrate.Limit{Rate: t.Rate, Burst: t.Burst}
	}
	return out
}

// configuration returns the configuration in force as stored; its revision is zero if there
// is none yet.
func (p *Process) configuration() store.Item {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config
}
