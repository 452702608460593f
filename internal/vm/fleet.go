package vm

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/aggregate"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/topology"
)

const (
	// vmPrefix is the prefix of registration keys; a VM's ID follows.
	vmPrefix = projectPrefix + "vms/"
	// registrationLease is how long a VM that died stays registered. When all VMs restart at
	// once, they learn the size of the fleet from these entries before the others have
	// registered again.
	registrationLease = 6 * time.Second
	// renewInterval is how often the registration's lease is renewed: two renewals may be
	// lost. Renewals are most of a large fleet's load on the store.
	renewInterval = 1800 * time.Millisecond
	// exchangeInterval is how often a VM exchanges reports with each partner. Rate limits and
	// the choice of engines work on data of this age.
	exchangeInterval = 250 * time.Millisecond
	// standbyInterval is how often a VM exchanges reports with its standbys, the VMs that
	// would replace its hub.
	standbyInterval = time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 700 * time.Millisecond
	// peerTimeout is the time without a report of a VM after which callers are no longer sent
	// to it. After half of it, the partner that usually waits for exchanges starts them too,
	// and a hub no longer counts the VM as taking callers.
	peerTimeout = 1500 * time.Millisecond
	// removalTimeout is how long a VM that is not registered stays a member after it was last
	// seen alive.
	removalTimeout = 5 * time.Second
	// addressLifetime is how long callers may cache an address answer. They ask again at this
	// interval; until then, a VM that has died costs them a failed connection attempt.
	addressLifetime = 2 * time.Second
	// maxAddresses bounds the number of addresses in an answer.
	maxAddresses = 64
)

// registration is the value of a VM's key in the store.
type registration struct {
	Incarnation int64  `json:"incarnation"`
	Callers     string `json:"callers"`
	Peers       string `json:"peers"`
	Domain      string `json:"domain"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// fleet tracks the other VMs and exchanges reports with them.
type fleet struct {
	process        *Process
	incarnation    int64
	sequence       atomic.Uint64
	exchangeSignal chan struct{}
	// written is the registration as this VM has last written it.
	written writtenRegistration
	// registrationSignal has the registration looked at.
	registrationSignal chan struct{}
	// fetchingConfiguration is set while a configuration is read from another VM.
	fetchingConfiguration atomic.Bool

	aggregator *aggregator
	notifier   *dispatchNotifier
	ends       *endNotices
	origins    *originNotices
	slowdowns  *slowdownNotices
	// announcements tells other VMs of requests with long prompts.
	announcements *announcements
	places        *places

	// reportMu serializes the processing of received reports.
	reportMu sync.Mutex

	mu      sync.Mutex
	members map[string]*member
	// rosters holds, by hub, the VMs that the hub lists as taking callers; two hubs may list
	// the same VM for a while. Entries are kept independently of members, since a hub lists a
	// VM only once: the VM may restart unnoticed by its hub, or become a member only after it
	// was listed.
	rosters map[string]map[string]bool
	plan    *topology.Plan
	// planOutdated is set when the members have changed since the plan was made.
	planOutdated bool
}

// member is the state of another VM.
type member struct {
	registration
	registered bool
	// revision is the store revision of the registration. A VM that has restarted may be
	// known from its own report before its new registration arrives.
	revision store.Revision
	// lastReport is when its last report arrived, firstSeen when it became known.
	lastReport, firstSeen time.Time
	sequence              uint64
	ready                 bool
	exchanging            bool
	// lastExchange is when the last exchange with it began.
	lastExchange time.Time
	// failedExchanges is the number of consecutive failed exchanges.
	failedExchanges int
	// unavailableAsHub is set if it cannot serve as a hub.
	unavailableAsHub bool
	// ignoresEras is set if it is of a build whose fencing tokens do not hold the store's era.
	ignoresEras bool
	// leads is set if it sends orders to engines.
	leads bool
	// unreachable lists the services whose upstreams it does not reach.
	unreachable []string
	// rateLimitsDigest is the digest of the rate limits that it last reported. rateLimitsVersion is the
	// version of this VM's rate limits when both last had the same.
	rateLimitsDigest, rateLimitsVersion uint64
	// applied is the position up to which its reports were applied here, acknowledged the
	// position up to which it has applied reports of this VM.
	applied, acknowledged progress
	// departuresApplied is the version of its departures that was applied here, departuresAcknowledged the
	// version of this VM's that it has applied.
	departuresApplied, departuresAcknowledged uint64
	// speeds is what it was told of the speeds of upstreams.
	speeds speedsTold
}

// progress is the position up to which one VM has applied another VM's reports. It restarts
// when the scope of the reports changes.
type progress struct {
	scope   topology.Scope
	version uint64
}

func newFleet(p *Process) *fleet {
	now := time.Now()
	own := aggregate.Source{VM: p.settings.VM, Incarnation: now.UnixNano()}
	f := &fleet{process: p, incarnation: own.Incarnation, aggregator: newAggregator(own, now), members: make(map[string]*member), rosters: make(map[string]map[string]bool), exchangeSignal: make(chan struct{}, 1), registrationSignal: make(chan struct{}, 1)}
	f.notifier = newDispatchNotifier(f)
	f.ends = newEndNotices(f)
	f.origins = newOriginNotices(f)
	f.slowdowns = newSlowdownNotices(f)
	f.places = newPlaces(f)
	f.announcements = newAnnouncements(f)
	if p.enabled(PartAnnouncements) {
		p.assigner.OnDispatch(f.announcements.announce)
	}
	p.assigner.OnPlace(f.notifier.notify)
	peerpb.RegisterVMsServer(p.peerServer.Registrar(), &vmServer{process: p})
	return f
}

// size returns the number of VMs that share limits, this one included.
func (f *fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members) + 1
}

// updateRegistrations applies the registrations among the keys of this project.
func (f *fleet) updateRegistrations(own map[string]store.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var added []string
	for _, m := range f.members {
		m.registered = false
	}
	for key, item := range own {
		vm, ok := strings.CutPrefix(key, vmPrefix)
		if !ok || vm == "" || vm == f.process.settings.VM {
			continue
		}
		var r registration
		if json.Unmarshal(item.Value, &r) != nil || r.Peers == "" {
			continue
		}
		m := f.members[vm]
		if m != nil && (item.Revision <= m.revision || m.isCopy(r, item.Revision, now)) {
			m.registered = true
			continue
		}
		if m == nil || m.Incarnation != r.Incarnation {
			m = &member{firstSeen: now, ready: true}
			f.process.planner.contents.forgetSent(vm)
			f.members[vm] = m
			added = append(added, vm)
		}
		m.registration, m.registered, m.revision = r, true, item.Revision
		f.planOutdated = true
	}
	f.logNewMembers(added)
	f.expireMembers(now)
}

// isCopy reports whether a registration is of an earlier process of the VM, which the store has from a copy.
func (m *member) isCopy(r registration, revision store.Revision, now time.Time) bool {
	return revision.Era() > m.revision.Era() && r.Incarnation < m.Incarnation && now.Sub(m.lastReport) < peerTimeout
}

// maxIndividualLogs is the number of VMs becoming known at once up to which each gets its own
// log line.
const maxIndividualLogs = 8

// logNewMembers logs the VMs that have become known; if there are many, as when hundreds
// start together, only their number. It must be called with the lock held.
func (f *fleet) logNewMembers(vms []string) {
	if len(vms) > maxIndividualLogs {
		f.process.log.Info().Str("event", "vms_known").Int("count", len(vms)).Send()
		return
	}
	for _, vm := range vms {
		f.process.log.Info().Str("event", "vm_known").Str("peer", vm).Str("peers", f.members[vm].Peers).Send()
	}
}

// expireMembers removes the members that are not registered and have not been seen for
// removalTimeout, and updates the plan. It must be called with the lock held.
func (f *fleet) expireMembers(now time.Time) {
	for vm, m := range f.members {
		if !m.registered && now.Sub(f.lastSeen(vm, m)) > removalTimeout {
			delete(f.members, vm)
			f.planOutdated = true
			f.process.log.Info().Str("event", "vm_forgotten").Str("peer", vm).Send()
		}
	}
	f.updatePlan(now)
}

// updatePlan recomputes the partners for exchanges if anything that they depend on has
// changed. It must be called with the lock held.
func (f *fleet) updatePlan(now time.Time) {
	for _, m := range f.members {
		if unavailable := m.hubUnavailable(now); unavailable != m.unavailableAsHub {
			m.unavailableAsHub, f.planOutdated = unavailable, true
		}
	}
	if f.plan != nil && !f.planOutdated {
		return
	}
	f.planOutdated = false
	others := make([]topology.VM, 0, len(f.members))
	for vm, m := range f.members {
		others = append(others, topology.VM{Name: vm, Domain: m.Domain, Capacity: m.LinkMbps, Silent: m.unavailableAsHub})
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
			// Its reports no longer count, and what it reported before is discarded.
			m.applied = progress{}
		}
	}
	hubs := f.plan.Hubs()
	if !f.plan.IsHub() {
		hubs = []string{f.plan.Hub()}
	}
	for hub := range f.rosters {
		if slices.Contains(hubs, hub) {
			continue
		}
		delete(f.rosters, hub)
		if m := f.members[hub]; m != nil {
			m.applied = progress{}
		}
	}
	f.process.limiter.SetPeers(weights, len(f.members)+1, now)
	f.process.assigner.SetFleet(f.process.settings.VM, slices.Collect(maps.Keys(f.members)), now)
}

func (f *fleet) selfVM() topology.VM {
	return topology.VM{Name: f.process.settings.VM, Domain: f.process.settings.FailureDomain, Capacity: f.process.settings.LinkMbps}
}

// hubUnavailable reports whether the VM cannot serve as a hub: it is no longer registered, or
// exchanges with it have failed for a while.
func (m *member) hubUnavailable(now time.Time) bool {
	return !m.registered || (m.failedExchanges >= hubFailureThreshold && now.Sub(m.lastReport) > hubSilenceTimeout)
}

const (
	// hubFailureThreshold is the number of consecutive failed exchanges with a hub, and
	// hubSilenceTimeout the time since its last report, after which the next VM replaces it.
	hubFailureThreshold = 1
	hubSilenceTimeout   = 600 * time.Millisecond
)

// maxFallbackHubs is the number of other hubs that a VM may follow when its own fails.
const maxFallbackHubs = 2

// hubs returns the addresses of the VMs through which this one follows the store, in order of
// preference; none if this VM watches the store itself.
func (f *fleet) hubs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plan == nil || f.plan.Source() == "" {
		return nil
	}
	fallback := f.plan.FallbackSources()
	var out []string
	for _, vm := range append([]string{f.plan.Source()}, fallback[:min(maxFallbackHubs, len(fallback))]...) {
		if m := f.members[vm]; m != nil {
			out = append(out, m.Peers)
		}
	}
	return out
}

// isHub reports whether this VM is a hub.
func (f *fleet) isHub() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan != nil && f.plan.IsHub()
}

// lastSeen returns when a VM was last known to be alive, from its own reports or from a hub
// that lists it. It must be called with the lock held.
func (f *fleet) lastSeen(vm string, m *member) time.Time {
	return later(later(m.lastReport, m.firstSeen), f.rosterTime(vm))
}

// rosterTime returns when the last report of a hub that lists a VM arrived, zero if no hub
// does. It must be called with the lock held.
func (f *fleet) rosterTime(vm string) time.Time {
	at := time.Time{}
	for hub, vms := range f.rosters {
		if m := f.members[hub]; m != nil && vms[vm] {
			at = later(at, m.lastReport)
		}
	}
	return at
}

// takesCallers reports whether callers may be sent to a VM: it is ready, and reaches the upstreams that
// others reach. It must be called with the lock held.
func (f *fleet) takesCallers(vm string, m *member, seen time.Time, within time.Duration, now time.Time) bool {
	return f.isReady(vm, m, seen, within, now) && f.countCut(vm, m.unreachable, now) == 0
}

// isReady reports whether a hub that lists a VM has reported within a time, or the VM counts as ready and
// was last seen within that time. It must be called with the lock held.
func (f *fleet) isReady(vm string, m *member, seen time.Time, within time.Duration, now time.Time) bool {
	return now.Sub(f.rosterTime(vm)) < within || (m.ready && now.Sub(seen) < within)
}

// countCut returns how many of the services that a VM does not reach another VM reaches. If nobody reaches
// a service, no VM is worse than the others. It must be called with the lock held.
func (f *fleet) countCut(vm string, unreachable []string, now time.Time) int {
	n := 0
	for _, service := range unreachable {
		if f.othersReach(vm, service, now) {
			n++
		}
	}
	return n
}

// othersReachService reports whether another VM reaches the upstreams of a service.
func (f *fleet) othersReachService(service string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.othersReach(f.process.settings.VM, service, now)
}

// othersReach reports whether this VM, or one that reports to it, reaches the upstreams of a service. It
// must be called with the lock held.
func (f *fleet) othersReach(except, service string, now time.Time) bool {
	if except != f.process.settings.VM && f.process.ready() && !slices.Contains(f.process.unreachable(), service) {
		return true
	}
	for vm, m := range f.members {
		if vm != except && m.ready && now.Sub(m.lastReport) < peerTimeout && !slices.Contains(m.unreachable, service) {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// peerAddressOf returns the address for peers of another VM.
func (f *fleet) peerAddressOf(vm string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[vm]
	if m == nil {
		return "", false
	}
	return m.Peers, true
}
