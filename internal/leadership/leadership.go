package leadership

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/store"
)

const (
	// lease is the time to live of the leader's lease, before the store's minimum.
	// A leader that dies is missed for this long and the settling time after it;
	// a shorter lease would end in a short spell of lost packets.
	lease = 1600 * time.Millisecond
	// renewals is how many renewals fit into a lease, so that some may be lost.
	renewals = 5
	// margin is how long before the lease can end the leader stops: the time that an
	// order needs to arrive.
	margin = 400 * time.Millisecond
)

// Term is what is known of the current leader.
type Term struct {
	VM string
	// Token grows with every new leader: the store's revision of its election.
	Token int64
}

// Options configures a Candidate.
type Options struct {
	Store store.Store
	// VM is this VM's ID. The same VM counts as the same holder after a restart.
	VM string
	// Prefix is the prefix of the keys.
	Prefix string
	// LeaseMin is the shortest lease of the store.
	LeaseMin time.Duration
	// Settle is how long a leader waits before it acts if another VM led before.
	Settle time.Duration
	Clock  clock.Func
	// Stands reports whether this VM stands for election now. Nil means always.
	Stands func() bool
	Log    zerolog.Logger
}

// Candidate takes part in elections. It is safe for concurrent use.
type Candidate struct {
	options Options
	ttl     time.Duration

	mu      sync.Mutex
	token   int64
	leaseID store.LeaseID
	// until is when authority ends, as elapsed time since renewed.
	renewed clock.Reading
	valid   time.Duration
	settled clock.Reading
	settle  time.Duration
	// seen is the leader by the newest state of the store.
	seen     store.Item
	hasSeen  bool
	previous record
	known    bool
}

// record is the value of both keys.
type record struct {
	VM    string `json:"vm"`
	Token int64  `json:"token,omitempty"`
}

// New returns a candidate that leads nothing.
func New(o Options) *Candidate {
	return &Candidate{options: o, ttl: max(lease, o.LeaseMin)}
}

func (c *Candidate) leaderKey() string { return c.options.Prefix + "leader" }

// lastKey outlives every leader. It tells a successor that somebody led before.
func (c *Candidate) lastKey() string { return c.options.Prefix + "last-leader" }

// Observe takes what the store holds under the candidate's keys: found says
// whether a leader's key exists.
func (c *Candidate) Observe(items map[string]store.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen, c.hasSeen = items[c.leaderKey()]
	c.known = true
	if last, ok := items[c.lastKey()]; ok {
		_ = json.Unmarshal(last.Value, &c.previous)
	}
}

// Leader returns the leader that the store names.
func (c *Candidate) Leader() (Term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasSeen {
		return Term{}, false
	}
	var r record
	if json.Unmarshal(c.seen.Value, &r) != nil {
		return Term{}, false
	}
	return Term{VM: r.VM, Token: c.seen.Revision}, true
}

// Authority returns the token under which this VM may act now. Before every order
// it has to be asked again.
func (c *Candidate) Authority() (token int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	if c.token == 0 || clock.Elapsed(c.renewed, now) >= c.valid || clock.Elapsed(c.settled, now) < c.settle {
		return 0, false
	}
	return c.token, true
}

// Leads reports whether this VM holds the lease, settled or not.
func (c *Candidate) Leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.token != 0 && clock.Elapsed(c.renewed, c.options.Clock()) < c.valid
}

// Run takes part until ctx ends, then gives the lease back.
func (c *Candidate) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.ttl / renewals)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.resign(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
			c.step(ctx)
		}
	}
}

func (c *Candidate) step(ctx context.Context) {
	c.mu.Lock()
	leading, vacant := c.token != 0, c.known && !c.hasSeen
	c.mu.Unlock()
	switch {
	case leading:
		c.renew(ctx)
	case vacant && (c.options.Stands == nil || c.options.Stands()):
		c.elect(ctx)
	}
}

func (c *Candidate) renew(ctx context.Context) {
	sent := c.options.Clock()
	err := c.options.Store.Renew(ctx, c.leaseID)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && clock.Elapsed(c.renewed, sent) < c.valid {
		c.renewed = sent
		return
	}
	if errors.Is(err, store.ErrLeaseGone) || clock.Elapsed(c.renewed, c.options.Clock()) >= c.valid {
		c.options.Log.Warn().Str("event", "leadership_lost").Int64("token", c.token).AnErr("cause", err).Send()
		c.token, c.known = 0, false
	}
}

func (c *Candidate) elect(ctx context.Context) {
	sent := c.options.Clock()
	id, ttl, err := c.options.Store.Grant(ctx, c.ttl)
	if err != nil {
		return
	}
	value, err := json.Marshal(record{VM: c.options.VM})
	if err != nil {
		return
	}
	revision, err := c.options.Store.Commit(ctx, store.Change{
		Conditions: []store.Condition{{Key: c.leaderKey(), Revision: 0}},
		Puts: []store.Put{
			{Key: c.leaderKey(), Value: value, Lease: id},
			{Key: c.lastKey(), Value: value},
		},
	})
	if err != nil {
		// Without the lease the key cannot last, should it have been written.
		_ = c.options.Store.Revoke(ctx, id)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token, c.leaseID = revision, id
	c.renewed, c.valid = sent, ttl-margin
	c.settled, c.settle = c.options.Clock(), c.settleTime()
	c.options.Log.Info().Str("event", "leadership_won").Int64("token", revision).
		Str("previous", c.previous.VM).Dur("settle_ms", c.settle).Send()
}

// settleTime is the wait before the first act: none if nobody led before, or this
// VM did.
func (c *Candidate) settleTime() time.Duration {
	if c.previous.VM == "" || c.previous.VM == c.options.VM {
		return 0
	}
	return c.options.Settle
}

func (c *Candidate) resign(ctx context.Context) {
	c.mu.Lock()
	token, id := c.token, c.leaseID
	c.token = 0
	c.mu.Unlock()
	if token != 0 {
		_ = c.options.Store.Revoke(ctx, id)
		c.options.Log.Info().Str("event", "leadership_resigned").Int64("token", token).Send()
	}
}
