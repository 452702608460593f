package quota

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

const (
	// Slots is the number of equal shares into which every team's rate and burst are
	// divided. It is divisible by 2, 3, 4, 6, 7 and 12, so that fleets of these sizes
	// get equal shares.
	Slots = 84
	// UnitsPerSlot is the number of units in a slot. Loans are measured in units.
	UnitsPerSlot = 1000
	// Units is the number of units in the whole of a team's rate and burst.
	Units = Slots * UnitsPerSlot
)

// Holder is one process on a VM.
type Holder struct {
	// VM is the VM's ID.
	VM string `json:"vm"`
	// Incarnation grows with every start of the process on the VM.
	Incarnation uint64 `json:"incarnation"`
}

// Witness is a process whose promise renews another VM's authority while the key-value
// service does not answer, and whose consent is needed to close that VM's record.
type Witness struct {
	Holder
	// Address is where the process receives messages.
	Address string `json:"address"`
	// Consent means that the witness will never again send a promise to the record's
	// holder, and that its earlier promises have lapsed.
	Consent bool `json:"consent,omitempty"`
}

// Record is a VM's own record in the key-value service.
type Record struct {
	Holder
	// Renewals counts the renewals of this incarnation, so that no two writes of the
	// record are identical.
	Renewals uint64 `json:"renewals"`
	// Witnesses lists the processes that must all consent before any process other than
	// the holder may close the record.
	Witnesses []Witness `json:"witnesses"`
	// Superseded means that a later process has started on the VM and needs the record
	// to be closed. The holder can no longer renew it.
	Superseded bool `json:"superseded,omitempty"`
	// Closed means that the incarnation's authority has ended permanently.
	Closed bool `json:"closed,omitempty"`
}

// consented reports whether any witness has consented to closing the record. The first
// witness consents only after the last renewal has lapsed.
func (r *Record) consented() bool {
	return slices.ContainsFunc(r.Witnesses, func(w Witness) bool { return w.Consent })
}

// renewable reports whether the holder may renew the record.
func (r *Record) renewable() bool {
	return !r.Closed && !r.Superseded && !r.consented()
}

// Share is the number of slots that one process holds.
type Share struct {
	Holder
	// Slots is positive.
	Slots int64 `json:"slots"`
}

// Assignment maps processes to the number of slots that they hold, which applies to all
// teams. Until a holder's record is closed, only the holder itself removes slots from its
// share, after it has stopped using them; once it is closed, any process may move them.
// Every change is one compare-and-swap, so the sum never exceeds Slots.
type Assignment struct {
	// Shares is sorted by VM and incarnation.
	Shares []Share `json:"shares"`
}

// slotsOf returns the number of slots of a process.
func (a *Assignment) slotsOf(h Holder) int64 {
	for _, s := range a.Shares {
		if s.Holder == h {
			return s.Slots
		}
	}
	return 0
}

// move returns the assignment with a number of slots moved from one process to another.
// The caller must ensure that from holds at least that many.
func (a *Assignment) move(from, to Holder, slots int64) Assignment {
	next := Assignment{}
	found := false
	for _, s := range a.Shares {
		if s.Holder == from {
			s.Slots -= slots
		}
		if s.Holder == to {
			s.Slots += slots
			found = true
		}
		if s.Slots > 0 {
			next.Shares = append(next.Shares, s)
		}
	}
	if !found {
		next.Shares = append(next.Shares, Share{Holder: to, Slots: slots})
	}
	slices.SortFunc(next.Shares, func(x, y Share) int {
		return cmp.Or(cmp.Compare(x.VM, y.VM), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return next
}

// decode decodes a record or an assignment. It returns ErrMalformedRecord if the value
// is not valid JSON for it.
func decode[T any](value []byte) (T, error) {
	var out T
	if err := json.Unmarshal(value, &out); err != nil {
		return out, errors.Wrap(ErrMalformedRecord, err.Error())
	}
	return out, nil
}

// encode encodes a record or an assignment, which cannot fail.
func encode[T any](in T) []byte {
	out, _ := json.Marshal(in)
	return out
}
