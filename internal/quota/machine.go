package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// The default settings and the constants of the lending policy.
const (
	DefaultTerm       = 5 * time.Second
	DefaultMaxSilence = 12 * time.Hour
	DefaultMaxHolders = 24
	DefaultLoanTTL    = 3 * time.Second
	DefaultMaxWait    = 200 * time.Millisecond
	DefaultCollect    = 400 * time.Millisecond

	// driftDivisor gives the margin for clocks that run at different speeds: a
	// fiftieth of the time in question.
	driftDivisor = 50
	// witnessCount is the number of witnesses of each record.
	witnessCount = 2
	// minLoanTTL is the shortest loan worth giving.
	minLoanTTL = 100 * time.Millisecond
	// maxQueue is the number of requests of a team that may wait for tokens.
	maxQueue = 64

	demandInterval        = 50 * time.Millisecond
	minDemandMemory       = 250 * time.Millisecond
	maxDemandMemory       = 4 * time.Second
	demandRequests        = 8
	frequencyScale        = 1000
	demandHeadroomPercent = 105
)

// Config holds the settings of the state machine. Zero values take defaults.
type Config struct {
	// Prefix precedes the keys in the key-value service.
	Prefix string
	// Self is the local process. Its incarnation must grow with every start.
	Self Holder
	// Address is where the local process takes in messages. At any time at most
	// one process takes in messages at an address.
	Address string
	// FailureDomain is the local VM's failure domain.
	FailureDomain string
	// Term is how long authority lasts after a renewal was sent.
	Term time.Duration
	// MaxSilence is how long witnesses may carry an authority on while the
	// key-value service confirms nothing.
	MaxSilence time.Duration
	// MaxHolders is the number of VMs that hold slots. The others borrow.
	MaxHolders int
	// LoanTTL is how long a loan lasts unless it is renewed.
	LoanTTL time.Duration
	// MaxWait is how long a request waits for tokens of other VMs.
	MaxWait time.Duration
	// MaxCollect is how long a request waits that needs tokens of several VMs.
	MaxCollect time.Duration
}

func (c Config) withDefaults() Config {
	c.Term = cmp.Or(c.Term, DefaultTerm)
	c.MaxSilence = cmp.Or(c.MaxSilence, DefaultMaxSilence)
	c.MaxHolders = cmp.Or(c.MaxHolders, DefaultMaxHolders)
	c.LoanTTL = cmp.Or(c.LoanTTL, DefaultLoanTTL)
	c.MaxWait = cmp.Or(c.MaxWait, DefaultMaxWait)
	c.MaxCollect = cmp.Or(c.MaxCollect, DefaultCollect)
	return c
}

// Peer is another VM as the membership sees it.
type Peer struct {
	Holder
	// Address is where it takes in messages.
	Address string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Heard means that it was heard of late.
	Heard bool
	// Leaving means that it is shutting down.
	Leaving bool
}

// faults break rules on purpose, so that tests can show that the oracle finds it.
type faults struct {
	authorityFromAnswer bool
	noClosingWait       bool
	lendBeforeTaking    bool
	acceptRepeated      bool
	giveBeforeStopping  bool
	promiseAfterConsent bool
}

// Machine is the quota state machine of one process. It is not safe for
// concurrent use. Every method takes the present readings of the local clocks
// and leaves actions to be fetched by Actions.
type Machine struct {
	cfg     Config
	started clock.Reading
	version int64
	teams   map[string]*account
	peers   map[string]Peer
	out     []Action
	numbers uint64
	faults  faults

	authority authority
	own       ownRecord
	shares    sharing
	promises  promises
	observer  observer
	duties    map[string]*duty
	ops       map[uint64]operation
	leaving   bool
	joined    bool
	stats     Stats
	// holders lists the processes that should hold slots, holding their VMs.
	holders []Holder
	holding map[string]bool
}

// New returns the machine of a process that has just started and may use nothing.
func New(now clock.Reading, cfg Config) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg:       cfg,
		started:   now,
		teams:     make(map[string]*account),
		peers:     make(map[string]Peer),
		authority: authority{term: cfg.Term - cfg.Term/driftDivisor, maxSilence: cfg.MaxSilence},
		own:       newOwnRecord(),
		promises:  newPromises(),
		observer:  newObserver(),
		duties:    make(map[string]*duty),
		ops:       make(map[uint64]operation),
		stats:     newStats(),
		holding:   make(map[string]bool),
	}
	m.chooseHolders()
	return m
}

// Actions returns what is to be done since the last call, in order.
func (m *Machine) Actions() []Action {
	out := m.out
	m.out = nil
	return out
}

// SetLimits puts the limits of a configuration in force. An older version than
// the one in force is ignored. Balances are kept and clipped; a new team's
// balance starts empty.
func (m *Machine) SetLimits(now clock.Reading, version int64, limits []Limit) {
	if version < m.version {
		return
	}
	m.version = version
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

// SetPeers gives the present view of the other VMs. It costs time in proportion
// to the fleet, so it is to be called when the view changes.
func (m *Machine) SetPeers(peers []Peer) {
	clear(m.peers)
	for _, p := range peers {
		m.peers[p.VM] = p
	}
	m.chooseHolders()
}

// Leave makes the process give its slots away and close its record. Left reports
// when that is done.
func (m *Machine) Leave() {
	m.leaving = true
	m.chooseHolders()
}

// Left reports whether the process holds nothing any more.
func (m *Machine) Left() bool {
	return m.leaving && (m.own.phase == recordClosed || (!m.authority.held && m.shares.usable() == 0))
}

// Tick lets time pass. It is to be called every few milliseconds while requests
// wait, and a few times a second otherwise.
func (m *Machine) Tick(now clock.Reading) {
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		a := m.teams[name]
		m.refresh(now, a)
		a.measureDemand(now.Mono)
		m.serveQueue(now, a)
		m.lendTick(now, a)
	}
	m.recordTick(now)
	m.shareTick(now)
	m.dutyTick(now)
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

// ownUnits is what the VM's slots give at this time.
func (m *Machine) ownUnits(now clock.Reading) int64 {
	if !m.authority.live(now) {
		return 0
	}
	return m.shares.usable() * UnitsPerSlot
}

func (m *Machine) do(action Action) {
	m.out = append(m.out, action)
}

func (m *Machine) send(to string, message Message) {
	m.stats.Messages++
	m.do(Send{To: to, Message: message})
}

func (m *Machine) nextNumber() uint64 {
	m.numbers++
	return m.numbers
}

// Receive takes in a message from another VM.
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
