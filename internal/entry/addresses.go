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

// addresses answers callers from the view of the fleet. A book is cheap and
// belongs to one goroutine at a time, hence the mutex.
type addresses struct {
	view     func() *membership.View
	leaving  func(address string) bool
	capacity int64
	// alone means that the settings name no other VM.
	alone bool

	mu   sync.Mutex
	book *address.Book
	seen *membership.View
	rng  *rand.Rand
}

func newAddresses(lifetime time.Duration, capacity int, alone bool, view func() *membership.View, leaving func(string) bool) *addresses {
	return &addresses{
		view:     view,
		leaving:  leaving,
		capacity: int64(capacity),
		alone:    alone,
		book:     address.New(address.Options{Lifetime: lifetime}),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Answer returns the VMs that a caller may use, the best first, and how long to
// keep the answer. The failure domain is the caller's, empty if not known.
func (a *addresses) Answer(domain string) ([]caller.Address, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if view := a.view(); view != a.seen {
		a.seen = view
		a.book.SetVMs(a.vms(view))
	}
	answer, err := a.book.Answer(domain, 1+len(a.seen.Members), a.rng)
	if err != nil {
		return nil, time.Second
	}
	named := make([]caller.Address, 0, len(answer.VMs))
	for _, vm := range answer.VMs {
		named = append(named, caller.Address{URL: vm.URL, FailureDomain: vm.FailureDomain})
	}
	return named, answer.Lifetime
}

func (a *addresses) vms(view *membership.View) []address.VM {
	var all []address.VM
	// A VM that has just started hears nobody yet and knows no VM that is ready.
	// If it named itself then, callers would come to be refused, although the
	// other VMs are there. With no answer they ask another one.
	if view.Self.Ready || a.alone {
		all = append(all, a.vm(view.Self, view.At, true))
	}
	for _, m := range view.Members {
		if m.Status != membership.Gone {
			all = append(all, a.vm(m.Node, view.At, m.Status == membership.Heard))
		}
	}
	return all
}

// vm joins what the VM says of itself and what the platform's list says.
func (a *addresses) vm(n membership.Node, at time.Time, heard bool) address.VM {
	return address.VM{
		Name:          n.VM,
		URL:           n.CallerURL,
		FailureDomain: n.FailureDomain,
		Ready:         heard && n.Ready,
		Leaving:       n.Leaving || a.leaving(document.Address(n.CallerURL)),
		Capacity:      a.capacity,
		InFlight:      n.InFlight,
		HeardAt:       at,
	}
}
