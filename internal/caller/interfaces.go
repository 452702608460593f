package caller

import (
	"context"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/claims"
	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/dispatch"
)

// Configuration provides the configuration in force.
type Configuration interface {
	// Snapshot returns the configuration in force, nil until one is known.
	Snapshot() *configstate.Snapshot
	// Fresh reports whether this VM's configuration is recent enough to contain the
	// withdrawal of a key.
	Fresh() bool
}

// Upstreams grants permission to send requests to upstreams. *dispatch.Dispatcher
// implements it.
type Upstreams interface {
	// Acquire waits for an upstream. If it returns an error, the request was not run.
	Acquire(ctx context.Context, r dispatch.Request) (*dispatch.Grant, error)
}

// Claims ensures that an action with an idempotency key runs at most once.
// *claims.Claims implements it.
type Claims interface {
	// Claim returns an attempt to run an action. If an earlier request has claimed it,
	// the error tells its state.
	Claim(ctx context.Context, team, idempotencyKey, body string) (*claims.Attempt, error)
}

// Releaser notifies other VMs that a stream is read at this VM from now on.
type Releaser interface {
	// Release notifies a VM in the background.
	Release(vm, streamID string)
}

// Address is the address of an entry VM that a caller can use.
type Address struct {
	// URL is "http://IP:port" or "https://IP:port".
	URL string `json:"url"`
	// FailureDomain is the VM's failure domain.
	FailureDomain string `json:"failure_domain"`
}

// Addresses provides the entry VMs that a caller can use.
type Addresses interface {
	// Answer returns the VMs, best first, and how long the answer is valid. The
	// caller's failure domain may be empty.
	Answer(domain string) ([]Address, time.Duration)
}

// Readiness reports whether this VM accepts new requests.
type Readiness interface {
	// Ready returns nil, or the reason why the VM is not ready.
	Ready() error
}
