package leadership

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// Ended is a term that is over for good.
type Ended struct {
	// Token is the term's, 0 if there is none.
	Token int64
	// Lasted is how long the term was.
	Lasted time.Duration
}

// end ends the term. The lock must be held.
func (c *Candidate) end() {
	if c.token != 0 {
		c.ended = Ended{Token: c.token, Lasted: clock.Elapsed(c.elected, c.options.Clock())}
	}
	c.token, c.lapsed = 0, false
}

// Superseded notes that another VM was elected under a token. A leader that is cut off from
// the store learns so from the other VMs that its term cannot go on.
func (c *Candidate) Superseded(token int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.token == 0 || token <= c.token {
		return
	}
	c.options.Log.Warn().Str("event", "leadership_superseded").Int64("token", c.token).Int64("by", token).Send()
	c.end()
}

// Elected returns the token of the present term, settled or not, 0 if there is none.
func (c *Candidate) Elected() int64 {
	if !c.Leads() {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.token
}

// Ended returns the last term of this process that is over, if its leader did not have to
// settle until the end of it: what it says of its own last orders then says enough of those
// of its predecessors.
func (c *Candidate) Ended() (Ended, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended, c.ended.Token != 0 && c.ended.Lasted > 2*c.options.Settle
}

// Settled ends the wait for the orders of the term before, whose leader has told when it
// gave them. It returns false if that was not the term before this one, or the wait is over.
func (c *Candidate) Settled(previous int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.token == 0 || c.previous != previous || clock.Elapsed(c.settled, c.options.Clock()) >= c.settle {
		return false
	}
	c.options.Log.Info().Str("event", "leadership_settled").Int64("token", c.token).Int64("previous_token", previous).Send()
	c.settle = 0
	return true
}
