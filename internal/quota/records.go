package quota

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

const (
	// Slots is the number of equal parts that every team's rate and burst are
	// divided into. It is divisible by 6 and 7, so that fleets of these sizes
	// get equal parts.
	Slots = 84
	// UnitsPerSlot is the number of units in a slot. Loans are counted in units.
	UnitsPerSlot = 1000
	// Units is the whole of a team's rate and burst.
	Units = Slots * UnitsPerSlot
)

// Holder is one process on a VM.
type Holder struct {
	// VM is the VM's ID.
	VM string `json:"vm"`
	// Incarnation grows with every start of the process on the VM.
	Incarnation uint64 `json:"incarnation"`
}

// Witness is a process whose promise renews another VM's authority while the
// key-value service is silent, and whose consent is needed to close its record.
type Witness struct {
	Holder
	// Address is where the process takes in messages.
	Address string `json:"address"`
	// Consent means that the witness will never again promise anything to the
	// record's holder, and that what it promised has lapsed.
	Consent bool `json:"consent,omitempty"`
}

// Record is a VM's own record in the key-value service.
type Record struct {
	Holder
	// Renewals counts the renewals of this incarnation, so that no two writes of
	// the record are alike.
	Renewals uint64 `json:"renewals"`
	// Witnesses lists those who may close the record together.
	Witnesses []Witness `json:"witnesses"`
	// Superseded means that a later process has started on the VM. It wants the
	// record closed, and the holder can no longer renew it.
	Superseded bool `json:"superseded,omitempty"`
	// Closed means that the incarnation's authority has ended for good.
	Closed bool `json:"closed,omitempty"`
}

// consented reports whether any witness has given its consent, which the first
// one does only after the last renewal has lapsed.
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

// Assignment says who holds how many slots, for all teams alike. Only a holder
// itself takes slots from its share, after it has stopped using them; anyone may
// move the slots of a holder whose record is closed. Every change is one
// compare-and-swap, so the sum never exceeds Slots.
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

// move returns the assignment after a number of slots went from one process to
// another. The caller makes sure that there are as many.
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

// decode reads a record or an assignment. It returns ErrMalformedRecord.
func decode[T any](value []byte) (T, error) {
	var out T
	if err := json.Unmarshal(value, &out); err != nil {
		return out, errors.Wrap(ErrMalformedRecord, err.Error())
	}
	return out, nil
}

// encode writes a record or an assignment, which cannot fail.
func encode[T any](in T) []byte {
	out, _ := json.Marshal(in)
	return out
}
