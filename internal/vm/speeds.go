package vm

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/aggregate"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/topology"
	"github.com/chestnutarch/chestnutarch/internal/upstreamload"
)

const (
	// speedInterval is how often the evidence of all VMs is applied, and told in reports. It is below aggregate.MaxReportGap.
	speedInterval = time.Second
	// maxSpeedsPerReport bounds the upstreams in a report. What is left goes into the next ones.
	maxSpeedsPerReport = 256
	// maxSpeeds bounds the upstreams of which evidence is kept, former ones included.
	maxSpeeds = 16384
)

// speeds sums what VMs have observed of the speeds of upstreams.
type speeds struct {
	version  aggregate.Version
	evidence *aggregate.Counters[upstreamload.Evidence]
	names    map[string]struct{}
	// sources holds of whose totals the evidence consists, by VM.
	sources map[string]speedSource
	// applied is the version up to which the assigner has the sums.
	applied uint64
}

// speedSource is the process and the scope to which a VM's last totals belong.
type speedSource struct {
	incarnation int64
	scope       topology.Scope
}

// speedsTold is what was told of speeds to another VM.
type speedsTold struct {
	at      time.Time
	scope   topology.Scope
	version uint64
}

func newSpeeds() *speeds {
	s := &speeds{names: make(map[string]struct{}), sources: make(map[string]speedSource)}
	s.evidence = aggregate.NewCounters[upstreamload.Evidence](&s.version)
	return s
}

// admit returns the totals of known upstreams, and of others as far as there is room.
func (s *speeds) admit(totals map[string]upstreamload.Evidence) map[string]upstreamload.Evidence {
	for id := range totals {
		if _, known := s.names[id]; known {
			continue
		}
		if len(s.names) >= maxSpeeds {
			delete(totals, id)
			continue
		}
		s.names[id] = struct{}{}
	}
	return totals
}

// setOwnSpeeds adds this VM's evidence, and returns the sums that have changed since the last call.
func (a *aggregator) setOwnSpeeds(own map[string]upstreamload.Evidence) map[string]upstreamload.Evidence {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.speeds.evidence.SetOwn(a.speeds.admit(own))
	if a.speeds.applied == a.speeds.version.Number() {
		return nil
	}
	changed := a.speeds.evidence.Since(topology.ScopeAll, a.speeds.applied, "")
	a.speeds.applied = a.speeds.version.Number()
	return changed
}

// applySpeeds adds the evidence that another VM's report carries.
func (a *aggregator) applySpeeds(r *peerpb.VMReport, follows bool, now time.Time) {
	source := speedSource{r.Incarnation, min(topology.Scope(r.Scope), topology.ScopeAll)}
	totals := make(map[string]upstreamload.Evidence, len(r.Speeds))
	for _, e := range r.Speeds {
		totals[e.GetInstance()] = upstreamload.Evidence{Count: e.GetObservations(), LogSum: e.GetLogSum()}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(totals) == 0 && a.speeds.sources[r.Vm] != source {
		return
	}
	// A report without evidence says that there is nothing new, so that it closes a gap.
	a.speeds.sources[r.Vm] = source
	a.speeds.evidence.Record(r.Vm, source.incarnation, source.scope, follows, a.speeds.admit(totals), now)
}

// speedsSince returns the evidence for another VM that has changed since it was told, and what it has been told then. It returns
// nothing within speedInterval. A lost report is made up for by the next change, since totals are told.
func (a *aggregator) speedsSince(scope topology.Scope, receiver string, told speedsTold, now time.Time) ([]*peerpb.UpstreamSpeed, speedsTold) {
	if told.scope == scope && now.Sub(told.at) < speedInterval {
		return nil, told
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if told.scope != scope {
		told = speedsTold{scope: scope}
	}
	if told.version == a.speeds.version.Number() {
		return nil, told
	}
	changed := a.speeds.evidence.Since(min(scope, topology.ScopeAll), told.version, receiver)
	told.at = now
	ids := slices.Sorted(maps.Keys(changed))
	if len(ids) <= maxSpeedsPerReport {
		told.version = a.speeds.version.Number()
	} else {
		// The part that is told moves on with time, so that every upstream has its turn.
		parts := (len(ids) + maxSpeedsPerReport - 1) / maxSpeedsPerReport
		part := int(now.UnixNano()/int64(speedInterval)) % parts
		ids = ids[part*maxSpeedsPerReport : min(len(ids), (part+1)*maxSpeedsPerReport)]
	}
	out := make([]*peerpb.UpstreamSpeed, len(ids))
	for i, id := range ids {
		out[i] = &peerpb.UpstreamSpeed{Instance: id, Observations: changed[id].Count, LogSum: changed[id].LogSum}
	}
	return out, told
}

// addSpeeds adds to a report what its receiver may lack of the speeds of upstreams.
func (f *fleet) addSpeeds(out *peerpb.VMReport, receiver string, scope topology.Scope, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[receiver]; m != nil {
		out.Speeds, m.speeds = f.aggregator.speedsSince(scope, receiver, m.speeds, now)
	}
}

// learnSpeeds applies what all VMs observe of the speeds of upstreams, until ctx ends.
func (p *Process) learnSpeeds(ctx context.Context) error {
	for ctx.Err() == nil {
		totals := p.fleet.aggregator.setOwnSpeeds(p.assigner.NewSpeedEvidence())
		if len(totals) > 0 {
			for _, c := range p.assigner.ApplySpeeds(totals, time.Now()) {
				p.incrementCounter("upstreams.speed_changes")
				p.log.Info().Str("event", "upstream_speed").Str("instance", c.Instance).Float64("factor", c.After).Float64("before", c.Before).Send()
			}
		}
		sleep(ctx, speedInterval)
	}
	return nil
}
