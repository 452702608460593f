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
	// leaseTTL is the time to live of the leader's lease, unless the store's minimum is
	// longer. After a leader dies, nobody leads for this time plus the takeover delay. A
	// shorter lease would expire during a short period of packet loss.
	leaseTTL = 1600 * time.Millisecond
	// renewalsPerLease is how many renewals fit into a lease, so that some may be lost.
	renewalsPerLease = 5
	// authorityMargin is how long before its lease can expire the leader stops acting: the
	// time that an order needs to arrive.
	authorityMargin = 400 * time.Millisecond
)

// Term identifies the leader that the store names.
type Term struct {
	VM string
	// Token is the fencing token: the store's revision of the leader's election. It
	// increases with every election, also when the store comes back from a copy.
	Token int64
}

// Options configures a Candidate.
type Options struct {
	Store store.Store
	// VM is this VM's ID.
	VM string
	// Prefix is the prefix of the candidate's keys in the store.
	Prefix string
	// LeaseMin is the shortest lease of the store.
	LeaseMin time.Duration
	// TakeoverDelay is how long a new leader waits before it acts if another process led before
	// it.
	TakeoverDelay time.Duration
	// Restart reports that the system has run before this process started, so that another process may have led
	// although the store names none.
	Restart bool
	Clock   clock.Func
	// Eligible reports whether this VM may campaign for the lease now. Nil means always.
	Eligible func() bool
	// Unfit reports whether this VM has to leave the lead to another one, which can do its work better. Nil means never.
	Unfit func() bool
	Log   zerolog.Logger
}

// Candidate takes part in leader elections. It is safe for concurrent use.
type Candidate struct {
	options Options
	ttl     time.Duration

	mu      sync.Mutex
	token   store.Revision
	leaseID store.LeaseID
	// renewedAt is when the grant or the last successful renewal of the lease was sent.
	// Authority begins takeoverDelay after electedAt and ends validFor after renewedAt.
	renewedAt     clock.Reading
	validFor      time.Duration
	electedAt     clock.Reading
	takeoverDelay time.Duration
	// lapseLogged reports that the end of authority has been logged.
	lapseLogged bool
	// leaderItem is the leader's item in the newest observed state of the store.
	leaderItem store.Item
	hasLeader  bool
	// lastElection is the item of the last election that took effect. lastWon is the token
	// of the last election that this process won and received the reply for.
	lastElection store.Item
	lastWon      store.Revision
	observed     bool
	// era is the newest era of the store that the candidate has taken into account, eraBegan when it first did so.
	// restored reports that another process may have led in an earlier era without a trace in the store.
	era      store.Era
	eraBegan clock.Reading
	restored bool
	// interrupted reports that the last term ended because the store came back from a copy. Until validFor after
	// renewedAt, no other VM can have led.
	interrupted bool
	// hasPredecessor reports that another process led before this VM won its election.
	hasPredecessor bool
	// elected is signalled when this VM has won an election.
	elected chan struct{}
}

// electionRecord is the value of both keys.
type electionRecord struct {
	VM    string `json:"vm"`
	Token int64  `json:"token,omitempty"`
}

// New returns a candidate that does not hold the lease.
func New(o Options) *Candidate {
	return &Candidate{
		options: o, ttl: max(leaseTTL, o.LeaseMin), elected: make(chan struct{}, 1),
		restored: o.Restart, eraBegan: o.Clock(), era: o.Store.Era(),
	}
}

// Elected returns a channel that receives a value when this VM has won an election. The VM may
// not be allowed to act yet: see Authority.
func (c *Candidate) Elected() <-chan struct{} { return c.elected }

func (c *Candidate) leaderKey() string { return c.options.Prefix + "leader" }

// lastKey is the key of the last election. It is not bound to a lease, so a successor can see
// that another process led before.
func (c *Candidate) lastKey() string { return c.options.Prefix + "last-leader" }

// Observe updates the candidate from items, the contents of the store by key in an era. Those of an earlier era than the
// known one are ignored.
func (c *Candidate) Observe(items map[string]store.Item, era store.Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateEra()
	if era < c.era {
		return
	}
	c.leaderItem, c.hasLeader = items[c.leaderKey()]
	c.observed = true
	c.lastElection = items[c.lastKey()]
}

// Leader returns the leader that the newest observed state of the store names, and whether it
// names one.
func (c *Candidate) Leader() (Term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasLeader {
		return Term{}, false
	}
	vm := vmOf(c.leaderItem)
	return Term{VM: vm, Token: int64(c.leaderItem.Revision)}, vm != ""
}

// Authority returns the fencing token under which this VM may act now, and whether it may. It
// has to be called before every order.
func (c *Candidate) Authority() (token int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	if !c.holdsLease(now) || clock.Elapsed(c.electedAt, now) < c.takeoverDelay {
		return 0, false
	}
	return int64(c.token), true
}

// HasPredecessor reports whether another process led before this VM won its last election.
func (c *Candidate) HasPredecessor() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasPredecessor
}

// HasTerm reports whether this VM has won an election and has not learned that the term ended.
// Authority that has lapsed may return while this VM has the term.
func (c *Candidate) HasTerm() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.token != 0
}

// HoldsLease reports whether this VM holds the lease by its own clock, during the takeover delay too.
func (c *Candidate) HoldsLease() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdsLease(c.options.Clock())
}

// holdsLease is HoldsLease with the lock held.
func (c *Candidate) holdsLease(now clock.Reading) bool {
	return c.token != 0 && c.token.Era() >= c.options.Store.Era() && clock.Elapsed(c.renewedAt, now) < c.validFor
}

// Run campaigns for the lease and renews it until ctx ends, then revokes it.
func (c *Candidate) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.ttl / renewalsPerLease)
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
	c.updateEra()
	leading, vacancy := c.token != 0, c.vacancy()
	c.mu.Unlock()
	unfit := c.options.Unfit != nil && c.options.Unfit()
	switch {
	case leading && unfit:
		c.resign(ctx)
	case leading:
		c.renew(ctx)
	case vacancy != nil && !unfit && (c.options.Eligible == nil || c.options.Eligible()):
		c.campaign(ctx, *vacancy)
	}
}

// updateEra takes a new era of the store into account. The term ends: the copy may lack the lease, its ID may belong to
// somebody else by now, and tokens of this era are larger. It must be called with the lock held.
func (c *Candidate) updateEra() {
	era := c.options.Store.Era()
	if era <= c.era {
		return
	}
	first := c.era == 0
	c.era = era
	if first && c.token == 0 {
		return
	}
	now := c.options.Clock()
	c.eraBegan, c.restored, c.observed = now, true, false
	if c.token == 0 {
		return
	}
	c.interrupted = clock.Elapsed(c.renewedAt, now) < c.validFor
	c.options.Log.Warn().Str("event", "leadership_lost").Int64("token", int64(c.token)).AnErr("cause", store.ErrRestored).Send()
	c.token, c.lapseLogged = 0, false
}

// vacancy is what an election rests on: the revision of the leader's key, zero if there is none, and the last election.
type vacancy struct {
	leaderRevision store.Revision
	last           store.Item
}

// vacancy returns what an election may rest on, nil if another VM leads or may lead. It must be called with the lock held.
func (c *Candidate) vacancy() *vacancy {
	switch {
	case !c.observed:
		return nil
	case !c.hasLeader:
		return &vacancy{last: c.lastElection}
	case c.leadsByCopy():
		return &vacancy{leaderRevision: c.leaderItem.Revision, last: c.lastElection}
	}
	return nil
}

// leadsByCopy reports whether the leader's key is one of an earlier era that this process has written: nobody else can
// be elected before it ends, and nobody renews its lease. It must be called with the lock held.
func (c *Candidate) leadsByCopy() bool {
	return c.lastWon != 0 && c.lastWon.Era() < c.era && vmOf(c.leaderItem) == c.options.VM
}

// renew renews the lease. A lease that can be renewed has not expired, so nobody else can have
// led meanwhile, however long the store was unavailable, and the term continues. Authority
// still lapses by this VM's own clock and returns when a renewal succeeds.
func (c *Candidate) renew(ctx context.Context) {
	sent := c.options.Clock()
	err := c.options.Store.Renew(ctx, c.leaseID)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.renewedAt = sent
		if c.lapseLogged {
			c.options.Log.Info().Str("event", "leadership_regained").Int64("token", int64(c.token)).Send()
		}
		c.lapseLogged = false
	case errors.Is(err, store.ErrRestored):
		c.updateEra()
	case errors.Is(err, store.ErrLeaseEnded):
		c.options.Log.Warn().Str("event", "leadership_lost").Int64("token", int64(c.token)).AnErr("cause", err).Send()
		c.token, c.observed, c.lapseLogged = 0, false, false
	case !c.lapseLogged && clock.Elapsed(c.renewedAt, c.options.Clock()) >= c.validFor:
		c.options.Log.Warn().Str("event", "leadership_lapsed").Int64("token", int64(c.token)).AnErr("cause", err).Send()
		c.lapseLogged = true
	}
}

// campaign tries to win an election that rests on a vacancy. What is observed meanwhile does not count: the change would be
// made although another VM has been elected.
func (c *Candidate) campaign(ctx context.Context, seen vacancy) {
	sent := c.options.Clock()
	id, ttl, err := c.options.Store.Grant(ctx, c.ttl)
	if err != nil {
		return
	}
	value, err := json.Marshal(electionRecord{VM: c.options.VM})
	if err != nil {
		return
	}
	revision, err := c.options.Store.Commit(ctx, store.Change{
		// The takeover delay depends on the last election, so the commit fails if there has
		// been a later one.
		Conditions: []store.Condition{{Key: c.leaderKey(), Revision: seen.leaderRevision}, {Key: c.lastKey(), Revision: seen.last.Revision}},
		Puts: []store.Put{
			{Key: c.leaderKey(), Value: value, Lease: id},
			{Key: c.lastKey(), Value: value},
		},
	})
	if errors.Is(err, store.ErrRestored) && revision != 0 {
		// The key is bound to a lease that may be anybody's, and would stay for as long as that is renewed.
		_, _ = c.options.Store.Commit(ctx, store.Change{
			Conditions: []store.Condition{{Key: c.leaderKey(), Revision: revision}}, Deletes: []string{c.leaderKey()},
		})
	}
	if err != nil {
		// The commit may have taken effect. Without the lease the leader key does not persist.
		_ = c.options.Store.Revoke(ctx, id)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateEra()
	if revision.Era() < c.era {
		return
	}
	c.electedAt = c.options.Clock()
	c.hasPredecessor = c.mayFollowAnother(seen.last)
	c.takeoverDelay = c.takeoverDelayNow()
	c.token, c.leaseID, c.lastWon = revision, id, revision
	c.renewedAt, c.validFor = sent, ttl-authorityMargin
	c.interrupted, c.restored = false, false
	select {
	case c.elected <- struct{}{}:
	default:
	}
	c.options.Log.Info().Str("event", "leadership_won").Int64("token", int64(revision)).
		Str("previous", vmOf(seen.last)).Dur("settle_ms", c.takeoverDelay).Send()
}

// mayFollowAnother reports whether another process may have led before an election that follows last. It is not enough
// that last names this VM: an election whose reply was lost leaves such an item, although another VM may have given
// orders a moment before. It must be called with the lock held, when the election is won.
func (c *Candidate) mayFollowAnother(last store.Item) bool {
	if c.interrupted && clock.Elapsed(c.renewedAt, c.electedAt) < c.validFor {
		return false
	}
	if last.Revision != 0 {
		return last.Revision != c.lastWon
	}
	return c.restored
}

// takeoverDelayNow returns the wait before the first order after an election that was just won. After the store came
// back from a copy, the leader of the era before may act until its authority ends by its own clock, which is no later
// than a lease after this VM has heard of the new era. It must be called with the lock held.
func (c *Candidate) takeoverDelayNow() time.Duration {
	if !c.hasPredecessor {
		return 0
	}
	if !c.restored {
		return c.options.TakeoverDelay
	}
	return c.options.TakeoverDelay + max(0, c.ttl-clock.Elapsed(c.eraBegan, c.electedAt))
}

// vmOf returns the VM that an election's item names, "" if it names none.
func vmOf(i store.Item) string {
	var r electionRecord
	if json.Unmarshal(i.Value, &r) != nil {
		return ""
	}
	return r.VM
}

func (c *Candidate) resign(ctx context.Context) {
	c.mu.Lock()
	token, id := c.token, c.leaseID
	c.token, c.lapseLogged = 0, false
	c.mu.Unlock()
	if token != 0 {
		_ = c.options.Store.Revoke(ctx, id)
		c.options.Log.Info().Str("event", "leadership_resigned").Int64("token", int64(token)).Send()
	}
}
