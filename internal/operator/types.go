package operator

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
)

// Config is an accepted configuration.
type Config struct {
	Version    int64     `json:"version" yaml:"version"`
	ChangeID   string    `json:"change_id" yaml:"change_id"`
	Author     string    `json:"author" yaml:"author"`
	AcceptedAt time.Time `json:"accepted_at" yaml:"accepted_at"`
	Digest     string    `json:"digest" yaml:"digest"`
	// Document is the text as it was accepted.
	Document string `json:"document,omitempty" yaml:"document,omitempty"`
	// Withdrawn lists the digests of withdrawn keys.
	Withdrawn []string `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
	// Promotion is the evidence, if the version came from a promotion.
	Promotion *configstate.Evidence `json:"promotion,omitempty" yaml:"promotion,omitempty"`
	// FromVM is set if the key-value service could not be read and this is
	// what the VM has in force.
	FromVM string `json:"from_vm,omitempty" yaml:"from_vm,omitempty"`
}

// ChangeRequest identifies a change. A command that retries a change whose
// outcome is unknown sends the same values.
type ChangeRequest struct {
	// ChangeID identifies the change to operators.
	ChangeID string `json:"change_id"`
	// Nonce is unique to the change.
	Nonce string `json:"nonce"`
	// BaseVersion is the version that the change was made from.
	BaseVersion int64 `json:"base_version"`
}

// ApplyRequest submits a document.
type ApplyRequest struct {
	ChangeRequest
	// Document is the text.
	Document string `json:"document"`
}

// Change outcomes on the wire.
const (
	OutcomeTookEffect       = "took effect"
	OutcomeDidNotTakeEffect = "did not"
	OutcomeUnknown          = "unknown"
)

// ChangeAnswer is the outcome of a change.
type ChangeAnswer struct {
	// Outcome is "took effect", "did not" or "unknown".
	Outcome string `json:"outcome" yaml:"outcome"`
	// Version, ChangeID and Digest describe the envelope that took effect.
	Version  int64  `json:"version,omitempty" yaml:"version,omitempty"`
	ChangeID string `json:"change_id,omitempty" yaml:"change_id,omitempty"`
	Digest   string `json:"digest,omitempty" yaml:"digest,omitempty"`
}

// WithdrawRequest withdraws keys by their digests.
type WithdrawRequest struct {
	// ChangeID identifies the change.
	ChangeID string `json:"change_id"`
	// Digests are hexadecimal SHA-256 digests of keys.
	Digests []string `json:"digests"`
	// HoldOnly makes this VM refuse the keys and leaves it to another VM to
	// make the withdrawal durable. The command sets it in its call to every VM
	// and asks one VM after another without it for durability, so that the VMs
	// do not race to write.
	HoldOnly bool `json:"hold_only,omitempty"`
}

// WithdrawAnswer is the progress of a withdrawal. The VM that answers always
// refuses the keys already.
type WithdrawAnswer struct {
	// Durable means that the withdrawal is stored in the key-value service.
	// Otherwise it lasts as long as at least one VM that holds it runs, and
	// becomes durable without further calls when the service is back.
	Durable bool `json:"durable" yaml:"durable"`
	// Version is the accepted version that contains the withdrawal, if it is
	// durable.
	Version int64 `json:"version,omitempty" yaml:"version,omitempty"`
	// Reason says why the withdrawal is not durable yet.
	Reason string `json:"reason,omitempty" yaml:"reason,omitempty"`
}

// InForce describes the configuration in force at one VM.
type InForce struct {
	VM       string `json:"vm" yaml:"vm"`
	Version  int64  `json:"version" yaml:"version"`
	ChangeID string `json:"change_id" yaml:"change_id"`
	Digest   string `json:"digest" yaml:"digest"`
	// Withdrawn is the number of withdrawn keys at the VM. WithdrawnSum
	// differs between VMs with different sets of withdrawn keys.
	Withdrawn    int    `json:"withdrawn" yaml:"withdrawn"`
	WithdrawnSum uint64 `json:"withdrawn_sum,string" yaml:"withdrawn_sum"`
	// Pending is the number of withdrawals that are not durable yet.
	Pending int `json:"pending" yaml:"pending"`
	// Fresh is false if the VM refuses work because a recent withdrawal could
	// not have reached it.
	Fresh bool `json:"fresh" yaml:"fresh"`
}

// Proof is the document in force at one VM with the evidence observed there.
type Proof struct {
	// Document is the text in force.
	Document string `json:"document"`
	// Evidence counts the VM's requests since the document came into force.
	Evidence configstate.Evidence `json:"evidence"`
}

// PromoteRequest submits the release of a document that was in force in another
// environment.
type PromoteRequest struct {
	ChangeRequest
	// Document is the text that was in force, Evidence what was observed there.
	Document string               `json:"document"`
	Evidence configstate.Evidence `json:"evidence"`
}

// DrainRequest requests that an upstream or VM gets no new work.
type DrainRequest struct {
	// Target is the name of an upstream or VM.
	Target string `json:"target"`
	// Undo reverses an earlier request.
	Undo bool `json:"undo,omitempty"`
}

// DrainAnswer gives the number of requests still running on the target.
type DrainAnswer struct {
	Target   string `json:"target" yaml:"target"`
	InFlight int64  `json:"in_flight" yaml:"in_flight"`
}

// Status is the state of the environment as seen by one VM.
type Status struct {
	VM        string           `json:"vm" yaml:"vm"`
	InForce   InForce          `json:"in_force" yaml:"in_force"`
	VMs       []VMStatus       `json:"vms" yaml:"vms"`
	Upstreams []UpstreamStatus `json:"upstreams" yaml:"upstreams"`
	Teams     []TeamStatus     `json:"teams" yaml:"teams"`
}

// VMStatus is the state of one entry VM.
type VMStatus struct {
	VM            string `json:"vm" yaml:"vm"`
	FailureDomain string `json:"failure_domain" yaml:"failure_domain"`
	// State is "healthy", "suspected", "leaving" or "gone".
	State         string `json:"state" yaml:"state"`
	ConfigVersion int64  `json:"config_version" yaml:"config_version"`
	InFlight      int64  `json:"in_flight" yaml:"in_flight"`
}

// UpstreamStatus is the state of one engine or service replica.
type UpstreamStatus struct {
	Name          string `json:"name" yaml:"name"`
	Kind          string `json:"kind" yaml:"kind"`
	FailureDomain string `json:"failure_domain" yaml:"failure_domain"`
	// State is "ready", "draining", "silent" or "leaving".
	State   string `json:"state" yaml:"state"`
	Running int64  `json:"running" yaml:"running"`
	Waiting int64  `json:"waiting" yaml:"waiting"`
	// Resident lists the items in memory, each "MODEL" or "MODEL/ADAPTER".
	Resident []string `json:"resident,omitempty" yaml:"resident,omitempty"`
}

// TeamStatus is the state of one team at one VM.
type TeamStatus struct {
	Team string `json:"team" yaml:"team"`
	// Rate is this VM's share of the team's rate, Balance the number of tokens
	// that it may use now.
	Rate    float64 `json:"rate" yaml:"rate"`
	Balance float64 `json:"balance" yaml:"balance"`
	// Loans is the number of tokens lent to other VMs.
	Loans  float64 `json:"loans" yaml:"loans"`
	Queued int64   `json:"queued" yaml:"queued"`
}

// Plan is the planner's current plan with the reason for each step.
type Plan struct {
	// Leader is the VM whose planner is the leader, Fence its fencing token.
	Leader string    `json:"leader" yaml:"leader"`
	Fence  int64     `json:"fence" yaml:"fence"`
	MadeAt time.Time `json:"made_at" yaml:"made_at"`
	// Steps are the orders that are planned or in progress.
	Steps []PlanStep `json:"steps" yaml:"steps"`
	// Engines holds the memory account of each engine.
	Engines []PlanEngine `json:"engines" yaml:"engines"`
}

// PlanStep is one planned order.
type PlanStep struct {
	Kind    string `json:"kind" yaml:"kind"`
	Engine  string `json:"engine" yaml:"engine"`
	Item    string `json:"item" yaml:"item"`
	Version string `json:"version" yaml:"version"`
	State   string `json:"state" yaml:"state"`
	Reason  string `json:"reason" yaml:"reason"`
}

// PlanEngine is the memory account of one engine in bytes.
type PlanEngine struct {
	Engine   string   `json:"engine" yaml:"engine"`
	Memory   int64    `json:"memory" yaml:"memory"`
	Allowed  int64    `json:"allowed" yaml:"allowed"`
	Resident []string `json:"resident,omitempty" yaml:"resident,omitempty"`
}
