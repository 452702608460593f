package entry

import (
	"context"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/membership"
)

// ErrNoPeer means that no other VM is heard.
var ErrNoPeer = errors.New("entry: no other VM is heard")

// offer hands a peer's configuration to the keeper. Deltas that do not connect
// with what is in force here are replaced by some VM's whole envelope.
func (p *Process) offer(update []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.KV.Timeout)
	defer cancel()
	err := p.config.Offer(ctx, update)
	if errors.Is(err, configstate.ErrGap) {
		update, err = p.pullPeer(ctx)
		if err == nil {
			err = p.config.Offer(ctx, update)
		}
	}
	if err != nil {
		p.log.Warn().Err(err).Msg("a peer's configuration cannot be used")
	}
}

// pullPeer fetches the configuration of some VM that is heard.
func (p *Process) pullPeer(ctx context.Context) ([]byte, error) {
	var heard []membership.Member
	for _, m := range p.fleet.View().Members {
		if m.Status == membership.Heard {
			heard = append(heard, m)
		}
	}
	if len(heard) == 0 {
		return nil, ErrNoPeer
	}
	chosen := heard[rand.IntN(len(heard))]
	answer, err := p.peers.FetchConfig(ctx, chosen.PeerAddress, p.settings.KV.Timeout, 0)
	if err != nil {
		return nil, err
	}
	return answer.GetEnvelope(), nil
}

// watchersPerDomain is how many VMs of a failure domain keep a watch on the
// configuration open in a large fleet: one, and one for when that one is silent.
const watchersPerDomain = 2

// smallFleet is the number of VMs up to which each keeps a watch.
const smallFleet = 16

// watches reports whether this VM keeps a watch. In a large fleet those of a
// failure domain are the first by a hash of their names among the VMs that are
// heard, so that every VM comes to the same choice without a word about it.
func (p *Process) watches() bool {
	if len(p.fleet.View().Members) < smallFleet {
		return true
	}
	mine := xxhash.Sum64String(p.settings.VM)
	before := 0
	for _, n := range p.fleet.View().Healthy() {
		if n.VM != p.settings.VM && n.FailureDomain == p.settings.FailureDomain && xxhash.Sum64String(n.VM) < mine {
			before++
		}
	}
	return before < watchersPerDomain
}
