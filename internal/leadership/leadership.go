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
	// VM is this VM's ID.
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
	// lapsed says that the log has told of the end of authority.
	lapsed bool
	// seen is the leader by the newest state of the store.
	seen    store.Item
	hasSeen bool
	// last is the item of the last election that took effect, won the token of the last
	// one that this process knows to have won.
	last  store.Item
	won   int64
	known bool
	// succeeds says that another process led before this VM won its election.
	succeeds bool
	// elected is signalled when this VM has won an election.
	elected chan struct{}
}

// record is the value of both keys.
type record struct {
	VM    string `json:"vm"`
	Token int64  `json:"token,omitempty"`
}

// New returns a candidate that leads nothing.
func New(o Options) *Candidate {
	return &Candidate{options: o, ttl: max(lease, o.LeaseMin), elected: make(chan struct{}, 1)}
}

// Elected returns a channel that gets a value when this VM has won an election. It may not
// act yet: see Authority.
func (c *Candidate) Elected() <-chan struct{} { return c.elected }

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
	c.last = items[c.lastKey()]
}

// Leader returns the leader that the store names.
func (c *Candidate) Leader() (Term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasSeen {
		return Term{}, false
	}
	vm := vmOf(c.seen)
	return Term{VM: vm, Token: c.seen.Revision}, vm != ""
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

// Succeeds reports whether another process led before this VM won its last election.
func (c *Candidate) Succeeds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.succeeds
}

// Holds reports whether this VM has won an election and does not know of its end: authority
// may come back.
func (c *Candidate) Holds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.token != 0
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

// renew keeps the lease. A lease that is renewed has not ended, so that nobody else can have
// led meanwhile, however long the store was away: the term goes on. Until then its authority
// has lapsed by this VM's own clock.
func (c *Candidate) renew(ctx context.Context) {
	sent := c.options.Clock()
	err := c.options.Store.Renew(ctx, c.leaseID)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.renewed = sent
		if c.lapsed {
			c.options.Log.Info().Str("event", "leadership_regained").Int64("token", c.token).Send()
		}
		c.lapsed = false
	case errors.Is(err, store.ErrLeaseGone):
		c.options.Log.Warn().Str("event", "leadership_lost").Int64("token", c.token).AnErr("cause", err).Send()
		c.token, c.known, c.lapsed = 0, false, false
	case !c.lapsed && clock.Elapsed(c.renewed, c.options.Clock()) >= c.valid:
		c.options.Log.Warn().Str("event", "leadership_lapsed").Int64("token", c.token).AnErr("cause", err).Send()
		c.lapsed = true
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
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	revision, err := c.options.Store.Commit(ctx, store.Change{
		// Whether to settle is decided by the last election, so it has to be the last one.
		Conditions: []store.Condition{{Key: c.leaderKey(), Revision: 0}, {Key: c.lastKey(), Revision: last.Revision}},
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
	c.settled, c.settle = c.options.Clock(), c.settleTime(last)
	c.succeeds = last.Revision != 0 && last.Revision != c.won
	c.token, c.leaseID, c.won = revision, id, revision
	c.renewed, c.valid = sent, ttl-margin
	select {
	case c.elected <- struct{}{}:
	default:
	}
	c.options.Log.Info().Str("event", "leadership_won").Int64("token", revision).
		Str("previous", vmOf(last)).Dur("settle_ms", c.settle).Send()
}

// settleTime is the wait before the first act after an election that follows last: none if
// nobody led before, or this process did. That last names this VM is not enough: an election
// whose answer was lost leaves it, although another VM may have given orders a moment before.
func (c *Candidate) settleTime(last store.Item) time.Duration {
	if last.Revision == 0 || last.Revision == c.won {
		return 0
	}
	return c.options.Settle
}

// vmOf returns the VM that an item of an election names, "" if it names none.
func vmOf(i store.Item) string {
	var r record
	if json.Unmarshal(i.Value, &r) != nil {
		return ""
	}
	return r.VM
}

func (c *Candidate) resign(ctx context.Context) {
	c.mu.Lock()
	token, id := c.token, c.leaseID
	c.token, c.lapsed = 0, false
	c.mu.Unlock()
	if token != 0 {
		_ = c.options.Store.Revoke(ctx, id)
		c.options.Log.Info().Str("event", "leadership_resigned").Int64("token", token).Send()
	}
}
