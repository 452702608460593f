package vm

import "time"

const (
	// lapseHeartbeats is the number of heartbeats that a live instance has to miss until its entry ends,
	// beyond the one that it has just sent.
	lapseHeartbeats = 2
	// lapsedGrace is how long after the last failed call of an outage an entry that has disappeared is
	// kept: a living instance writes its entry again within about two seconds of the store's return.
	lapsedGrace = 2200 * time.Millisecond
)

// contact tells from the calls of the store that this VM makes whether leases of live instances may have
// ended in an outage. A failed call alone does not show that: it may have timed out at this VM, and the store
// may serve everybody else. The zero value, with minOutage set, is ready for use.
type contact struct {
	// minOutage is the shortest outage in which the lease of a live instance can end.
	minOutage time.Duration
	// completeAt is when the entries were last known to be complete, from the store or through a hub.
	completeAt time.Time
	// failedAt is when a call of this VM last failed.
	failedAt time.Time
	// restoredAt is when this VM learned that the store had come back from a copy.
	restoredAt time.Time
	// outageEnd is when the last call failed in the last outage that lasted minOutage.
	outageEnd time.Time
}

// recordFailure records that a call of this VM has failed.
func (c *contact) recordFailure(now time.Time) { c.failedAt = now }

// recordComplete records that the entries are known as they were at a time.
func (c *contact) recordComplete(at time.Time) {
	if !at.After(c.completeAt) {
		return
	}
	if !c.completeAt.IsZero() && c.failedAt.After(c.completeAt) && at.Sub(c.completeAt) >= c.minOutage {
		c.outageEnd = c.failedAt
	}
	c.completeAt = at
}

// recordRestore records that the store came back from a copy, which may lack leases of live instances.
func (c *contact) recordRestore(now time.Time) { c.restoredAt, c.outageEnd = now, now }

// keepRestoredUntil returns until when a registration is kept that the copy from which the store came back lacks: for as
// long as its lease would have lasted, since hundreds of VMs that register again exceed the store's rate for seconds. It
// returns the zero time if the store never came back from a copy.
func (c *contact) keepRestoredUntil() time.Time {
	if c.restoredAt.IsZero() {
		return time.Time{}
	}
	return c.restoredAt.Add(registrationLease)
}

// keepUntil returns until when an entry that has disappeared is kept, since its lease may have ended in an
// outage. It returns the zero time if there was none.
func (c *contact) keepUntil() time.Time {
	if c.outageEnd.IsZero() {
		return time.Time{}
	}
	return c.outageEnd.Add(lapsedGrace)
}
