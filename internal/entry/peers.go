package entry

import (
	"context"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/membership"
)

// ErrNoPeer means that no heartbeats arrive from any other VM.
var ErrNoPeer = errors.New("entry: cannot fetch the configuration: no other VM is alive")

// applyPeerUpdate passes a peer's configuration update to the syncer. If its deltas
// leave a gap to the configuration in force here, it fetches a complete envelope from a
// random VM instead.
func (p *Process) applyPeerUpdate(update []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.KV.Timeout)
	defer cancel()
	err := p.config.Offer(ctx, update)
	if errors.Is(err, configstate.ErrGap) {
		update, err = p.fetchFromPeer(ctx)
		if err == nil {
			err = p.config.Offer(ctx, update)
		}
	}
	if err != nil {
		p.log.Warn().Err(err).Msg("cannot apply the configuration update of a peer")
	}
}

// fetchFromPeer fetches the complete configuration envelope from a random VM that is
// alive. It returns ErrNoPeer if there is none.
func (p *Process) fetchFromPeer(ctx context.Context) ([]byte, error) {
	var alive []membership.Member
	for _, m := range p.fleet.View().Members {
		if m.Status == membership.Alive {
			alive = append(alive, m)
		}
	}
	if len(alive) == 0 {
		return nil, ErrNoPeer
	}
	chosen := alive[rand.IntN(len(alive))]
	answer, err := p.peers.FetchConfig(ctx, chosen.PeerAddress, p.settings.KV.Timeout, 0)
	if err != nil {
		return nil, err
	}
	return answer.GetEnvelope(), nil
}

// watchersPerDomain is how many VMs of a failure domain keep a watch on the
// configuration open in a large fleet: one, and one in case that one is unresponsive.
const watchersPerDomain = 2

// allWatchFleetSize is the number of VMs up to which every VM keeps a watch.
const allWatchFleetSize = 16

// keepsWatch reports whether this VM keeps a watch on the configuration open. In a large
// fleet, the watchers of a failure domain are its healthy VMs with the smallest hashes of
// their names, so that all VMs make the same choice without coordination.
func (p *Process) keepsWatch() bool {
	if len(p.fleet.View().Members) < allWatchFleetSize {
		return true
	}
	ownHash := xxhash.Sum64String(p.settings.VM)
	lowerHashes := 0
	for _, n := range p.fleet.View().Healthy() {
		if n.VM != p.settings.VM && n.FailureDomain == p.settings.FailureDomain && xxhash.Sum64String(n.VM) < ownHash {
			lowerHashes++
		}
	}
	return lowerHashes < watchersPerDomain
}
