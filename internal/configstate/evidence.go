package configstate

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

// ErrThresholdNotMet means that a document does not meet the thresholds for its
// promotion.
var ErrThresholdNotMet = errors.New("configstate: not proven")

// Evidence is what was observed while a document was in force. It is stored with
// the promotion.
type Evidence struct {
	// Environment is where the document was in force.
	Environment string `json:"environment" yaml:"environment"`
	// Digest is the digest of the document's text.
	Digest string `json:"digest" yaml:"digest"`
	// Version is the configuration version that put it in force.
	Version int64 `json:"version" yaml:"version"`
	// InForceMS is how long it has been in force, in milliseconds.
	InForceMS int64 `json:"in_force_ms" yaml:"in_force_ms"`
	// Requests is the number of requests counted.
	Requests int64 `json:"requests" yaml:"requests"`
	// Attained is the number of requests within the latency objectives.
	Attained int64 `json:"attained" yaml:"attained"`
	// Failed is the number of requests that failed.
	Failed int64 `json:"failed" yaml:"failed"`
	// ObservedAt is when the evidence was collected.
	ObservedAt time.Time `json:"observed_at" yaml:"observed_at"`
}

// InForce returns how long the document has been in force.
func (e *Evidence) InForce() time.Duration { return time.Duration(e.InForceMS) * time.Millisecond }

// ThresholdError is one threshold that is not met. It unwraps to
// ErrThresholdNotMet.
type ThresholdError struct {
	// Threshold names the field of the document's promotion section, or
	// "evidence" or "digest" if there is no evidence for this document.
	Threshold string
	// Want and Have are the threshold and the observed value.
	Want, Have string
}

// Error names the threshold, its value and the observed value.
func (e *ThresholdError) Error() string {
	return fmt.Sprintf("configstate: not proven: %s: want %s, have %s", e.Threshold, e.Want, e.Have)
}

// Unwrap returns ErrThresholdNotMet.
func (e *ThresholdError) Unwrap() error { return ErrThresholdNotMet }

// CheckEvidence checks the evidence for the document with this digest against
// the thresholds. It returns a ThresholdError for the first one that is not met.
func CheckEvidence(p document.Promotion, digest string, e *Evidence) error {
	if e == nil {
		return &ThresholdError{Threshold: "evidence", Want: "evidence of " + digest, Have: "none"}
	}
	if e.Digest != digest {
		return &ThresholdError{Threshold: "digest", Want: digest, Have: e.Digest}
	}
	if e.InForce() < p.MinTimeInForce {
		return &ThresholdError{Threshold: "min_time_in_force", Want: p.MinTimeInForce.String(), Have: e.InForce().String()}
	}
	// Without requests the shares are undefined, so at least one is needed
	// whatever the document requires.
	if least := max(p.MinRequests, 1); e.Requests < least {
		return &ThresholdError{Threshold: "min_requests", Want: fmt.Sprint(least), Have: fmt.Sprint(e.Requests)}
	}
	if got := share(e.Attained, e.Requests); got < p.MinAttainment {
		return &ThresholdError{Threshold: "min_attainment", Want: fmt.Sprint(p.MinAttainment), Have: fmt.Sprint(got)}
	}
	if got := share(e.Failed, e.Requests); got > p.MaxErrorShare {
		return &ThresholdError{Threshold: "max_error_share", Want: fmt.Sprint(p.MaxErrorShare), Have: fmt.Sprint(got)}
	}
	return nil
}

func share(part, whole int64) float64 { return float64(part) / float64(whole) }

// CombineEvidence adds up the evidence of the VMs of an environment. The time in force is
// that of the VM which has had the document longest, since all others follow
// within seconds and none goes back to an older version. It returns a
// ThresholdError if there is no evidence or if the VMs have different documents
// in force.
func CombineEvidence(parts []Evidence) (*Evidence, error) {
	if len(parts) == 0 {
		return nil, &ThresholdError{Threshold: "evidence", Want: "evidence of every VM", Have: "none"}
	}
	total := parts[0]
	for _, p := range parts[1:] {
		if p.Digest != total.Digest {
			return nil, &ThresholdError{Threshold: "digest", Want: total.Digest + " at every VM", Have: p.Digest}
		}
		total.InForceMS = max(total.InForceMS, p.InForceMS)
		total.Version = max(total.Version, p.Version)
		total.Requests += p.Requests
		total.Attained += p.Attained
		total.Failed += p.Failed
	}
	return &total, nil
}
