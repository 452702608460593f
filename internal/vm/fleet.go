package vm

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/topology"
)

const (
	// vmPrefix is followed by a VM's ID.
	vmPrefix = ownPrefix + "vms/"
	// vmLease is how long a VM that died stays registered. VMs that all start again at once
	// learn from these entries how many they are, before the others have registered anew.
	vmLease = 6 * time.Second
	// renewEvery is how often the registration is renewed: two may be lost. Renewals are
	// most of what a large fleet asks of the store.
	renewEvery = 1800 * time.Millisecond
	// exchangeEvery is how often a VM exchanges reports with each other one. Rates
	// and the choice of engines work on what is this old.
	exchangeEvery = 250 * time.Millisecond
	// standbyEvery is how often a VM exchanges reports with those that would take its hub's
	// place.
	standbyEvery = time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 700 * time.Millisecond
	// unheardAfter is how long a VM may be silent before callers are no longer sent
	// to it, and before the other side starts exchanges too.
	unheardAfter = 1500 * time.Millisecond
	// forgetAfter is how long a VM that is neither registered nor heard counts.
	forgetAfter = 5 * time.Second
	// addressLifetime is how long callers may keep an address answer. They ask again
	// that often; a VM that dies costs a connection attempt until then.
	addressLifetime = 2 * time.Second
	// maxAddresses bounds an address answer.
	maxAddresses = 64
)

// registration is the value of a VM's key.
type registration struct {
	Incarnation int64  `json:"incarnation"`
	Callers     string `json:"callers"`
	Peers       string `json:"peers"`
	Domain      string `json:"domain"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// fleet knows the other VMs.
type fleet struct {
	p           *Process
	incarnation int64
	sequence    atomic.Uint64
	now         chan struct{}
	// fetching says that a configuration is being read from another VM.
	fetching atomic.Bool

	sums *sums
	sent *sendings

	// taking serializes the taking in of reports.
	taking sync.Mutex

	mu      sync.Mutex
	members map[string]*member
	// vouched names the VMs of which a hub says that they take callers, by hub: two may say so
	// for a while. It outlives what is known of a VM, which may start anew unnoticed by its
	// hub, or become known later than the hub says so: the hub says it once.
	vouched map[string]map[string]bool
	plan    *topology.Plan
	// rearrange says that the members have changed since the plan was made.
	rearrange bool
}

// member is another VM.
type member struct {
	registration
	registered bool
	// revision is the store's of the registration. A VM that has started anew may be known
	// from its own report before that.
	revision int64
	// heard is when its last report came, started when it was first known.
	heard, started time.Time
	sequence       uint64
	ready          bool
	calling        bool
	// called is when the last exchange with it began.
	called time.Time
	// failures counts the exchanges in a row that failed.
	failures int
	// silent says that it cannot serve as a hub.
	silent bool
	// leads says that it gives orders to engines.
	leads bool
	// taken is what was taken in of its reports, acknowledged what it has taken in of ours.
	taken, acknowledged progress
}

// progress is how much of a VM's reports another one has taken in. It begins anew when the
// scope of the reports changes.
type progress struct {
	scope   topology.Scope
	version uint64
}

func newFleet(p *Process) *fleet {
	started := time.Now().UnixNano()
	f := &fleet{p: p, incarnation: started, sums: newSums(started), members: make(map[string]*member), vouched: make(map[string]map[string]bool), now: make(chan struct{}, 1)}
	f.sent = newSendings(f)
	p.assigner.OnPlace(f.sent.note)
	peerpb.RegisterVMsServer(p.peerServer.Registrar(), &vmServer{p: p})
	return f
}

// size is how many VMs share limits, this one included.
func (f *fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members) + 1
}

// register keeps this VM's key in the store.
func (f *fleet) register(ctx context.Context) error {
	var lease store.LeaseID
	failures := 0
	for ctx.Err() == nil {
		if lease == 0 {
			lease = f.enroll(ctx)
		} else if err := f.p.store.Renew(ctx, lease); errors.Is(err, store.ErrLeaseGone) {
			lease = 0
			continue
		}
		if lease == 0 {
			sleep(ctx, f.p.tracker.retryAfter(failures))
			failures++
			continue
		}
		failures = 0
		sleep(ctx, renewEvery)
	}
	if lease != 0 {
		_ = f.p.store.Revoke(context.WithoutCancel(ctx), lease)
	}
	return nil
}

func (f *fleet) enroll(ctx context.Context) store.LeaseID {
	value, err := json.Marshal(registration{
		Incarnation: f.incarnation, Callers: f.p.settings.Callers, Peers: f.p.peerAddress(), Domain: f.p.settings.FailureDomain,
		LinkMbps: f.p.settings.LinkMbps,
	})
	if err != nil {
		return 0
	}
	lease, _, err := f.p.store.Grant(ctx, max(vmLease, f.p.settings.Store.LeaseMin))
	if err != nil {
		return 0
	}
	_, err = f.p.store.Commit(ctx, store.Change{Puts: []store.Put{{Key: vmPrefix + f.p.settings.VM, Value: value, Lease: lease}}})
	if err != nil {
		return 0
	}
	return lease
}

// observe takes the keys of this project.
func (f *fleet) observe(own map[string]store.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var fresh []string
	for _, m := range f.members {
		m.registered = false
	}
	for key, item := range own {
		vm, ok := strings.CutPrefix(key, vmPrefix)
		if !ok || vm == "" || vm == f.p.settings.VM {
			continue
		}
		var r registration
		if json.Unmarshal(item.Value, &r) != nil || r.Peers == "" {
			continue
		}
		m := f.members[vm]
		if m != nil && item.Revision <= m.revision {
			m.registered = true
			continue
		}
		if m == nil || m.Incarnation != r.Incarnation {
			m = &member{started: now, ready: true}
			f.p.planner.contents.forget(vm)
			f.members[vm] = m
			fresh = append(fresh, vm)
		}
		m.registration, m.registered, m.revision = r, true, item.Revision
		f.rearrange = true
	}
	f.logKnown(fresh)
	f.forget(now)
}

// logEach is how many VMs that become known at once get a line each.
const logEach = 8

// logKnown logs the VMs that have become known: of hundreds that start together, their number.
// It must be called with the lock held.
func (f *fleet) logKnown(vms []string) {
	if len(vms) > logEach {
		f.p.log.Info().Str("event", "vms_known").Int("count", len(vms)).Send()
		return
	}
	for _, vm := range vms {
		f.p.log.Info().Str("event", "vm_known").Str("peer", vm).Str("peers", f.members[vm].Peers).Send()
	}
}

// forget drops the VMs that are neither registered nor heard of, and works out the
// partners anew. It must be called with the lock held.
func (f *fleet) forget(now time.Time) {
	for vm, m := range f.members {
		if !m.registered && now.Sub(f.lastSign(vm, m)) > forgetAfter {
			delete(f.members, vm)
			f.rearrange = true
			f.p.log.Info().Str("event", "vm_forgotten").Str("peer", vm).Send()
		}
	}
	f.arrange(now)
}

// arrange works out with whom to exchange, if anything has changed that this depends on. It
// must be called with the lock held.
func (f *fleet) arrange(now time.Time) {
	for _, m := range f.members {
		if silent := m.silentHub(now); silent != m.silent {
			m.silent, f.rearrange = silent, true
		}
	}
	if f.plan != nil && !f.rearrange {
		return
	}
	f.rearrange = false
	others := make([]topology.VM, 0, len(f.members))
	for vm, m := range f.members {
		others = append(others, topology.VM{Name: vm, Domain: m.Domain, Capacity: m.LinkMbps, Silent: m.silent})
	}
	f.plan = topology.New(f.selfVM(), others)
	weights := make(map[string]int, len(f.plan.Partners))
	for _, partner := range f.plan.Partners {
		if partner.Weight > 0 {
			weights[partner.Name] = partner.Weight
		}
	}
	for vm, m := range f.members {
		if weights[vm] == 0 {
			// What it tells is not counted, and what it told is forgotten.
			m.taken = progress{}
		}
	}
	hubs := f.plan.OtherHubs()
	if !f.plan.IsHub() {
		hubs = []string{f.plan.Hub()}
	}
	for hub := range f.vouched {
		if slices.Contains(hubs, hub) {
			continue
		}
		delete(f.vouched, hub)
		if m := f.members[hub]; m != nil {
			m.taken = progress{}
		}
	}
	f.p.limiter.SetPeers(weights, now)
	f.p.assigner.SetVMs(len(others) + 1)
}

func (f *fleet) selfVM() topology.VM {
	return topology.VM{Name: f.p.settings.VM, Domain: f.p.settings.FailureDomain, Capacity: f.p.settings.LinkMbps}
}

// silentHub reports whether the VM cannot serve as a hub: its process is known to be gone,
// or exchanges with it have failed for a while.
func (m *member) silentHub(now time.Time) bool {
	return !m.registered || (m.failures >= hubFailures && now.Sub(m.heard) > hubSilence)
}

const (
	// hubFailures is how many exchanges with a hub fail in a row before the next VM takes
	// its place, and hubSilence how long it has not been heard by then.
	hubFailures = 1
	hubSilence  = 600 * time.Millisecond
)

// otherHubs is how many hubs of other domains a VM turns to when its own one fails it.
const otherHubs = 2

// hubs returns the addresses of the VMs through which this one follows the store, the first
// one first; none if this VM watches the store itself.
func (f *fleet) hubs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plan == nil || f.plan.Hub() == "" {
		return nil
	}
	others := f.plan.OtherHubs()
	var out []string
	for _, vm := range append([]string{f.plan.Hub()}, others[:min(otherHubs, len(others))]...) {
		if m := f.members[vm]; m != nil {
			out = append(out, m.Peers)
		}
	}
	return out
}

// mayLead reports whether this VM stands for election: the hubs do, or all VMs of a small
// fleet. If all of many VMs did, each vacancy would cost three calls of the store a VM.
func (f *fleet) mayLead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan != nil && f.plan.Hub() == ""
}

// lastSign returns when a VM was last known to live: heard itself, or through the hub that
// vouches for it. It must be called with the lock held.
func (f *fleet) lastSign(vm string, m *member) time.Time {
	return later(later(m.heard, m.started), f.vouchedAt(vm))
}

// vouchedAt returns when a hub that vouches for a VM was last heard, zero if none does. It
// must be called with the lock held.
func (f *fleet) vouchedAt(vm string) time.Time {
	at := time.Time{}
	for hub, vms := range f.vouched {
		if m := f.members[hub]; m != nil && vms[vm] {
			at = later(at, m.heard)
		}
	}
	return at
}

// takesCallers reports whether callers may be sent to a VM: a hub says so, or it said so itself
// within some time. It must be called with the lock held.
func (f *fleet) takesCallers(vm string, m *member, sign time.Time, within time.Duration, now time.Time) bool {
	return now.Sub(f.vouchedAt(vm)) < within || (m.ready && now.Sub(sign) < within)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// peerOf returns the address of another VM.
func (f *fleet) peerOf(vm string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[vm]
	if m == nil {
		return "", false
	}
	return m.Peers, true
}
