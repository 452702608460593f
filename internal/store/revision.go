package store

import "strconv"

// Era counts how often the store has come back from a copy, after which it gives out revisions and IDs of leases once
// more. Zero stands for stores that do not count.
type Era int64

// Revision numbers a change of the store. It consists of the era in which the change was made and of the store's own
// count, so that a later change has a larger revision also where the store has gone back to an earlier count. Zero means
// no revision. As a plain number, a revision serves as fencing token.
type Revision int64

const (
	// countBits is the number of bits of a revision that hold the store's count, enough for years of thousands of
	// changes a second. Up to an era of 8,191, revisions are exact as floating-point numbers, which JSON readers use.
	countBits = 40
	// MaxEra and MaxCount are the largest parts of a revision.
	MaxEra   Era   = 1<<(63-countBits) - 1
	MaxCount int64 = 1<<countBits - 1
)

// NewRevision returns the revision of a count in an era. Both must be within their limits. A count of zero stands for no
// revision, in any era.
func NewRevision(era Era, count int64) Revision {
	if count == 0 {
		return 0
	}
	return Revision(int64(era)<<countBits | count)
}

// Era returns the era in which the change was made.
func (r Revision) Era() Era { return Era(r >> countBits) }

// Count returns the store's own count of the change.
func (r Revision) Count() int64 { return int64(r) & MaxCount }

// String returns the era and the count, "2/65".
func (r Revision) String() string {
	return strconv.FormatInt(int64(r.Era()), 10) + "/" + strconv.FormatInt(r.Count(), 10)
}

// LeaseID identifies a lease. The zero value means no lease.
type LeaseID struct {
	// Era is the era in which the store has named the lease. Afterwards the ID may belong to another lease.
	Era Era
	ID  int64
}

// IsZero reports whether there is no lease.
func (l LeaseID) IsZero() bool { return l == LeaseID{} }
