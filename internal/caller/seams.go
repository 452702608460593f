package caller

import (
	"context"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/claims"
	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/dispatch"
)

// Configuration gives the configuration in force.
type Configuration interface {
	// Snapshot returns nil until a configuration is known.
	Snapshot() *configstate.Snapshot
	// Fresh reports whether a withdrawal of a key would be known here.
	Fresh() bool
}

// Upstreams gives leave to send requests to upstreams. *dispatch.Dispatcher does.
type Upstreams interface {
	// Acquire waits for an upstream. After an error the request was not run.
	Acquire(ctx context.Context, r dispatch.Request) (*dispatch.Grant, error)
}

// Claims makes sure that keyed actions run once. *claims.Claims does.
type Claims interface {
	// Claim returns leave to run an action, or says what became of it.
	Claim(ctx context.Context, team, idempotencyKey, body string) (*claims.Attempt, error)
}

// Releaser tells other VMs that a stream is read here now.
type Releaser interface {
	// Release returns at once.
	Release(vm, streamID string)
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
	// Answer returns the VMs, the best first, and how long to keep them. The
	// caller's failure domain may be empty.
	Answer(domain string) ([]Address, time.Duration)
}

// Readiness says whether this VM may take new work.
type Readiness interface {
	// Ready returns nil or the reason why not.
	Ready() error
}
