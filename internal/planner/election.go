package planner

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/kv"
)

var (
	// errNotElected means that another planner leads, or that the leader is not
	// known.
	errNotElected = errors.New("planner: not elected")
	// errLeadershipLost means that leadership has ended or can no longer be
	// relied on.
	errLeadershipLost = errors.New("planner: leadership lost")
)

// Leader is the value of the leader key.
type Leader struct {
	// VM names the leader's VM.
	VM string `json:"vm"`
	// URL is where the leader's handler is served.
	URL string `json:"url"`
	// Nonce distinguishes one candidacy from every other.
	Nonce string `json:"nonce"`
}

// term is one term of leadership. The lease avoids duplicate work; it does not
// make orders safe, since a paused process can act on a lease that has expired
// in the meantime.
type term struct {
	lease kv.LeaseID
	// fence is the fencing token: the revision of the leader key. A later
	// leader has a larger one.
	fence int64
	// renewedAt is when the last confirmed renewal was sent.
	renewedAt clock.Reading
}

// leaseMarginDivisor determines the safety margin: this fraction of the lease,
// one fifth, is left unused to allow for drift between the service's clock and
// the local one.
const leaseMarginDivisor = 5

// valid reports whether the lease can still be relied on.
func (t *term) valid(now clock.Reading, ttl time.Duration) bool {
	return clock.Elapsed(t.renewedAt, now) < ttl-ttl/leaseMarginDivisor
}

// campaign tries once to become leader. It returns errNotElected if another
// planner leads, or the error of the key-value service.
func (p *Planner) campaign(ctx context.Context) (*term, error) {
	sent := p.options.Clock()
	lease, err := p.options.Store.Grant(ctx, p.options.LeaseTTL)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(Leader{VM: p.options.VM, URL: p.options.URL, Nonce: uuid.NewString()})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	fence, err := p.claimLeaderKey(ctx, value, lease)
	if err != nil {
		// The request of a write whose response was lost may still arrive. It
		// cannot take effect once its lease is revoked.
		p.revokeLease(ctx, lease)
		return nil, err
	}
	return &term{lease: lease, fence: fence, renewedAt: sent}, nil
}

// claimLeaderKey writes the leader key if it is free, and returns the key's
// revision.
func (p *Planner) claimLeaderKey(ctx context.Context, value []byte, lease kv.LeaseID) (int64, error) {
	result, err := p.options.Store.CompareAndSwap(ctx, p.leaderKey(), kv.RevisionAbsent, value, lease)
	if err != nil {
		return 0, err
	}
	if result.Outcome == kv.TookEffect {
		return result.Revision, nil
	}
	entry, err := p.options.Store.Get(ctx, p.leaderKey())
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return 0, err
	}
	if err == nil && bytes.Equal(entry.Value, value) {
		return entry.Revision, nil
	}
	p.recordLeader(entry.Value)
	return 0, errNotElected
}

func (p *Planner) recordLeader(value []byte) {
	var leader Leader
	if json.Unmarshal(value, &leader) == nil {
		p.leader.Store(&leader)
	}
}

// renewLease keeps the term's lease alive and returns when the renewal was
// sent. It returns kv.ErrLeaseGone if the lease no longer exists.
func (p *Planner) renewLease(ctx context.Context, lease kv.LeaseID) (clock.Reading, error) {
	sent := p.options.Clock()
	return sent, p.options.Store.KeepAlive(ctx, lease)
}

// revokeTimeout bounds the revocation of the lease, and with it the hand-over
// at a planned stop.
const revokeTimeout = time.Second

// revokeLease revokes a lease, even if ctx has ended, so that a successor need
// not wait for the lease to expire.
func (p *Planner) revokeLease(ctx context.Context, lease kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := p.options.Store.Revoke(ctx, lease); err != nil {
		p.options.Log.Warn().Err(err).Msg("lease could not be revoked; it ends when its TTL expires")
	}
}

// awaitFreeLeaderKey waits until the leader key may be free. A watch can stop
// delivering events without an error, so it never waits longer than half the
// lease TTL.
func (p *Planner) awaitFreeLeaderKey(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.options.LeaseTTL/2)
	defer cancel()
	entry, err := p.options.Store.Get(ctx, p.leaderKey())
	if errors.Is(err, kv.ErrNotFound) {
		return
	}
	if err == nil {
		p.recordLeader(entry.Value)
		if events, err := p.options.Store.Watch(ctx, p.leaderKey(), entry.Revision); err == nil {
			awaitDeletion(ctx, events)
			return
		}
	}
	<-ctx.Done()
}

func awaitDeletion(ctx context.Context, events <-chan kv.Entry) {
	for {
		select {
		case <-ctx.Done():
			return
		case e, open := <-events:
			if !open {
				<-ctx.Done()
				return
			}
			if e.Value == nil {
				return
			}
		}
	}
}

// FindLeader reads from the leader key which planner leads. It returns
// kv.ErrNotFound if none does.
func FindLeader(ctx context.Context, store kv.Store, environment string) (*Leader, error) {
	entry, err := store.Get(ctx, Options{Environment: environment}.prefix()+leaderKeyName)
	if err != nil {
		return nil, err
	}
	leader := &Leader{}
	if err := json.Unmarshal(entry.Value, leader); err != nil {
		return nil, errors.Wrap(ErrOptions, err.Error())
	}
	return leader, nil
}

// leaderKeyName is the name of the leader key below the prefix.
const leaderKeyName = "leader"

func (p *Planner) leaderKey() string {
	return p.options.prefix() + leaderKeyName
}
