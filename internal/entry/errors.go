package entry

import "github.com/pkg/errors"

var (
	// ErrListen means that an address can't be listened on.
	ErrListen = errors.New("entry: cannot listen")
	// ErrNoConfiguration means that no configuration is known yet.
	ErrNoConfiguration = errors.New("entry: no configuration is known yet")
	// ErrStale means that this VM hears neither the key-value service nor more
	// than half of the other VMs. A key may have been withdrawn without its
	// knowledge.
	ErrStale = errors.New("entry: hears neither the key-value service nor most other VMs")
	// ErrNoLimits means that this VM holds no part of the teams' limits yet and
	// knows of no VM that lends.
	ErrNoLimits = errors.New("entry: holds no part of the teams' limits yet")
	// ErrNoLeader means that no planner leads at present.
	ErrNoLeader = errors.New("entry: no planner leads")
	// ErrOtherVM means that a drain names another VM than the one asked.
	ErrOtherVM = errors.New("entry: ask the VM itself to drain; upstreams are drained by the document")
)
