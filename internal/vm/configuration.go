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
	if revision == p.config.Revision || revision == p.rejectedConfiguration {
		return
	}
	next, skipped, err := platform.Configuration(config.Value)
	if err != nil {
		p.rejectedConfiguration = revision
		p.log.Error().Str("event", "configuration_unreadable").Stringer("revision", revision).AnErr("cause", err).Send()
		return
	}
	if order := (configurationOrder{next.Version, revision}); p.config.Revision != 0 && !order.newerThan(p.configOrder()) {
		p.keepConfiguration(config, order)
		return
	}
	for _, s := range skipped {
		p.log.Warn().Str("event", "configuration_part_skipped").Stringer("revision", revision).AnErr("cause", s).Send()
	}
	p.recordConfiguration(config, next.Version)
	limits, rates := limitsOf(next), changedLimits(p.core.Catalog(), next)
	p.limiter.SetLimits(limits, time.Now())
	p.assigner.SetCatalog(next)
	p.core.SetCatalog(next)
	p.log.Info().Str("event", "configuration_in_force").Int64("version", next.Version).Stringer("revision", revision).
		Int("routes", len(next.Routes())).Int("bytes", len(config.Value)).Int("teams", len(limits)).Int("rates_changed", len(rates)).
		Interface("rates", firstLimits(rates)).Send()
}

// keepConfiguration keeps the configuration in force in place of one that is not newer, or records that the store has it
// at a later revision. It must be called with the lock held.
func (p *Process) keepConfiguration(config store.Item, order configurationOrder) {
	if order.version == p.configVersion && order.revision > p.config.Revision {
		p.recordConfiguration(config, order.version)
		return
	}
	p.rejectedConfiguration = order.revision
	p.log.Info().Str("event", "configuration_older").Int64("version", order.version).Stringer("revision", order.revision).
		Int64("in_force", p.configVersion).Stringer("in_force_revision", p.config.Revision).Send()
}

// recordConfiguration records the configuration in force. It must be called with the lock held.
func (p *Process) recordConfiguration(config store.Item, version int64) {
	p.config, p.configVersion = config, version
	p.configurationLag.apply(p.configOrder(), time.Now())
	p.tracker.values.record(config)
}

// configOrder returns the place of the configuration in force. It must be called with the lock held.
func (p *Process) configOrder() configurationOrder {
	return configurationOrder{p.configVersion, p.config.Revision}
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

// configuration returns the configuration in force as stored, and its place among others; its revision is zero if
// there is none yet.
func (p *Process) configuration() (store.Item, configurationOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config, p.configOrder()
}
