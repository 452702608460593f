package vmlist

import "time"

// State is the state of a VM according to the platform.
type State string

// The states of a listed VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	// Address is the VM's address, "IP:port".
	Address string `json:"address"`
	// FailureDomain is the VM's failure domain.
	FailureDomain string `json:"failure_domain"`
	// State is Live or Leaving.
	State State `json:"state"`
}

// List is the platform's list at one time. It lags behind the actual state: a VM
// that is missing may be new, and a listed VM may be dead.
type List struct {
	// AsOf is when the platform made the list.
	AsOf time.Time `json:"as_of"`
	// VMs holds both entry VMs and upstreams.
	VMs []VM `json:"vms"`
}
