package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// Default settings and constants of the lending policy.
const (
	DefaultTerm       = 5 * time.Second
	DefaultMaxSilence = 12 * time.Hour
	DefaultMaxHolders = 24
	DefaultLoanTTL    = 3 * time.Second
	DefaultMaxWait    = 200 * time.Millisecond
	DefaultMaxCollect = 400 * time.Millisecond

	// driftDivisor is the divisor of a duration that gives the safety margin for
	// clocks that run at different speeds: one fiftieth.
	driftDivisor = 50
	// witnessCount is the number of witnesses of each record.
	witnessCount = 2
	// minLoanTTL is the shortest term for which a loan is given or renewed.
	minLoanTTL = 100 * time.Millisecond
	// maxQueue is the maximum number of queued requests per team.
	maxQueue = 64

	demandInterval        = 50 * time.Millisecond
	minDemandTimeConstant = 250 * time.Millisecond
	maxDemandTimeConstant = 4 * time.Second
	demandSpanRequests    = 8
	frequencyScale        = 1000
	demandHeadroomPercent = 105
)

// Config holds the settings of the state machine. Zero values take defaults.
type Config struct {
	// Prefix is the prefix of the keys in the key-value service.
	Prefix string
	// Self is the local process. Its incarnation must grow with every start.
	Self Holder
	// Address is where the local process receives messages. At any time at most
	// one process receives messages at an address.
	Address string
	// FailureDomain is the local VM's failure domain.
	FailureDomain string
	// Term bounds how long authority lasts after a renewal was sent. The holder uses
	// the term less a margin for clock drift, other VMs wait for the whole term. The
	// default is DefaultTerm.
	Term time.Duration
	// MaxSilence is how long witnesses may renew an authority without a renewal that
	// the key-value service confirms. The default is DefaultMaxSilence.
	MaxSilence time.Duration
	// MaxHolders is the maximum number of VMs that hold slots. The others borrow.
	// The default is DefaultMaxHolders.
	MaxHolders int
	// LoanTTL is the maximum term of a loan that is not renewed. The default is
	// DefaultLoanTTL.
	LoanTTL time.Duration
	// MaxWait is how long a request may wait for tokens. The default is
	// DefaultMaxWait.
	MaxWait time.Duration
	// MaxCollect is how long a large request may wait that needs tokens of several
	// VMs, and the maximum term of the loans for it. The default is
	// DefaultMaxCollect.
	MaxCollect time.Duration
}

func (c Config) withDefaults() Config {
	c.Term = cmp.Or(c.Term, DefaultTerm)
	c.MaxSilence = cmp.Or(c.MaxSilence, DefaultMaxSilence)
	c.MaxHolders = cmp.Or(c.MaxHolders, DefaultMaxHolders)
	c.LoanTTL = cmp.Or(c.LoanTTL, DefaultLoanTTL)
	c.MaxWait = cmp.Or(c.MaxWait, DefaultMaxWait)
	c.MaxCollect = cmp.Or(c.MaxCollect, DefaultMaxCollect)
	return c
}

// Peer is the state of another VM according to the membership protocol.
type Peer struct {
	Holder
	// Address is where it receives messages.
	Address string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Alive means that the membership protocol considers the VM alive.
	Alive bool
	// Leaving means that it is shutting down.
	Leaving bool
}

// faults breaks rules of the protocol on purpose, so that tests can check that the
// oracle detects the violations.
type faults struct {
	authorityFromAnswer bool
	noClosingWait       bool
	lendBeforeTaking    bool
	acceptRepeated      bool
	giveBeforeStopping  bool
	promiseAfterConsent bool
}

// Machine is the quota state machine of one process. It is not safe for concurrent
// use. Methods whose result depends on time take the current readings of the local
// clocks. Actions returns the actions that the other methods have queued.
type Machine struct {
	cfg           Config
	started       clock.Reading
	limitsVersion int64
	teams         map[string]*account
	peers         map[string]Peer
	actions       []Action
	lastNumber    uint64
	faults        faults

	authority   authority
	own         ownRecord
	assignment  assignmentState
	promises    promises
	observer    observer
	recordPolls map[string]*recordPoll
	ops         map[uint64]operation
	leaving     bool
	joined      bool
	stats       Stats
	// holders lists the processes that should hold slots. holderVMs is the set of
	// their VMs.
	holders   []Holder
	holderVMs map[string]bool
}

// New returns the machine of a process that has just started. It has no teams and no
// authority.
func New(now clock.Reading, cfg Config) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg:         cfg,
		started:     now,
		teams:       make(map[string]*account),
		peers:       make(map[string]Peer),
		authority:   authority{term: cfg.Term - cfg.Term/driftDivisor, maxSilence: cfg.MaxSilence},
		own:         newOwnRecord(),
		promises:    newPromises(),
		observer:    newObserver(),
		recordPolls: make(map[string]*recordPoll),
		ops:         make(map[uint64]operation),
		stats:       newStats(),
		holderVMs:   make(map[string]bool),
	}
	m.chooseHolders()
	return m
}

// Actions returns the actions queued since the last call, in order.
func (m *Machine) Actions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// SetLimits applies the limits of a configuration version. A version older than the
// one in force is ignored. Balances are kept and clipped to the new limits; the balance
// of a new team starts at zero. Queued requests of removed teams are refused.
func (m *Machine) SetLimits(now clock.Reading, version int64, limits []Limit) {
	if version < m.limitsVersion {
		return
	}
	m.limitsVersion = version
	next := make(map[string]*account, len(limits))
	for _, limit := range limits {
		limit.Burst = min(limit.Burst, MaxTokens)
		limit.Rate = min(limit.Rate, MaxTokens)
		a, known := m.teams[limit.Team]
		if !known {
			a = newAccount(now, limit)
		}
		m.refresh(now, a)
		a.limit = limit
		a.reshape(now)
		next[limit.Team] = a
	}
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		if _, stays := next[name]; !stays {
			m.refuseAll(m.teams[name], CauseUnknownTeam)
		}
	}
	m.teams = next
}

// SetPeers replaces the view of the other VMs. Its cost grows with the size of the
// fleet, so it should be called only when the view changes.
func (m *Machine) SetPeers(peers []Peer) {
	clear(m.peers)
	for _, p := range peers {
		m.peers[p.VM] = p
	}
	m.chooseHolders()
}

// Leave makes the process transfer its slots to other VMs and close its record. Left
// reports when that is done.
func (m *Machine) Leave() {
	m.leaving = true
	m.chooseHolders()
}

// Left reports whether the process, after Leave, has closed its record or holds neither
// authority nor slots.
func (m *Machine) Left() bool {
	return m.leaving && (m.own.phase == recordClosed || (!m.authority.held && m.assignment.usableSlots() == 0))
}

// Tick performs the time-driven work. It must be called every few milliseconds while
// requests wait, and a few times per second otherwise.
func (m *Machine) Tick(now clock.Reading) {
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		a := m.teams[name]
		m.refresh(now, a)
		a.measureDemand(now.Mono)
		m.serveQueue(now, a)
		m.loanTick(now, a)
	}
	m.recordTick(now)
	m.assignmentTick(now)
	m.recordPollTick(now)
}

// Waiting reports whether requests wait for tokens.
func (m *Machine) Waiting() bool {
	for _, a := range m.teams {
		if len(a.queue) > 0 {
			return true
		}
	}
	return false
}

func (m *Machine) refresh(now clock.Reading, a *account) {
	a.refresh(now, m.ownUnits(now), m.cfg.LoanTTL/driftDivisor)
}

// ownUnits returns the number of units of the VM's usable slots, zero without authority.
func (m *Machine) ownUnits(now clock.Reading) int64 {
	if !m.authority.live(now) {
		return 0
	}
	return m.assignment.usableSlots() * UnitsPerSlot
}

func (m *Machine) emit(action Action) {
	m.actions = append(m.actions, action)
}

func (m *Machine) send(to string, message Message) {
	m.stats.Messages++
	m.emit(Send{To: to, Message: message})
}

func (m *Machine) nextNumber() uint64 {
	m.lastNumber++
	return m.lastNumber
}

// Receive processes a message from another VM.
func (m *Machine) Receive(now clock.Reading, from string, message Message) {
	switch msg := message.(type) {
	case Ask:
		m.onAsk(now, from, msg)
	case Answer:
		m.onAnswer(now, from, msg)
	case Return:
		m.onReturn(now, msg)
	case Renew:
		m.onRenew(now, from, msg)
	case Renewed:
		m.onRenewed(now, msg)
	case PromiseRequest:
		m.onPromiseRequest(now, from, msg)
	case Promise:
		m.onPromise(now, msg)
	}
}
