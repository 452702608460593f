package vm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an outage that a VM invents from a call that timed out, and against one that it overlooks.
func TestOnlyAnOutageInWhichLeasesCanEndKeepsEntries(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		calls func(c *contact)
		keeps bool
	}{
		"no call has failed": {calls: func(c *contact) { c.recordComplete(at(9)) }},
		"one call has failed": {calls: func(c *contact) {
			c.recordFailure(at(0.7))
			c.recordComplete(at(1.5))
		}},
		"calls fail for longer than leases last": {calls: func(c *contact) {
			c.recordFailure(at(0.7))
			c.recordFailure(at(2.4))
			c.recordComplete(at(2.5))
		}, keeps: true},
		"calls fail after a time without any, as through a hub that went silent": {calls: func(c *contact) {
			c.recordFailure(at(2.4))
			c.recordComplete(at(2.5))
		}, keeps: true},
		"the outage ended long ago": {calls: func(c *contact) {
			c.recordFailure(at(2.4))
			c.recordComplete(at(2.5))
			c.recordComplete(at(4.7))
		}},
		"a call has failed since, once": {calls: func(c *contact) {
			c.recordFailure(at(2.4))
			c.recordComplete(at(2.5))
			c.recordComplete(at(3.5))
			c.recordFailure(at(4.2))
			c.recordComplete(at(4.7))
		}},
		"an older answer arrives late": {calls: func(c *contact) {
			c.recordFailure(at(0.7))
			c.recordComplete(at(1.5))
			c.recordComplete(at(0.2))
			c.recordComplete(at(3.0))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			tracked := contact{minOutage: 2 * time.Second}
			tracked.recordComplete(start)
			c.calls(&tracked)
			require.Equal(t, c.keeps, tracked.completeAt.Before(tracked.keepUntil()))
		})
	}
}

// A VM that starts while the store is away has no entries that could have ended meanwhile.
func TestFailuresBeforeTheFirstViewAreNoOutage(t *testing.T) {
	c := contact{minOutage: time.Second}
	c.recordFailure(time.Now())
	c.recordComplete(time.Now())
	require.True(t, c.keepUntil().IsZero())
}
