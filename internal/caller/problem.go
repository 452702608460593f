package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells whether a request was executed.
type Outcome string

// NotRun means that the request was not executed and will not be. Unknown means that
// it may have been executed. Answered means that it was executed and answered.
const (
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
	Answered Outcome = "answered"
)

// ProblemType identifies a kind of refusal or failure. docs/CALLERS.md lists them.
type ProblemType string

// The problem types.
const (
	TypeMissingKey       ProblemType = "missing_key"
	TypeUnknownKey       ProblemType = "unknown_key"
	TypeWithdrawnKey     ProblemType = "withdrawn_key"
	TypeMalformed        ProblemType = "malformed_request"
	TypeTooLarge         ProblemType = "request_too_large"
	TypeUnknownModel     ProblemType = "unknown_model"
	TypeUnknownRoute     ProblemType = "unknown_route"
	TypeRateLimited      ProblemType = "rate_limited"
	TypeExceedsBurst     ProblemType = "exceeds_burst"
	TypeNoReplica        ProblemType = "no_replica"
	TypeOverloaded       ProblemType = "overloaded"
	TypeNotReady         ProblemType = "not_ready"
	TypeUpstreamFailed   ProblemType = "upstream_failed"
	TypeUpstreamError    ProblemType = "upstream_error"
	TypeDeadlineExceeded ProblemType = "deadline_exceeded"
	// TypeDeadlineUnattainable is reported for a request that is refused early because
	// it cannot be finished by its deadline.
	TypeDeadlineUnattainable ProblemType = "deadline_unattainable"
	TypeQueueFull            ProblemType = "queue_full"
	TypeBadEventID           ProblemType = "bad_event_id"
	TypeUnknownStream        ProblemType = "unknown_stream"
	TypeIdempotencyKeyReused ProblemType = "idempotency_key_reused"
	TypeBadIdempotencyKey    ProblemType = "bad_idempotency_key"
	TypeActionInProgress     ProblemType = "action_in_progress"
	// TypeOutcomeUnknown is reported for a retry of an action that may have run.
	TypeOutcomeUnknown ProblemType = "outcome_unknown"
	// TypeAnswerNotKept is reported for a retry of an action whose answer was too
	// large to be stored.
	TypeAnswerNotKept    ProblemType = "answer_not_kept"
	TypeClaimUnavailable ProblemType = "claim_unavailable"
	TypeCallerGone       ProblemType = "caller_gone"
)

// Problem is a refusal or failure as it is reported to the caller.
type Problem struct {
	// Status is the HTTP status code. 0 means that the answer has already begun, so
	// the problem is not written as the answer.
	Status int `json:"-"`
	// Type is the kind of problem.
	Type ProblemType `json:"type"`
	// Message is a human-readable explanation.
	Message string `json:"message"`
	// Outcome tells whether the request may have been executed.
	Outcome Outcome `json:"outcome"`
	// RequestID is the request's ID.
	RequestID string `json:"request_id"`
	// RetryAfterMS is the time to wait before a retry in milliseconds, 0 if it is not
	// known.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Error returns the type and the message.
func (p *Problem) Error() string { return string(p.Type) + ": " + p.Message }

func newProblem(status int, kind ProblemType, outcome Outcome, message string) *Problem {
	return &Problem{Status: status, Type: kind, Outcome: outcome, Message: message}
}

// retryAfter sets the time to wait before a retry, at least 1 ms, and returns p.
func (p *Problem) retryAfter(d time.Duration) *Problem {
	p.RetryAfterMS = max(1, d.Milliseconds())
	return p
}

type problemBody struct {
	Error *Problem `json:"error"`
}

// write writes the problem as the answer. The Retry-After header is in whole seconds,
// rounded up, since HTTP has no smaller unit.
func (p *Problem) write(w http.ResponseWriter, requestID string) {
	p.RequestID = requestID
	w.Header().Set("Content-Type", "application/json")
	if p.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMS) / float64(time.Second/time.Millisecond))
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(problemBody{Error: p})
}

// eventData returns the problem as the data of a server-sent event.
func (p *Problem) eventData(requestID string) []byte {
	p.RequestID = requestID
	data, err := json.Marshal(problemBody{Error: p})
	if err != nil {
		return []byte(`{"error":{"type":"upstream_failed","outcome":"unknown"}}`)
	}
	return data
}
