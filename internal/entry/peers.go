package entry

import (
	"context"
	"math/rand/v2"

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
