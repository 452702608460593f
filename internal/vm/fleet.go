package vm

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

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
	// renewEvery is how often the registration is renewed: three may be lost.
	renewEvery = time.Second
	// exchangeEvery is how often a VM exchanges reports with each other one. Rates
	// and the choice of engines work on what is this old.
	exchangeEvery = 250 * time.Millisecond
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
}

// fleet knows the other VMs.
type fleet struct {
	p           *Process
	incarnation int64
	sequence    atomic.Uint64
	now         chan struct{}

	sums *sums

	mu      sync.Mutex
	members map[string]*member
	plan    *topology.Plan
}

// member is another VM.
type member struct {
	registration
	registered bool
	// heard is when its last report came, started when it was first known.
	heard, started time.Time
	sequence       uint64
	ready          bool
	calling        bool
	// failures counts the exchanges in a row that failed.
	failures int
}

func newFleet(p *Process) *fleet {
	started := time.Now().UnixNano()
	f := &fleet{p: p, incarnation: started, sums: newSums(started), members: make(map[string]*member), now: make(chan struct{}, 1)}
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
	for ctx.Err() == nil {
		if lease == 0 {
			lease = f.enroll(ctx)
		} else if err := f.p.store.Renew(ctx, lease); errors.Is(err, store.ErrLeaseGone) {
			lease = 0
			continue
		}
		if lease == 0 {
			sleep(ctx, retryPause)
			continue
		}
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
	for _, m := range f.members {
		m.registered = false
	}
	for key, item := range own {
		vm, ok := cutPrefix(key, vmPrefix)
		if !ok || vm == f.p.settings.VM {
			continue
		}
		var r registration
		if json.Unmarshal(item.Value, &r) != nil || r.Peers == "" {
			continue
		}
		m := f.members[vm]
		if m == nil || m.Incarnation != r.Incarnation {
			m = &member{started: now, ready: true}
			f.members[vm] = m
			f.p.log.Info().Str("event", "vm_known").Str("peer", vm).Str("peers", r.Peers).Send()
		}
		m.registration, m.registered = r, true
	}
	f.forget(now)
}

func cutPrefix(key, prefix string) (string, bool) {
	if len(key) <= len(prefix) || key[:len(prefix)] != prefix {
		return "", false
	}
	return key[len(prefix):], true
}

// forget drops the VMs that are neither registered nor heard of, and works out the
// partners anew. It must be called with the lock held.
func (f *fleet) forget(now time.Time) {
	for vm, m := range f.members {
		if !m.registered && now.Sub(later(m.heard, m.started)) > forgetAfter {
			delete(f.members, vm)
			f.p.log.Info().Str("event", "vm_forgotten").Str("peer", vm).Send()
		}
	}
	f.arrange(now)
}

// arrange works out with whom to exchange. It must be called with the lock held.
func (f *fleet) arrange(now time.Time) {
	others := make([]topology.VM, 0, len(f.members))
	for vm, m := range f.members {
		others = append(others, topology.VM{Name: vm, Domain: m.Domain, Silent: m.silentHub(now)})
	}
	f.plan = topology.New(f.selfVM(), others)
	weights := make(map[string]int, len(f.plan.Partners))
	for _, partner := range f.plan.Partners {
		if partner.Weight > 0 {
			weights[partner.Name] = partner.Weight
		}
	}
	f.p.limiter.SetPeers(weights, now)
}

func (f *fleet) selfVM() topology.VM {
	return topology.VM{Name: f.p.settings.VM, Domain: f.p.settings.FailureDomain}
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// announce makes the next exchange come at once.
func (f *fleet) announce() {
	select {
	case f.now <- struct{}{}:
	default:
	}
}

// run exchanges reports until ctx ends.
func (f *fleet) run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeEvery)
	defer ticker.Stop()
	for {
		everyone := false
		select {
		case <-ctx.Done():
			return nil
		case <-f.now:
			everyone = true
		case <-ticker.C:
		}
		for _, vm := range f.due(everyone) {
			go f.exchange(ctx, vm)
		}
	}
}

// due names the VMs to exchange with. Of two partners one calls, so that each pair
// exchanges once; the other one calls too when it hears nothing.
func (f *fleet) due(everyone bool) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrange(time.Now())
	var out []string
	for _, partner := range f.plan.Partners {
		m := f.members[partner.Name]
		if m == nil || m.calling {
			continue
		}
		quiet := time.Since(later(m.heard, m.started)) > unheardAfter/2
		if !everyone && !quiet && !partner.Call {
			continue
		}
		m.calling = true
		out = append(out, partner.Name)
	}
	return out
}

func (f *fleet) exchange(ctx context.Context, vm string) {
	f.mu.Lock()
	m := f.members[vm]
	f.mu.Unlock()
	if m == nil {
		return
	}
	var answer *peerpb.VMReport
	report := f.report(vm)
	err := f.p.pool.Call(ctx, m.Peers, exchangeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = peerpb.NewVMsClient(conn).Exchange(ctx, report)
		return err
	})
	f.mu.Lock()
	m.calling = false
	m.failures++
	if err == nil {
		m.failures = 0
	}
	f.mu.Unlock()
	if err != nil {
		f.sums.forget(vm)
		f.p.planner.contents.forget(vm)
		return
	}
	f.take(ctx, answer)
}

// report is what this VM tells another one.
func (f *fleet) report(receiver string) *peerpb.VMReport {
	revision, _ := f.p.configuration()
	scope := f.scopeFor(receiver)
	out := &peerpb.VMReport{
		Vm: f.p.settings.VM, Incarnation: f.incarnation, Sequence: f.sequence.Add(1),
		CallerAddress: f.p.settings.Callers, PeerAddress: f.p.peerAddress(), Ready: f.p.ready(),
		Scope: int32(scope), ConfigurationRevision: revision, ViewRevision: f.p.tracker.at(),
		Leaving: f.p.gone.names(), Alive: f.alive(scope, receiver),
	}
	f.sums.fill(out, scope, receiver, f.incarnationOf(receiver), f.own())
	f.p.planner.contents.describe(out, receiver)
	return out
}

// scopeFor returns what a report to another VM covers.
func (f *fleet) scopeFor(receiver string) topology.Scope {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[receiver]
	if m == nil || f.plan == nil {
		return topology.ScopeOwn
	}
	return f.plan.ScopeFor(topology.VM{Name: receiver, Domain: m.Domain})
}

// own is the work of this VM.
func (f *fleet) own() work {
	return work{
		admitted: f.p.limiter.Admitted(), demand: f.p.assigner.Demand(), loads: f.p.assigner.Loads(), inUse: f.p.assigner.InUse(),
	}
}

func (f *fleet) incarnationOf(vm string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[vm]; m != nil {
		return m.Incarnation
	}
	return 0
}

// alive names the VMs that take callers, as far as the scope goes.
func (f *fleet) alive(scope topology.Scope, receiver string) []string {
	if scope == topology.ScopeOwn {
		return nil
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for vm, m := range f.members {
		near := m.Domain == f.p.settings.FailureDomain
		if vm != receiver && m.ready && now.Sub(m.heard) < unheardAfter/2 && (near || scope == topology.ScopeAll) {
			out = append(out, vm)
		}
	}
	return out
}

// take takes in what another VM tells.
func (f *fleet) take(ctx context.Context, r *peerpb.VMReport) {
	now := time.Now()
	f.mu.Lock()
	m := f.members[r.Vm]
	if m == nil || m.Incarnation != r.Incarnation || r.Sequence <= m.sequence {
		f.mu.Unlock()
		return
	}
	m.sequence, m.heard, m.ready = r.Sequence, now, r.Ready
	for _, vm := range r.Alive {
		if other := f.members[vm]; other != nil {
			other.heard, other.ready = now, true
		}
	}
	address, domain := m.Peers, m.Domain
	near := domain == f.p.settings.FailureDomain
	plan := f.plan
	f.mu.Unlock()
	if plan != nil && plan.Accepts(topology.VM{Name: r.Vm, Domain: domain}, topology.Scope(r.Scope)) {
		f.takeWork(r, plan.Mesh, near, now)
	}
	f.p.planner.hearContents(r)
	if r.ViewRevision > f.p.tracker.at() {
		f.p.peerDepartures(r.Leaving)
	}
	if revision, _ := f.p.configuration(); r.ConfigurationRevision > revision {
		f.fetchConfiguration(ctx, address, revision)
	}
}

// takeWork takes in what the VMs do that a report covers.
func (f *fleet) takeWork(r *peerpb.VMReport, mesh, near bool, now time.Time) {
	if !mesh {
		f.sums.take(r, near, now)
	}
	f.p.assigner.SetOthers(r.Vm, loadsOf(r), now)
	f.p.limiter.Report(r.Vm, r.Incarnation, r.Admitted, now)
	f.p.planner.heardDemand(r.Vm, r.Incarnation, demandOf(r.Demand), now)
	f.p.planner.heardUse(r.InUse, now)
}

// fetchConfiguration reads a newer configuration from another VM. The store may
// turn this VM away while others have learnt of a key that was withdrawn.
func (f *fleet) fetchConfiguration(ctx context.Context, address string, have int64) {
	var answer *peerpb.ConfigurationResponse
	err := f.p.pool.Call(ctx, address, exchangeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = peerpb.NewVMsClient(conn).Configuration(ctx, &peerpb.ConfigurationRequest{HaveRevision: have})
		return err
	})
	if err != nil || len(answer.Value) == 0 {
		return
	}
	f.p.configure(answer.Revision, answer.Value)
}

// Addresses implements platform.Directory. The VMs of the caller's failure domain
// come with the others: every one carries its share, and callers choose at random.
func (f *fleet) Addresses(string) ([]string, time.Duration) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	if f.p.ready() {
		out = append(out, f.p.settings.Callers)
	}
	for _, m := range f.members {
		if m.ready && now.Sub(later(m.heard, m.started)) < unheardAfter {
			out = append(out, m.Callers)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxAddresses)], min(addressLifetime, f.p.settings.Bounds.AddressLifetime)
}

// vmServer answers other VMs.
type vmServer struct {
	peerpb.UnimplementedVMsServer
	p *Process
}

// Exchange implements peerpb.VMsServer.
func (s *vmServer) Exchange(ctx context.Context, in *peerpb.VMReport) (*peerpb.VMReport, error) {
	go s.p.fleet.take(context.WithoutCancel(ctx), in)
	return s.p.fleet.report(in.Vm), nil
}

// Configuration implements peerpb.VMsServer.
func (s *vmServer) Configuration(_ context.Context, in *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	revision, value := s.p.configuration()
	if revision <= in.HaveRevision {
		return &peerpb.ConfigurationResponse{Revision: revision}, nil
	}
	return &peerpb.ConfigurationResponse{Revision: revision, Value: value}, nil
}

// EnsureAdapter implements peerpb.VMsServer.
func (s *vmServer) EnsureAdapter(ctx context.Context, in *peerpb.EnsureAdapterRequest) (*peerpb.EnsureAdapterResponse, error) {
	instance, err := s.p.planner.ensure(ctx, in.Service, in.Model, in.Adapter)
	if err != nil {
		return nil, err
	}
	return &peerpb.EnsureAdapterResponse{Instance: instance}, nil
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
