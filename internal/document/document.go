package document

import "time"

// Document is the configuration of one environment. It is accepted and put in force
// as a whole or not at all.
type Document struct {
	// Environment is the name of the environment, for example "gt-production".
	Environment string `yaml:"environment"`
	// FailureDomains lists the failure domains that upstreams and VMs refer to.
	FailureDomains []string `yaml:"failure_domains"`
	// Teams lists the tenants with their limits and keys.
	Teams []Team `yaml:"teams"`
	// Models lists the base models to keep resident.
	Models []Model `yaml:"models"`
	// Engines lists the model engines.
	Engines []Engine `yaml:"engines"`
	// Services lists the pools of services that are not model engines.
	Services []Service `yaml:"services"`
	// Routes maps callers' paths to service pools.
	Routes []Route `yaml:"routes"`
	// WeightStore limits the loads from the weight store.
	WeightStore WeightStore `yaml:"weight_store"`
	// Promotion contains the thresholds that the document must meet in this
	// environment before it may be promoted to the next one.
	Promotion Promotion `yaml:"promotion"`
}

// Team is a tenant.
type Team struct {
	// Name identifies the team. It is unique in the document.
	Name string `yaml:"name"`
	// Weight is the team's share when upstreams are contended. The default is 1.
	Weight int64 `yaml:"weight"`
	// Rate is the number of tokens per second over all VMs together.
	Rate int64 `yaml:"rate"`
	// Burst is the number of tokens that may be used at once over all VMs
	// together. A single request may be as large as the burst.
	Burst int64 `yaml:"burst"`
	// Keys lists the digests of the keys that authenticate the team.
	Keys []Key `yaml:"keys"`
}

// Key is the digest of a caller's key. The key itself never appears.
type Key struct {
	// ID identifies the key in logs and commands.
	ID string `yaml:"id"`
	// SHA256 is the lower-case hexadecimal SHA-256 digest of the key.
	SHA256 string `yaml:"sha256"`
}

// Model is a base model with its adapters. Models and adapters share one
// namespace: a caller names either in the "model" field of a request.
type Model struct {
	// Name is the name that callers use in requests.
	Name string `yaml:"name"`
	// Version selects the weights. Changing it replaces the model without
	// interrupting running requests.
	Version string `yaml:"version"`
	// Memory is the accelerator memory of the weights.
	Memory Bytes `yaml:"memory"`
	// Replicas is the minimum number of ready copies. The default is 1.
	Replicas int `yaml:"replicas"`
	// Adapters lists the adapters of this model.
	Adapters []Adapter `yaml:"adapters"`
}

// Adapter is a low-rank adapter (LoRA) on a base model.
type Adapter struct {
	// Name is the name that callers use in requests.
	Name string `yaml:"name"`
	// Version selects the weights.
	Version string `yaml:"version"`
	// Memory is the accelerator memory of the adapter's weights.
	Memory Bytes `yaml:"memory"`
	// MaxInFlight is the number of requests in flight over all VMs beyond
	// which the adapter's latency grows in proportion. Zero means no limit.
	MaxInFlight int `yaml:"max_in_flight"`
}

// Fencing says whether an engine refuses an order with an old fencing token.
type Fencing string

// The kinds of fencing. There is no default: the document must state it for each
// engine.
const (
	FencingEnforced Fencing = "enforced"
	FencingIgnored  Fencing = "ignored"
)

// Engine is one model engine with its accelerators.
type Engine struct {
	// Name identifies the engine. It is unique in the document.
	Name string `yaml:"name"`
	// URL is the base address, "http://IP:port" or "https://IP:port".
	URL string `yaml:"url"`
	// FailureDomain is one of the document's failure domains.
	FailureDomain string `yaml:"failure_domain"`
	// Memory is the accelerator memory that weights and KV cache share.
	Memory Bytes `yaml:"memory"`
	// KVCacheReserve is the part of Memory that weights may not use.
	KVCacheReserve Bytes `yaml:"kv_cache_reserve"`
	// Fencing says whether the engine enforces fencing tokens.
	Fencing Fencing `yaml:"fencing"`
	// Draining means that the upstream gets no new work and that everything on it
	// is to be moved away. The default is false.
	Draining bool `yaml:"draining,omitempty"`
}

// Service is a pool of interchangeable replicas of a service.
type Service struct {
	// Name identifies the pool. It is unique among the pools.
	Name string `yaml:"name"`
	// Replicas lists the members of the pool.
	Replicas []ServiceReplica `yaml:"replicas"`
}

// ServiceReplica is one member of a pool.
type ServiceReplica struct {
	// Name identifies the replica. It is unique among all upstreams.
	Name string `yaml:"name"`
	// URL is the base address, "http://IP:port" or "https://IP:port".
	URL string `yaml:"url"`
	// FailureDomain is one of the document's failure domains.
	FailureDomain string `yaml:"failure_domain"`
	// Draining means that the upstream gets no new work and that everything on it
	// is to be moved away. The default is false.
	Draining bool `yaml:"draining,omitempty"`
}

// Repeat says whether a call may be sent to an upstream more than once.
type Repeat string

// RepeatNever is the default and is for calls that are not idempotent. RepeatSafe
// allows a call to be repeated.
const (
	RepeatNever Repeat = "never"
	RepeatSafe  Repeat = "safe"
)

// Route maps a caller's path to a service pool.
type Route struct {
	// Path is the exact path below "/services", for example "/registry/filings".
	Path string `yaml:"path"`
	// Service is the name of the pool.
	Service string `yaml:"service"`
	// Repeat says whether a call may be repeated. The default is "never".
	Repeat Repeat `yaml:"repeat"`
	// Cost is the number of tokens of the team's rate that one call consumes.
	// The default is 1.
	Cost int64 `yaml:"cost"`
	// Timeout is the time limit of one call. The default is 30s.
	Timeout time.Duration `yaml:"timeout"`
}

// WeightStore limits loads over the whole fleet.
type WeightStore struct {
	// LoadsPerSecond is the maximum number of loads that start in a second.
	LoadsPerSecond float64 `yaml:"loads_per_second"`
	// ConcurrentLoads is the maximum number of loads in flight.
	ConcurrentLoads int `yaml:"concurrent_loads"`
}

// Promotion contains the thresholds that the evidence for a promotion must meet.
type Promotion struct {
	// MinTimeInForce is how long the document must have been in force.
	MinTimeInForce time.Duration `yaml:"min_time_in_force"`
	// MinRequests is the minimum number of requests in the evidence.
	MinRequests int64 `yaml:"min_requests"`
	// MinAttainment is the minimum share of requests within the latency
	// objectives, from 0 to 1.
	MinAttainment float64 `yaml:"min_attainment"`
	// MaxErrorShare is the maximum share of failed requests, from 0 to 1.
	MaxErrorShare float64 `yaml:"max_error_share"`
}
