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
	// errNotElected means that another planner leads, or that it is not known.
	errNotElected = errors.New("planner: not elected")
	// errDeposed means that leadership has ended or can no longer be relied on.
	errDeposed = errors.New("planner: deposed")
)

// Leader is the value of the leader key.
type Leader struct {
	// VM names the leader's VM.
	VM string `json:"vm"`
	// URL is where the leader's handler is served.
	URL string `json:"url"`
	// Nonce tells one candidacy from every other.
	Nonce string `json:"nonce"`
}

// term is one leadership. The lease saves work; it does not make orders safe,
// since a paused process can act on a lease that lapsed meanwhile.
type term struct {
	lease kv.LeaseID
	// fence is the revision of the leader key. A later leader's is larger.
	fence int64
	// renewed is when the last confirmed renewal was sent.
	renewed clock.Reading
}

// marginShare is the part of the lease that is left unused, for the drift
// between the service's clock and ours.
const marginShare = 5

// valid says whether the lease can still be relied on.
func (t *term) valid(now clock.Reading, ttl time.Duration) bool {
	return clock.Elapsed(t.renewed, now) < ttl-ttl/marginShare
}

// campaign tries once to become leader. It returns errNotElected if another
// planner leads, or the service's error.
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
	fence, err := p.claim(ctx, value, lease)
	if err != nil {
		// A write whose answer was lost may still come. It cannot take effect
		// once its lease is gone.
		p.revoke(ctx, lease)
		return nil, err
	}
	return &term{lease: lease, fence: fence, renewed: sent}, nil
}

// claim writes the leader key if it is free, and returns its revision.
func (p *Planner) claim(ctx context.Context, value []byte, lease kv.LeaseID) (int64, error) {
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
	p.noteLeader(entry.Value)
	return 0, errNotElected
}

func (p *Planner) noteLeader(value []byte) {
	var leader Leader
	if json.Unmarshal(value, &leader) == nil {
		p.leader.Store(&leader)
	}
}

// renew keeps the term's lease alive. It returns kv.ErrLeaseGone if that is no
// longer possible.
func (p *Planner) renew(ctx context.Context, lease kv.LeaseID) (clock.Reading, error) {
	sent := p.options.Clock()
	return sent, p.options.Store.KeepAlive(ctx, lease)
}

// revokeTimeout bounds the hand-over at a planned stop.
const revokeTimeout = time.Second

// revoke ends a lease, also when ctx has ended: a successor then need not wait
// for the lease to lapse.
func (p *Planner) revoke(ctx context.Context, lease kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := p.options.Store.Revoke(ctx, lease); err != nil {
		p.options.Log.Warn().Err(err).Msg("lease not revoked; it lapses by itself")
	}
}

// awaitVacancy waits until the leader key may be free. A watch can go silent,
// so it never waits longer than half a lease.
func (p *Planner) awaitVacancy(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.options.LeaseTTL/2)
	defer cancel()
	entry, err := p.options.Store.Get(ctx, p.leaderKey())
	if errors.Is(err, kv.ErrNotFound) {
		return
	}
	if err == nil {
		p.noteLeader(entry.Value)
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

// FindLeader reads which planner leads. It returns kv.ErrNotFound if none does.
func FindLeader(ctx context.Context, store kv.Store, environment string) (*Leader, error) {
	entry, err := store.Get(ctx, Options{Environment: environment}.prefix()+leaderName)
	if err != nil {
		return nil, err
	}
	leader := &Leader{}
	if err := json.Unmarshal(entry.Value, leader); err != nil {
		return nil, errors.Wrap(ErrOptions, err.Error())
	}
	return leader, nil
}

// leaderName is the leader key's name below the prefix.
const leaderName = "leader"

func (p *Planner) leaderKey() string {
	return p.options.prefix() + leaderName
}
