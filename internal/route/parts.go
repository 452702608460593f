package route

import "time"

// LimitShares holds this VM's shares of fleet-wide limits, such as the limit on an
// adapter's requests in flight. Each VM has an equal share, so that no coordination
// is needed while demand is spread evenly; a VM that runs short borrows from others
// for a limited time. The shares of all VMs add up to no more than the limit as long
// as the VMs agree on the fleet's members. LimitShares is not safe for concurrent use.
type LimitShares struct {
	vms, rank int
	lent      map[Item][]loan
	borrowed  map[Item][]loan
}

// loan is a number of in-flight slots lent until a time.
type loan struct {
	slots int
	until time.Time
}

// LoanLifetime is the lifetime of a loan by the clocks of both sides. The borrower
// counts from before it sent its request, the lender from when it granted the loan.
const LoanLifetime = 2 * time.Second

// NewLimitShares returns the shares of a VM that is alone in the fleet.
func NewLimitShares() *LimitShares {
	return &LimitShares{vms: 1, lent: make(map[Item][]loan), borrowed: make(map[Item][]loan)}
}

// SetFleet sets the number of VMs and this VM's rank in their order, from 0.
func (p *LimitShares) SetFleet(vms, rank int) {
	p.vms, p.rank = max(1, vms), rank
}

// Share returns how much of a limit this VM may use now. 0 means none of it: callers
// must handle items without a limit themselves.
func (p *LimitShares) Share(i Item, limit int, now time.Time) int {
	share := limit / p.vms
	if p.rank < limit%p.vms {
		share++
	}
	return max(0, share+sumActive(p.borrowed, i, now)-sumActive(p.lent, i, now))
}

// Lend lends half of this VM's unused share, rounded up, to another VM, but no more
// than want, and returns the number of slots lent.
func (p *LimitShares) Lend(i Item, limit, inUse, want int, now time.Time) int {
	spare := p.Share(i, limit, now) - inUse
	n := min(want, (spare+1)/2)
	if n <= 0 {
		return 0
	}
	p.lent[i] = append(p.lent[i], loan{slots: n, until: now.Add(LoanLifetime)})
	return n
}

// RecordLoan records a loan of n slots from another VM. asked is when the request for it
// was sent.
func (p *LimitShares) RecordLoan(i Item, n int, asked time.Time) {
	if n > 0 {
		p.borrowed[i] = append(p.borrowed[i], loan{slots: n, until: asked.Add(LoanLifetime)})
	}
}

// sumActive returns the total of the loans that have not expired and removes the
// others.
func sumActive(loans map[Item][]loan, i Item, now time.Time) int {
	all := loans[i]
	if len(all) == 0 {
		return 0
	}
	total := 0
	active := all[:0]
	for _, l := range all {
		if now.Before(l.until) {
			active = append(active, l)
			total += l.slots
		}
	}
	if len(active) == 0 {
		delete(loans, i)
		return 0
	}
	loans[i] = active
	return total
}

// Lenders returns the number of VMs, from rank 0 on, whose own share of a limit is
// not 0.
func Lenders(limit, vms int) int {
	return min(limit, vms)
}
