package vm

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/reach"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

const (
	// reachTick is how often this VM looks for services that have to be checked.
	reachTick = 50 * time.Millisecond
	// probeTimeout bounds the connections of a check. It allows for a VM that is short of processor time.
	probeTimeout = 400 * time.Millisecond
	// slowProbe is how long the first connection of a check may take before further ones are opened.
	slowProbe = 100 * time.Millisecond
	// unfitAfter is how long a leader may fail to reach the engines before it resigns. Its successor gives no orders for
	// the first seconds, so that a shorter cut is better waited for.
	unfitAfter = time.Second
)

// watchReach checks the services whose upstreams send nothing until ctx ends.
func (p *Process) watchReach(ctx context.Context) error {
	ticker := time.NewTicker(reachTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, service := range p.reach.Due(time.Now()) {
			go p.checkReach(ctx, service)
		}
	}
}

// checkReach opens connections to some upstreams of a service, and applies what that shows.
func (p *Process) checkReach(ctx context.Context, service string) {
	began := time.Now()
	tried, reached := p.countReached(ctx, p.probes(service), p.reach.Cut(service))
	if reached == 0 && p.stalls.stoodSince(began) {
		// That connections took too long says nothing about the upstreams.
		p.reach.AbandonCheck(service)
		return
	}
	switch p.reach.RecordCheck(service, tried, reached, time.Now()) {
	case reach.Lost:
		p.incrementCounter("upstreams.unreachable")
		p.log.Warn().Str("event", "upstreams_unreachable").Str("service", service).Int("tried", tried).Send()
		p.fleet.exchangeNow()
	case reach.Regained:
		p.assigner.ForgetFailures(service)
		p.log.Info().Str("event", "upstreams_regained").Str("service", service).Int("tried", tried).Int("reached", reached).Send()
	}
}

// probes returns some upstreams of a service that are not leaving.
func (p *Process) probes(service string) []*upstream.Instance {
	var out []*upstream.Instance
	for _, i := range *p.instances.Load() {
		if i.Service == service && !i.Draining {
			out = append(out, i)
		}
	}
	rand.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	return out[:min(reach.Probes, len(out))]
}

// countReached opens connections to upstreams, and returns how many it tried and how many succeeded. Unless all is set, the
// others are tried only if the first one takes long: each costs the upstream a connection.
func (p *Process) countReached(ctx context.Context, probed []*upstream.Instance, all bool) (tried, reached int) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan bool, len(probed))
	connect := func(i *upstream.Instance) { results <- p.replicas.Pool.Connect(ctx, i.Address) == nil }
	for n, i := range probed {
		go connect(i)
		tried++
		if n > 0 || all {
			continue
		}
		select {
		case ok := <-results:
			if ok {
				return 1, 1
			}
			results <- false
		case <-time.After(slowProbe):
		}
	}
	for range tried {
		if <-results {
			reached++
		}
	}
	return tried, reached
}

// unreachable returns the services whose upstreams this VM does not reach.
func (p *Process) unreachable() []string { return p.reach.CutOff(time.Now()) }

// leads reports whether this VM leads.
func (p *Process) leads() bool {
	_, leads := p.candidate.Authority()
	return leads
}

// unfitToLead reports whether this VM does not reach the engines of a service, to which leaders send orders, while another
// VM does.
func (p *Process) unfitToLead() bool {
	config, now := p.core.Catalog(), time.Now()
	if config == nil {
		return false
	}
	for name, service := range config.Services {
		if service.Engine != nil && p.reach.CutFor(name, now) > unfitAfter && p.fleet.othersReachService(name, now) {
			return true
		}
	}
	return false
}
