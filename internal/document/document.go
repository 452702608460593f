package document

import "time"

// Document is everything that operators decide for one environment. It is the
// unit of acceptance: a document is in force as a whole or not at all.
type Document struct {
	// Environment is the name of the environment, for example "gt-production".
	Environment string `yaml:"environment"`
	// FailureDomains lists the failure domains that upstreams and VMs refer to.
	FailureDomains []string `yaml:"failure_domains"`
	// Teams lists the tenants and what each may use.
	Teams []Team `yaml:"teams"`
	// Models lists the base models to keep resident.
	Models []Model `yaml:"models"`
	// Engines lists the model engines.
	Engines []Engine `yaml:"engines"`
	// Services lists the pools of plain services.
	Services []Service `yaml:"services"`
	// Routes maps callers' paths to service pools.
	Routes []Route `yaml:"routes"`
	// WeightStore bounds what the weight store is asked for.
	WeightStore WeightStore `yaml:"weight_store"`
	// Promotion gives the thresholds that a document must meet in this
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
	// ID names the key in logs and commands.
	ID string `yaml:"id"`
	// SHA256 is the lower-case hexadecimal SHA-256 digest of the key.
	SHA256 string `yaml:"sha256"`
}

// Model is a base model with its adapters. Models and adapters share one
// namespace: a caller names either in the "model" field of a request.
type Model struct {
	// Name is what callers ask for.
	Name string `yaml:"name"`
	// Version selects the weights. Changing it replaces the model without
	// interrupting running requests.
	Version string `yaml:"version"`
	// Memory is the accelerator memory of the weights.
	Memory Bytes `yaml:"memory"`
	// Replicas is the least number of ready copies. The default is 1.
	Replicas int `yaml:"replicas"`
	// Adapters lists the adapters of this model.
	Adapters []Adapter `yaml:"adapters"`
}

// Adapter is a low-rank adapter (LoRA) on a base model.
type Adapter struct {
	// Name is what callers ask for.
	Name string `yaml:"name"`
	// Version selects the weights.
	Version string `yaml:"version"`
	// Memory is the accelerator memory of the adapter's weights.
	Memory Bytes `yaml:"memory"`
	// MaxInFlight is the number of requests in flight over all VMs beyond
	// which the adapter's latency grows in proportion. Zero means no limit.
	MaxInFlight int `yaml:"max_in_flight"`
}

// Fencing says whether an engine refuses an order with an old fencing number.
type Fencing string

// The two kinds of engine. Which one an engine is must be stated, never guessed.
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
	// Fencing says whether the engine enforces fencing numbers.
	Fencing Fencing `yaml:"fencing"`
	// Draining means that the upstream gets no new work and that what it holds
	// is to be moved away. The default is false.
	Draining bool `yaml:"draining,omitempty"`
}

// Service is a pool of interchangeable plain services.
type Service struct {
	// Name identifies the pool.
	Name string `yaml:"name"`
	// Replicas lists the members.
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
	// Draining means that the upstream gets no new work and that what it holds
	// is to be moved away. The default is false.
	Draining bool `yaml:"draining,omitempty"`
}

// Repeat says whether a call may be sent to an upstream more than once.
type Repeat string

// RepeatNever is the default: the call is not idempotent.
const (
	RepeatNever Repeat = "never"
	RepeatSafe  Repeat = "safe"
)

// Route maps a caller's path to a service pool.
type Route struct {
	// Path is the exact path below "/services", for example "/registry/filings".
	Path string `yaml:"path"`
	// Service names the pool.
	Service string `yaml:"service"`
	// Repeat says whether a call may be repeated. The default is "never".
	Repeat Repeat `yaml:"repeat"`
	// Cost is the number of tokens that one call takes from the team's rate.
	// The default is 1.
	Cost int64 `yaml:"cost"`
	// Timeout bounds one call. The default is 30s.
	Timeout time.Duration `yaml:"timeout"`
}

// WeightStore bounds loads over the whole fleet.
type WeightStore struct {
	// LoadsPerSecond is the number of loads that may start in a second.
	LoadsPerSecond float64 `yaml:"loads_per_second"`
	// ConcurrentLoads is the number of loads that may run at once.
	ConcurrentLoads int `yaml:"concurrent_loads"`
}

// Promotion gives the evidence that a promotion needs.
type Promotion struct {
	// MinTimeInForce is how long the document must have been in force.
	MinTimeInForce time.Duration `yaml:"min_time_in_force"`
	// MinRequests is the least number of requests to judge by.
	MinRequests int64 `yaml:"min_requests"`
	// MinAttainment is the least share of requests within the latency
	// objectives, from 0 to 1.
	MinAttainment float64 `yaml:"min_attainment"`
	// MaxErrorShare is the largest share of failed requests, from 0 to 1.
	MaxErrorShare float64 `yaml:"max_error_share"`
}
