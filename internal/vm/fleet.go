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

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
)

const (
	// vmPrefix is followed by a VM's ID.
	vmPrefix = ownPrefix + "vms/"
	// vmLease is how long a VM that died stays registered.
	vmLease = 4 * time.Second
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

	mu      sync.Mutex
	members map[string]*member
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
}

func newFleet(p *Process) *fleet {
	f := &fleet{p: p, incarnation: time.Now().UnixNano(), members: make(map[string]*member), now: make(chan struct{}, 1)}
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

// forget drops the VMs that are neither registered nor heard of. It must be called
// with the lock held.
func (f *fleet) forget(now time.Time) {
	names := make([]string, 0, len(f.members))
	for vm, m := range f.members {
		if !m.registered && now.Sub(later(m.heard, m.started)) > forgetAfter {
			delete(f.members, vm)
			f.p.log.Info().Str("event", "vm_forgotten").Str("peer", vm).Send()
			continue
		}
		names = append(names, vm)
	}
	f.p.limiter.SetPeers(names, now)
}

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
		report := f.report()
		for _, vm := range f.due(everyone) {
			go f.exchange(ctx, vm, report)
		}
	}
}

// due names the VMs to exchange with. Of two VMs the one with the lower name calls,
// so that each pair exchanges once; the other one calls too when it hears nothing.
func (f *fleet) due(everyone bool) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for vm, m := range f.members {
		quiet := time.Since(later(m.heard, m.started)) > unheardAfter/2
		if m.calling || (!everyone && !quiet && f.p.settings.VM > vm) {
			continue
		}
		m.calling = true
		out = append(out, vm)
	}
	return out
}

func (f *fleet) exchange(ctx context.Context, vm string, report *peerpb.VMReport) {
	f.mu.Lock()
	m := f.members[vm]
	f.mu.Unlock()
	if m == nil {
		return
	}
	var answer *peerpb.VMReport
	err := f.p.pool.Call(ctx, m.Peers, exchangeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = peerpb.NewVMsClient(conn).Exchange(ctx, report)
		return err
	})
	f.mu.Lock()
	m.calling = false
	f.mu.Unlock()
	if err == nil {
		f.take(ctx, answer)
	}
}

// report is what this VM tells the others.
func (f *fleet) report() *peerpb.VMReport {
	revision, _ := f.p.configuration()
	out := &peerpb.VMReport{
		Vm: f.p.settings.VM, Incarnation: f.incarnation, Sequence: f.sequence.Add(1),
		CallerAddress: f.p.settings.Callers, PeerAddress: f.p.peerAddress(), Ready: f.p.ready(),
		ConfigurationRevision: revision, Admitted: f.p.limiter.Admitted(), Demand: demandReport(f.p.assigner.Demand()),
		Leaving: f.p.gone.names(), InUse: f.p.assigner.InUse(),
	}
	for id, l := range f.p.assigner.Loads() {
		out.Engines = append(out.Engines, &peerpb.EngineLoad{
			Instance: id, PrefillTokens: int64(l.PrefillTokens), KvTokens: int64(l.KVTokens), Requests: int32(l.Requests),
		})
	}
	f.p.planner.describe(out)
	return out
}

func demandReport(demand map[string]assign.Demand) map[string]*peerpb.Demand {
	out := make(map[string]*peerpb.Demand, len(demand))
	for item, d := range demand {
		out[item] = &peerpb.Demand{Tokens: d.Tokens, Requests: d.Requests}
	}
	return out
}

func demandOf(report map[string]*peerpb.Demand) map[string]assign.Demand {
	out := make(map[string]assign.Demand, len(report))
	for item, d := range report {
		out[item] = assign.Demand{Tokens: d.GetTokens(), Requests: d.GetRequests()}
	}
	return out
}

// take takes in what another VM tells of itself.
func (f *fleet) take(ctx context.Context, r *peerpb.VMReport) {
	now := time.Now()
	f.mu.Lock()
	m := f.members[r.Vm]
	if m == nil || m.Incarnation != r.Incarnation || r.Sequence <= m.sequence {
		f.mu.Unlock()
		return
	}
	m.sequence, m.heard, m.ready = r.Sequence, now, r.Ready
	address := m.Peers
	f.mu.Unlock()
	loads := make(map[string]assign.Load, len(r.Engines))
	for _, e := range r.Engines {
		loads[e.Instance] = assign.Load{Requests: int(e.Requests), PrefillTokens: int(e.PrefillTokens), KVTokens: int(e.KvTokens)}
	}
	f.p.assigner.SetOthers(r.Vm, loads, now)
	f.p.limiter.Report(r.Vm, r.Incarnation, r.Admitted, now)
	f.p.planner.heardDemand(r.Vm, r.Incarnation, demandOf(r.Demand), now)
	f.p.planner.heardUse(r.InUse, now)
	f.p.planner.heardContents(r)
	f.p.peerDepartures(r.Leaving)
	if revision, _ := f.p.configuration(); r.ConfigurationRevision > revision {
		f.fetchConfiguration(ctx, address, revision)
	}
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
	return s.p.fleet.report(), nil
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
