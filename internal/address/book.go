package address

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrNoVM means that no VM is known that callers could use.
var ErrNoVM = errors.New("address: no VM to name")

// VM is what is known of one entry VM.
type VM struct {
	// Name identifies the VM.
	Name string
	// URL is the address for callers, with scheme.
	URL string
	// FailureDomain is where the VM stands.
	FailureDomain string
	// Ready means that the VM is heard of and says that it takes callers.
	Ready bool
	// Leaving means that the VM is shutting down, by its own word or by the
	// platform's list, whichever came first.
	Leaving bool
	// Capacity is how many requests the VM can have in flight.
	Capacity int64
	// InFlight is how many it had when it was last heard.
	InFlight int64
	// HeardAt is when that was, by this VM's clock.
	HeardAt time.Time
}

// Options configures a Book. The zero value takes every default.
type Options struct {
	// Lifetime is how long an answer may be kept, before jitter. The default is
	// 15s.
	Lifetime time.Duration
	// Jitter is the share by which a lifetime is lengthened or shortened at
	// random, from 0 to 1. The default is 0.25.
	Jitter float64
	// Addresses is the number of VMs in an answer. The default is 4.
	Addresses int
	// Overflow is the share of a VM's capacity up to which callers are kept in
	// their own failure domain. The default is 0.7.
	Overflow float64
}

// The defaults of Options.
const (
	DefaultLifetime  = 15 * time.Second
	DefaultJitter    = 0.25
	DefaultAddresses = 4
	DefaultOverflow  = 0.7
)

// minWeight is the weight of a VM without spare capacity, as a share of the
// whole capacity. A VM that looks full is still named now and then: the figure is
// old, and with a weight of 0 all callers would move together when it changes.
const minWeight = 0.02

// taken is the key of a VM that has been drawn.
const taken = -1

// defaultCapacity is taken for a VM that does not say how much it can do.
const defaultCapacity = 1000

// Answer says which VMs to use, the best first.
type Answer struct {
	// VMs are in the order in which to try them.
	VMs []VM
	// Lifetime is how long the answer may be kept.
	Lifetime time.Duration
}

// Book holds the VMs and what was answered since they were last heard. It
// belongs to one goroutine.
type Book struct {
	options Options
	vms     []VM
	named   map[string]named
	faults  faults
}

// faults are planted by tests, to show that their oracles find them.
type faults struct {
	// keepLeaving goes on naming VMs that are leaving.
	keepLeaving bool
	// forgetNamed goes by the heartbeats alone.
	forgetNamed bool
}

// named counts the answers whose first address was a VM.
type named struct {
	heardAt time.Time
	count   int64
}

// New returns an empty book.
func New(o Options) *Book {
	if o.Lifetime == 0 {
		o.Lifetime = DefaultLifetime
	}
	if o.Jitter == 0 {
		o.Jitter = DefaultJitter
	}
	if o.Addresses == 0 {
		o.Addresses = DefaultAddresses
	}
	if o.Overflow == 0 {
		o.Overflow = DefaultOverflow
	}
	return &Book{options: o, named: make(map[string]named)}
}

// MaxLifetime returns the longest lifetime that an answer can have. A VM that is
// leaving goes on taking callers for that long after it was last named.
func (b *Book) MaxLifetime() time.Duration {
	return time.Duration(float64(b.options.Lifetime) * (1 + b.options.Jitter))
}

// SetVMs takes what is known now. A VM that was heard since starts with a new
// count of answers.
func (b *Book) SetVMs(vms []VM) {
	b.vms = slices.Clone(vms)
	kept := make(map[string]named, len(vms))
	for i := range b.vms {
		v := &b.vms[i]
		if v.Capacity <= 0 {
			v.Capacity = defaultCapacity
		}
		n := b.named[v.Name]
		if v.HeardAt.After(n.heardAt) {
			n = named{heardAt: v.HeardAt}
		}
		kept[v.Name] = n
	}
	b.named = kept
}

// Answer draws the VMs for one caller. The caller's failure domain may be empty.
// Peers is the number of VMs that answer likewise, this one included. It returns
// ErrNoVM if nothing can be named.
func (b *Book) Answer(domain string, peers int, rng *rand.Rand) (Answer, error) {
	candidates := b.candidates()
	if len(candidates) == 0 {
		return Answer{}, ErrNoVM
	}
	vms := b.draw(candidates, domain, max(1, peers), rng)
	b.count(vms[0].Name)
	return Answer{VMs: vms, Lifetime: b.lifetime(rng)}, nil
}

// candidates returns the indexes of the VMs to draw from: the ready ones. If no
// VM is ready as far as is known here, the fault may be this VM's own view, and
// the VMs that are not leaving are named rather than none.
func (b *Book) candidates() []int {
	ready := make([]int, 0, len(b.vms))
	var others []int
	for i := range b.vms {
		v := &b.vms[i]
		switch {
		case v.Leaving && !b.faults.keepLeaving:
		case v.Ready:
			ready = append(ready, i)
		default:
			others = append(others, i)
		}
	}
	if len(ready) > 0 {
		return ready
	}
	return others
}

// draw takes VMs by a weighted random draw without replacement (Efraimidis and
// Spirakis, 2006): the key of a VM with weight w is the w-th root of a uniform
// number, and the largest keys win. VMs of the caller's failure domain that have
// room go first.
func (b *Book) draw(candidates []int, domain string, peers int, rng *rand.Rand) []VM {
	keys := make([]float64, len(candidates))
	for k, i := range candidates {
		v := &b.vms[i]
		used := b.used(v, peers)
		keys[k] = math.Pow(rng.Float64(), 1/max(minWeight, 1-used))
		if v.FailureDomain == domain && used < b.options.Overflow {
			keys[k]++
		}
	}
	out := make([]VM, 0, b.options.Addresses)
	for range min(b.options.Addresses, len(candidates)) {
		best := 0
		for k := range keys {
			if keys[k] > keys[best] {
				best = k
			}
		}
		keys[best] = taken
		out = append(out, b.vms[candidates[best]])
	}
	return out
}

// used estimates the share of a VM's capacity that is taken: what it said when
// it was last heard, and the callers that were sent there since by all VMs. A
// heartbeat lags; a flash crowd would be sent to the VM that was idle at the
// last one.
func (b *Book) used(v *VM, peers int) float64 {
	since := b.named[v.Name].count * int64(peers)
	if b.faults.forgetNamed {
		since = 0
	}
	return float64(v.InFlight+since) / float64(v.Capacity)
}

func (b *Book) count(name string) {
	n := b.named[name]
	n.count++
	b.named[name] = n
}

func (b *Book) lifetime(rng *rand.Rand) time.Duration {
	factor := 1 + b.options.Jitter*(2*rng.Float64()-1)
	return time.Duration(float64(b.options.Lifetime) * factor)
}
