package catalog

import (
	"hash/maphash"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind classifies a route's requests: whether they may run more than once, and whether
// they are answered by a stream.
type Kind int

// The kinds of route. Only idempotent requests, and streams of routes with CanResume,
// may run more than once.
const (
	NonIdempotent Kind = iota
	Idempotent
	Streaming
)

// Share is the share of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route defines the services and the limits of the requests below a path.
type Route struct {
	Name string
	// Host and PathPrefix select the route. The prefix begins and ends with a
	// slash; the longest matching one wins.
	Host       string
	PathPrefix string
	Kind       Kind
	// Shares has at least one entry.
	Shares []Share
	// Attempts is the largest number of upstreams that one request may be sent
	// to. It is at least 1.
	Attempts int
	// Timeout bounds the whole request. Zero means that the route sets no timeout.
	Timeout time.Duration
	// Objective is the time to the complete response, or to the first event of a
	// stream, within which the response has its full value.
	Objective time.Duration
	// GapObjective is the longest acceptable pause between two events of a stream.
	GapObjective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Anonymous routes need no key.
	Anonymous bool
	// CanResume means that a broken stream may be resumed on another upstream.
	CanResume bool
	// PrefixAware means that requests identify the parts of their prompts.
	PrefixAware bool
	// Regions are the regions whose upstreams may run the route's requests. Empty means all.
	Regions []string
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
	// LoadTime is the duration of a load from the weight store, MemoryLoadTime of one from
	// the engine's memory, DiskLoadTime of one from its disk.
	LoadTime, MemoryLoadTime, DiskLoadTime time.Duration
	// Adapters is the number of the model's adapters, AdapterMB the memory of each in
	// 10^6 bytes. Their names are AdapterPrefix with the numbers from 1.
	Adapters      int
	AdapterPrefix string
	AdapterMB     float64
}

// HasAdapter reports whether the model has an adapter of a name.
func (m Model) HasAdapter(name string) bool {
	digits, ok := strings.CutPrefix(name, m.AdapterPrefix)
	number, err := strconv.Atoi(digits)
	return ok && err == nil && 1 <= number && number <= m.Adapters && digits == strconv.Itoa(number)
}

// EngineSpec holds the properties that all engines of a service share.
type EngineSpec struct {
	// BatchSlots is the number of requests that an engine runs at once.
	BatchSlots int
	// KVTokens is the capacity of the KV cache in tokens.
	KVTokens int
	// WeightsMB is the memory for models and adapters combined, in 10^6 bytes.
	WeightsMB float64
	// AdapterSlots is the largest number of adapters that an engine holds.
	AdapterSlots int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// LoadsPerSecond bounds loads from the weight store over all engines. Zero
	// means that it is not configured.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Service is a pool of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the path of an upstream's health check.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all
	// VMs together. Zero means that it is not configured.
	MaxConnections int
	// ColdStart is how long an upstream is cold after it has started while requests arrive.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold upstream bears from all VMs
	// together. Zero means that a cold upstream bears as many as any other.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// Team is a tenant with its rate limits.
type Team struct {
	Name string
	// Rate is in units per second over all VMs together, Burst in units. Zero
	// means no limit.
	Rate, Burst float64
	// Priority overrides the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the regions whose upstreams may run the team's requests. Empty means all.
	Regions []string
}

// Unit is the unit of teams' rates.
type Unit int

// The units of rates.
const (
	UnitRequests Unit = iota
	UnitTokens
)

// Limits bound what a caller may send and how long its connection may be idle. Zero means
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
	// Teams is empty if no request needs a key.
	Teams map[string]*Team
	// RateUnit is the unit of teams' rates. DefaultTokens is the charge, in tokens, for a
	// request that does not state its tokens.
	RateUnit      Unit
	DefaultTokens int
	Limits        Limits

	routesByHost map[string][]*Route
	allRoutes    []*Route
	teamByKey    map[string]string
}

// New returns a catalog of routes and of keys, which maps each key to the name of its team.
func New(version int64, routes []*Route, keys map[string]string) *Catalog {
	c := &Catalog{
		Version: version, Services: map[string]*Service{}, Teams: map[string]*Team{},
		routesByHost: map[string][]*Route{}, allRoutes: routes, teamByKey: keys,
	}
	for _, r := range routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	return c
}

// Routes returns all routes.
func (c *Catalog) Routes() []*Route { return c.allRoutes }

// Match returns the route with the longest matching prefix, or nil.
func (c *Catalog) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Authenticate returns the team that holds a key.
func (c *Catalog) Authenticate(key string) (*Team, bool) {
	name, ok := c.teamByKey[key]
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

// RegionAllowed reports whether an upstream in a region may run requests of a route and a team, which
// may be nil.
func RegionAllowed(r *Route, t *Team, region string) bool {
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, region) {
		return false
	}
	return t == nil || len(t.Regions) == 0 || slices.Contains(t.Regions, region)
}

var shareSeed = maphash.MakeSeed()

// Serves reports whether the route leads to a service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
}

// Pick selects the service of a request by the weights of the route's shares. For one
// request ID a process always selects the same service.
func (r *Route) Pick(requestID string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point := float64(maphash.String(shareSeed, requestID)>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
