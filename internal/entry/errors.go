package entry

import "github.com/pkg/errors"

var (
	// ErrListen means that a listener could not be opened.
	ErrListen = errors.New("entry: cannot listen")
	// ErrNoConfiguration means that no configuration is known yet.
	ErrNoConfiguration = errors.New("entry: no configuration is known yet")
	// ErrStale means that this VM is in contact with neither the key-value service
	// nor more than half of the other VMs. Its configuration may lack the withdrawal
	// of a key.
	ErrStale = errors.New("entry: hears neither the key-value service nor most other VMs")
	// ErrNoLimits means that this VM holds no part of the teams' limits yet and knows
	// no VM to borrow from.
	ErrNoLimits = errors.New("entry: holds no part of the teams' limits yet")
	// ErrNoLeader means that there is no leading planner, or that it could not be
	// reached or answered with an error status.
	ErrNoLeader = errors.New("entry: no planner leads")
	// ErrDrainOtherVM means that a drain request names a VM other than this one.
	ErrDrainOtherVM = errors.New("entry: ask the VM itself to drain; upstreams are drained by the document")
)
