package route

import "time"

// Parts holds this VM's parts of the limits that hold over all VMs together, such
// as an adapter's requests in flight. Each VM has an equal part, so that nobody has
// to be asked while demand is spread; a VM that runs short borrows from others for a
// while. The parts of all VMs sum up to no more than the limit as long as they agree
// on who is in the fleet. Parts belongs to one goroutine.
type Parts struct {
	vms, rank int
	given     map[Item][]loan
	taken     map[Item][]loan
}

// loan is a number of places until a time.
type loan struct {
	n     int
	until time.Time
}

// LoanLife is how long a loan holds, by the clocks of both sides: the borrower
// counts from before he asked, the lender from when he gave.
const LoanLife = 2 * time.Second

// NewParts returns the parts of a VM that is alone.
func NewParts() *Parts {
	return &Parts{vms: 1, given: make(map[Item][]loan), taken: make(map[Item][]loan)}
}

// SetFleet says how many VMs there are, and this VM's place in their order, from 0.
func (p *Parts) SetFleet(vms, rank int) {
	p.vms, p.rank = max(1, vms), rank
}

// Part returns how much of a limit this VM may use now. 0 means nothing: the caller
// has to tell an item without a limit apart before.
func (p *Parts) Part(i Item, limit int, now time.Time) int {
	part := limit / p.vms
	if p.rank < limit%p.vms {
		part++
	}
	return max(0, part+sum(p.taken, i, now)-sum(p.given, i, now))
}

// Lend gives half of what this VM does not use to another one, at most what that
// one wants, and returns how much.
func (p *Parts) Lend(i Item, limit, inUse, want int, now time.Time) int {
	spare := p.Part(i, limit, now) - inUse
	n := min(want, (spare+1)/2)
	if n <= 0 {
		return 0
	}
	p.given[i] = append(p.given[i], loan{n: n, until: now.Add(LoanLife)})
	return n
}

// Took notes what another VM has lent, and when it was asked.
func (p *Parts) Took(i Item, n int, asked time.Time) {
	if n > 0 {
		p.taken[i] = append(p.taken[i], loan{n: n, until: asked.Add(LoanLife)})
	}
}

// sum adds up the loans that hold, and forgets the others.
func sum(loans map[Item][]loan, i Item, now time.Time) int {
	held := loans[i]
	if len(held) == 0 {
		return 0
	}
	total := 0
	kept := held[:0]
	for _, l := range held {
		if now.Before(l.until) {
			kept = append(kept, l)
			total += l.n
		}
	}
	if len(kept) == 0 {
		delete(loans, i)
		return 0
	}
	loans[i] = kept
	return total
}

// Lenders returns how many VMs, in their order, have a part of a limit of their own.
func Lenders(limit, vms int) int {
	return min(limit, vms)
}
