package vmlist

import "time"

// State is what the platform says of a VM.
type State string

// The states of a listed VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one line of the list.
type VM struct {
	// Address is "IP:port".
	Address string `json:"address"`
	// FailureDomain is the VM's failure domain.
	FailureDomain string `json:"failure_domain"`
	// State is live or leaving.
	State State `json:"state"`
}

// List is the platform's list at one time. It lags: a VM missing from it may
// be new, and one on it may be dead.
type List struct {
	// AsOf is when the platform made the list.
	AsOf time.Time `json:"as_of"`
	// VMs holds entry VMs and upstreams alike.
	VMs []VM `json:"vms"`
}
