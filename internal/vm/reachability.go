package vm

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/reach"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

const (
	// reachTick is how often this VM looks for services that have to be checked.
	reachTick = 50 * time.Millisecond
	// probeTimeout bounds the connections of a check. It allows for a VM that is short of processor time.
	probeTimeout = 400 * time.Millisecond
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
	probed := p.probes(service)
	reached := p.countReached(ctx, probed)
	if reached == 0 && p.stalls.stoodSince(began) {
		// That connections took too long says nothing about the upstreams.
		p.reach.AbandonCheck(service)
		return
	}
	switch p.reach.RecordCheck(service, len(probed), reached, time.Now()) {
	case reach.Lost:
		p.incrementCounter("upstreams.unreachable")
		p.log.Warn().Str("event", "upstreams_unreachable").Str("service", service).Int("tried", len(probed)).Send()
		p.fleet.exchangeNow()
	case reach.Regained:
		p.assigner.ForgetFailures(service)
		p.log.Info().Str("event", "upstreams_regained").Str("service", service).Int("tried", len(probed)).Int("reached", reached).Send()
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

func (p *Process) countReached(ctx context.Context, probed []*upstream.Instance) int {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reached atomic.Int64
	var wg sync.WaitGroup
	for _, i := range probed {
		wg.Go(func() {
			if p.replicas.Pool.Connect(ctx, i.Address) == nil {
				reached.Add(1)
			}
		})
	}
	wg.Wait()
	return int(reached.Load())
}

// unreachable returns the services whose upstreams this VM does not reach.
func (p *Process) unreachable() []string { return p.reach.CutOff(time.Now()) }

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
