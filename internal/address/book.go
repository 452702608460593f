package address

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrNoVM means that there is no VM that callers could use.
var ErrNoVM = errors.New("address: no VM available: all known VMs are leaving, or none is known")

// VM is the known state of one entry VM.
type VM struct {
	// Name identifies the VM.
	Name string
	// URL is the address for callers, including the scheme.
	URL string
	// FailureDomain is the VM's failure domain.
	FailureDomain string
	// Ready means that heartbeats of the VM arrive and state that it accepts
	// callers.
	Ready bool
	// Leaving means that the VM is shutting down, according to its heartbeat or to
	// the platform's VM list, whichever reports it first.
	Leaving bool
	// Capacity is the number of requests that the VM can have in flight. If it is
	// not positive, 1000 is used.
	Capacity int64
	// InFlight is the number of requests in flight as of the last heartbeat.
	InFlight int64
	// LastHeartbeat is when the last heartbeat arrived, by this VM's clock.
	LastHeartbeat time.Time
}

// Options configures a Book. The zero value takes every default.
type Options struct {
	// Lifetime is how long an answer may be cached, before jitter. The default is
	// 15s.
	Lifetime time.Duration
	// Jitter is the maximum fraction by which a lifetime is randomly lengthened or
	// shortened, from 0 to 1. The default is 0.25.
	Jitter float64
	// Addresses is the number of VMs in an answer. The default is 4.
	Addresses int
	// SpilloverUtilization is the fraction of a VM's capacity up to which the VM is
	// preferred for callers of its own failure domain. The default is 0.7.
	SpilloverUtilization float64
}

// The defaults of Options.
const (
	DefaultLifetime             = 15 * time.Second
	DefaultJitter               = 0.25
	DefaultAddresses            = 4
	DefaultSpilloverUtilization = 0.7
)

// minWeight is the weight of a VM without spare capacity, as a fraction of its
// capacity. A VM that appears full is still selected occasionally: the reported
// load is outdated, and with a weight of 0 all callers would move at the same time
// when it changes.
const minWeight = 0.02

// drawnKey is the key of a VM that has already been drawn.
const drawnKey = -1

// defaultCapacity is used for a VM that does not report its capacity.
const defaultCapacity = 1000

// Answer lists the VMs that a caller should use.
type Answer struct {
	// VMs are in the order in which to try them, the preferred one first.
	VMs []VM
	// Lifetime is how long the answer may be cached.
	Lifetime time.Duration
}

// Book holds the VMs and counts the answers given since their last heartbeats. It
// is not safe for concurrent use.
type Book struct {
	options Options
	vms     []VM
	counts  map[string]answerCount
	faults  faults
}

// faults are injected by tests to verify that the oracles detect them.
type faults struct {
	// includeLeaving keeps VMs that are leaving in answers.
	includeLeaving bool
	// ignoreCounts estimates the utilization from heartbeats alone.
	ignoreCounts bool
}

// answerCount counts the answers in which a VM was first, since the heartbeat at
// lastHeartbeat.
type answerCount struct {
	lastHeartbeat time.Time
	count         int64
}

// New returns a Book without VMs. Zero options are replaced by their defaults.
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
	if o.SpilloverUtilization == 0 {
		o.SpilloverUtilization = DefaultSpilloverUtilization
	}
	return &Book{options: o, counts: make(map[string]answerCount)}
}

// MaxLifetime returns the maximum lifetime of an answer. A VM that is leaving must
// accept callers for that long after the last answer that contains it.
func (b *Book) MaxLifetime() time.Duration {
	return time.Duration(float64(b.options.Lifetime) * (1 + b.options.Jitter))
}

// SetVMs replaces the known VMs. The answer count of a VM is reset if a heartbeat has
// arrived since the previous call.
func (b *Book) SetVMs(vms []VM) {
	b.vms = slices.Clone(vms)
	kept := make(map[string]answerCount, len(vms))
	for i := range b.vms {
		v := &b.vms[i]
		if v.Capacity <= 0 {
			v.Capacity = defaultCapacity
		}
		n := b.counts[v.Name]
		if v.LastHeartbeat.After(n.lastHeartbeat) {
			n = answerCount{lastHeartbeat: v.LastHeartbeat}
		}
		kept[v.Name] = n
	}
	b.counts = kept
}

// Answer draws the VMs for one caller. The domain is the caller's failure domain and
// may be empty. The number of VMs that answer callers in the same way, including
// this one, is peers. Answer returns ErrNoVM if there is no candidate.
func (b *Book) Answer(domain string, peers int, rng *rand.Rand) (Answer, error) {
	candidates := b.candidates()
	if len(candidates) == 0 {
		return Answer{}, ErrNoVM
	}
	vms := b.draw(candidates, domain, max(1, peers), rng)
	b.countAnswer(vms[0].Name)
	return Answer{VMs: vms, Lifetime: b.lifetime(rng)}, nil
}

// candidates returns the indexes of the VMs to draw from: the ready ones that are
// not leaving. If there is none, this VM's view may be wrong, so that all VMs that
// are not leaving are returned.
func (b *Book) candidates() []int {
	ready := make([]int, 0, len(b.vms))
	var others []int
	for i := range b.vms {
		v := &b.vms[i]
		switch {
		case v.Leaving && !b.faults.includeLeaving:
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

// draw selects VMs by weighted random sampling without replacement (Efraimidis and
// Spirakis, 2006): the key of a VM with weight w is the w-th root of a uniform
// random number, and the VMs with the largest keys are selected. VMs of the
// caller's failure domain below the spillover utilization come first.
func (b *Book) draw(candidates []int, domain string, peers int, rng *rand.Rand) []VM {
	keys := make([]float64, len(candidates))
	for k, i := range candidates {
		v := &b.vms[i]
		utilization := b.utilization(v, peers)
		keys[k] = math.Pow(rng.Float64(), 1/max(minWeight, 1-utilization))
		if v.FailureDomain == domain && utilization < b.options.SpilloverUtilization {
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
		keys[best] = drawnKey
		out = append(out, b.vms[candidates[best]])
	}
	return out
}

// utilization estimates the fraction of a VM's capacity that is in use: the
// requests in flight as of its last heartbeat, plus the callers that all VMs have
// sent there since. Without the second part, a flash crowd would be sent to the VM
// that was idle at its last heartbeat.
func (b *Book) utilization(v *VM, peers int) float64 {
	since := b.counts[v.Name].count * int64(peers)
	if b.faults.ignoreCounts {
		since = 0
	}
	return float64(v.InFlight+since) / float64(v.Capacity)
}

func (b *Book) countAnswer(name string) {
	n := b.counts[name]
	n.count++
	b.counts[name] = n
}

func (b *Book) lifetime(rng *rand.Rand) time.Duration {
	factor := 1 + b.options.Jitter*(2*rng.Float64()-1)
	return time.Duration(float64(b.options.Lifetime) * factor)
}
