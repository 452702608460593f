package caller

import (
	"net/netip"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
)

// Configuration gives the configuration in force.
type Configuration interface {
	// Snapshot returns nil until a configuration is known.
	Snapshot() *configstate.Snapshot
}

// Target is the engine that a request is sent to.
type Target struct {
	// Engine is the engine's name.
	Engine string
	// URL is its base address.
	URL string
	// Release must be called once when the request has ended.
	Release func()
}

// Router chooses engines.
type Router interface {
	// Pick returns a ready engine for a model or adapter. The prefix is the
	// leading part of the prompt. It returns ErrUnknownModel or ErrNoReplica.
	Pick(item string, prefix []byte) (Target, error)
}

// Address is one entry VM that a caller may use.
type Address struct {
	// URL is "http://IP:port" or "https://IP:port".
	URL string `json:"url"`
	// FailureDomain is the VM's failure domain.
	FailureDomain string `json:"failure_domain"`
}

// Addresses answers which entry VMs to use.
type Addresses interface {
	// Answer returns the VMs, the best first, and how long to keep them.
	Answer(client netip.Addr) ([]Address, time.Duration)
}

// Readiness says whether this VM may take new work.
type Readiness interface {
	// Ready returns nil or the reason why not.
	Ready() error
}
