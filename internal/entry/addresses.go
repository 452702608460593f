package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/address"
	"github.com/chestnutarch/chestnutarch/internal/caller"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/membership"
)

// addresses implements caller.Addresses from the membership view. The book is cheap to
// use but not safe for concurrent use, hence the mutex.
type addresses struct {
	view     func() *membership.View
	leaving  func(address string) bool
	capacity int64
	// singleVM means that the settings list no other VM.
	singleVM bool

	mu       sync.Mutex
	book     *address.Book
	lastView *membership.View
	rng      *rand.Rand
}

func newAddresses(lifetime time.Duration, capacity int, singleVM bool, view func() *membership.View, leaving func(string) bool) *addresses {
	return &addresses{
		view:     view,
		leaving:  leaving,
		capacity: int64(capacity),
		singleVM: singleVM,
		book:     address.New(address.Options{Lifetime: lifetime}),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Answer returns the VMs that a caller can use, best first, and how long the answer is
// valid. domain is the caller's failure domain, empty if it is not known.
func (a *addresses) Answer(domain string) ([]caller.Address, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if view := a.view(); view != a.lastView {
		a.lastView = view
		a.book.SetVMs(a.candidates(view))
	}
	answer, err := a.book.Answer(domain, 1+len(a.lastView.Members), a.rng)
	if err != nil {
		return nil, time.Second
	}
	result := make([]caller.Address, 0, len(answer.VMs))
	for _, vm := range answer.VMs {
		result = append(result, caller.Address{URL: vm.URL, FailureDomain: vm.FailureDomain})
	}
	return result, answer.Lifetime
}

// candidates returns the VMs of a view that callers may be referred to.
func (a *addresses) candidates(view *membership.View) []address.VM {
	var all []address.VM
	// A VM that has just started has received no heartbeats yet and knows no ready
	// VM. If it returned its own address then, it would refuse the callers that use
	// it, although the other VMs are available. Without an address in the answer,
	// callers ask another VM.
	if view.Self.Ready || a.singleVM {
		all = append(all, a.candidate(view.Self, view.At, true))
	}
	for _, m := range view.Members {
		if m.Status != membership.Gone {
			all = append(all, a.candidate(m.Node, view.At, m.Status == membership.Alive))
		}
	}
	return all
}

// candidate combines a VM's heartbeat state with the platform's list of leaving VMs.
func (a *addresses) candidate(n membership.Node, at time.Time, alive bool) address.VM {
	return address.VM{
		Name:          n.VM,
		URL:           n.CallerURL,
		FailureDomain: n.FailureDomain,
		Ready:         alive && n.Ready,
		Leaving:       n.Leaving || a.leaving(document.Address(n.CallerURL)),
		Capacity:      a.capacity,
		InFlight:      n.InFlight,
		LastHeartbeat: at,
	}
}
