package catalog

import (
	"hash/maphash"
	"strings"
	"time"
)

// Kind says what may be done with the requests of a route.
type Kind int

// The kinds of route. Only idempotent requests, and streams of routes that can
// resume, may run more than once.
const (
	NonIdempotent Kind = iota
	Idempotent
	Streaming
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route says where the requests below a path go and within which bounds.
type Route struct {
	Name string
	// Host and PathPrefix select the route. The prefix begins and ends with a
	// slash; the longest one that fits wins.
	Host       string
	PathPrefix string
	Kind       Kind
	// Shares has at least one entry.
	Shares []Share
	// Attempts is the largest number of upstreams that one request may be sent
	// to. It is at least 1.
	Attempts int
	// Timeout bounds the whole request. Zero means no bound of the route's own.
	Timeout time.Duration
	// Objective is the time to the whole answer, or to the first event of a
	// stream, within which the answer has its full value.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream.
	GapObjective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Anonymous routes need no key.
	Anonymous bool
	// CanResume means that a broken stream may go on at another upstream.
	CanResume bool
	// PrefixAware means that requests name the parts of their prompts.
	PrefixAware bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.CanResume)
}

// Model is a base model that engines of a service can load.
type Model struct {
	Name string
	// MemoryMB is the accelerator memory of the weights, in 10^6 bytes.
	MemoryMB float64
	// LoadTime is a load from the weight store, WarmTime one from the engine's
	// memory, DiskTime one from its disk.
	LoadTime, WarmTime, DiskTime time.Duration
	// Adapters is how many adapters the model has; AdapterMB the memory of each.
	Adapters  int
	AdapterMB float64
}

// EngineSpec is what all engines of a service have in common.
type EngineSpec struct {
	// BatchSlots is how many requests run at once.
	BatchSlots int
	// KVTokens is the capacity of the KV cache in tokens.
	KVTokens int
	// WeightsMB is the memory for models and adapters together, in 10^6 bytes.
	WeightsMB float64
	// AdapterSlots is how many adapters an engine holds.
	AdapterSlots int
	// TokensPerEvent is how many tokens one event of a stream carries.
	TokensPerEvent int
	// LoadsPerSecond bounds loads from the weight store over all engines. Zero
	// means that nothing is said of it.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Service is a pool of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is asked for the health of an upstream.
	HealthPath string
	// MaxConnections is what one upstream accepts from all VMs together. Zero
	// means that nothing is said of it.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// Team is a tenant with its limits.
type Team struct {
	Name string
	// Rate is in units per second over all VMs together, Burst in units. Zero
	// means no limit.
	Rate, Burst float64
	// Priority takes precedence over a route's if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Unit is what rates count.
type Unit int

// The units of rates.
const (
	UnitRequests Unit = iota
	UnitTokens
)

// Limits bound what a caller may send and how long it may stay idle. Zero means
// no bound.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one configuration.
type Catalog struct {
	// Version orders configurations.
	Version  int64
	Services map[string]*Service
	// Teams is empty if requests need no key.
	Teams map[string]*Team
	// RateUnit is what teams' rates count. PlainTokens is the charge of a
	// request that names no tokens.
	RateUnit    Unit
	PlainTokens int
	Limits      Limits

	routes map[string][]*Route
	all    []*Route
	keys   map[string]string
}

// New returns a catalog of routes and of keys, which map a key to its team.
func New(version int64, routes []*Route, keys map[string]string) *Catalog {
	c := &Catalog{
		Version: version, Services: map[string]*Service{}, Teams: map[string]*Team{},
		routes: map[string][]*Route{}, all: routes, keys: keys,
	}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	return c
}

// Routes returns all routes.
func (c *Catalog) Routes() []*Route { return c.all }

// Match returns the route with the longest prefix that fits, or nil.
func (c *Catalog) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Authenticate returns the team that holds a key.
func (c *Catalog) Authenticate(key string) (*Team, bool) {
	name, ok := c.keys[key]
	if !ok {
		return nil, false
	}
	t := c.Teams[name]
	return t, t != nil
}

// NeedsKey reports whether requests of the route need a key.
func (c *Catalog) NeedsKey(r *Route) bool {
	return len(c.Teams) > 0 && !r.Anonymous
}

var splitSeed = maphash.MakeSeed()

// Pick chooses the service of a request by the weights of the route's shares. The
// same request ID always leads to the same service on one VM.
func (r *Route) Pick(requestID string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := float64(maphash.String(splitSeed, requestID)>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
