package configstate

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

// ErrNotProven means that a document has not met the thresholds that its
// promotion needs.
var ErrNotProven = errors.New("configstate: not proven")

// Evidence is what was observed of a document in force. It is kept with the
// promotion.
type Evidence struct {
	// Environment is where the document was in force.
	Environment string `json:"environment" yaml:"environment"`
	// Digest is the document's.
	Digest string `json:"digest" yaml:"digest"`
	// Version is the configuration version that put it in force.
	Version int64 `json:"version" yaml:"version"`
	// InForceMS is how long it has been in force, in milliseconds.
	InForceMS int64 `json:"in_force_ms" yaml:"in_force_ms"`
	// Requests is the number of requests judged.
	Requests int64 `json:"requests" yaml:"requests"`
	// Attained is the number of them within the latency objectives.
	Attained int64 `json:"attained" yaml:"attained"`
	// Failed is the number of them that failed.
	Failed int64 `json:"failed" yaml:"failed"`
	// ObservedAt is when it was collected.
	ObservedAt time.Time `json:"observed_at" yaml:"observed_at"`
}

// InForce returns how long the document has been in force.
func (e *Evidence) InForce() time.Duration { return time.Duration(e.InForceMS) * time.Millisecond }

// ProofError is one threshold that was missed. It unwraps to ErrNotProven.
type ProofError struct {
	// Threshold names the field of the document's promotion section.
	Threshold string
	// Want and Have are the threshold and what was observed.
	Want, Have string
}

// Error names the threshold and both values.
func (e *ProofError) Error() string {
	return fmt.Sprintf("configstate: not proven: %s: want %s, have %s", e.Threshold, e.Want, e.Have)
}

// Unwrap returns ErrNotProven.
func (e *ProofError) Unwrap() error { return ErrNotProven }

// Prove checks evidence for the document with this digest against thresholds.
// It returns a ProofError for the first threshold that is missed.
func Prove(p document.Promotion, digest string, e *Evidence) error {
	if e == nil {
		return &ProofError{Threshold: "evidence", Want: "evidence of " + digest, Have: "none"}
	}
	if e.Digest != digest {
		return &ProofError{Threshold: "digest", Want: digest, Have: e.Digest}
	}
	if e.InForce() < p.MinTimeInForce {
		return &ProofError{Threshold: "min_time_in_force", Want: p.MinTimeInForce.String(), Have: e.InForce().String()}
	}
	// With no request there is no share to judge by, whatever the document asks.
	if least := max(p.MinRequests, 1); e.Requests < least {
		return &ProofError{Threshold: "min_requests", Want: fmt.Sprint(least), Have: fmt.Sprint(e.Requests)}
	}
	if got := share(e.Attained, e.Requests); got < p.MinAttainment {
		return &ProofError{Threshold: "min_attainment", Want: fmt.Sprint(p.MinAttainment), Have: fmt.Sprint(got)}
	}
	if got := share(e.Failed, e.Requests); got > p.MaxErrorShare {
		return &ProofError{Threshold: "max_error_share", Want: fmt.Sprint(p.MaxErrorShare), Have: fmt.Sprint(got)}
	}
	return nil
}

func share(part, whole int64) float64 { return float64(part) / float64(whole) }

// Combine adds up what the VMs of an environment observed. A document is in
// force as long as it is at the VM that has had it longest, since all others
// follow within seconds and none goes back. It returns a ProofError if the VMs
// have different documents in force.
func Combine(parts []Evidence) (*Evidence, error) {
	if len(parts) == 0 {
		return nil, &ProofError{Threshold: "evidence", Want: "evidence of every VM", Have: "none"}
	}
	sum := parts[0]
	for _, p := range parts[1:] {
		if p.Digest != sum.Digest {
			return nil, &ProofError{Threshold: "digest", Want: sum.Digest + " at every VM", Have: p.Digest}
		}
		sum.InForceMS = max(sum.InForceMS, p.InForceMS)
		sum.Version = max(sum.Version, p.Version)
		sum.Requests += p.Requests
		sum.Attained += p.Attained
		sum.Failed += p.Failed
	}
	return &sum, nil
}
