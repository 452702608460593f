package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome says what became of a request that was not answered in full.
type Outcome string

// NotRun means that nothing was executed and nothing will be. Unknown means
// that it may have been executed.
const (
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
	Answered Outcome = "answered"
)

// ProblemType names a kind of refusal or failure. docs/CALLERS.md lists them.
type ProblemType string

// The kinds of problem.
const (
	TypeMissingKey    ProblemType = "missing_key"
	TypeUnknownKey    ProblemType = "unknown_key"
	TypeWithdrawnKey  ProblemType = "withdrawn_key"
	TypeMalformed     ProblemType = "malformed_request"
	TypeTooLarge      ProblemType = "request_too_large"
	TypeUnknownModel  ProblemType = "unknown_model"
	TypeUnknownRoute  ProblemType = "unknown_route"
	TypeRateLimited   ProblemType = "rate_limited"
	TypeExceedsBurst  ProblemType = "exceeds_burst"
	TypeNoReplica     ProblemType = "no_replica"
	TypeOverloaded    ProblemType = "overloaded"
	TypeNotReady      ProblemType = "not_ready"
	TypeUpstream      ProblemType = "upstream_failed"
	TypeUpstreamError ProblemType = "upstream_error"
	TypeDeadline      ProblemType = "deadline_exceeded"
	// TypeTooLate refuses early what cannot be finished by its deadline.
	TypeTooLate       ProblemType = "deadline_unattainable"
	TypeQueueFull     ProblemType = "queue_full"
	TypeBadEventID    ProblemType = "bad_event_id"
	TypeUnknownStream ProblemType = "unknown_stream"
	TypeKeyReused     ProblemType = "idempotency_key_reused"
	TypeBadKey        ProblemType = "bad_idempotency_key"
	TypeInProgress    ProblemType = "action_in_progress"
	// TypeOutcomeUnknown answers a retry of an action that may have run.
	TypeOutcomeUnknown ProblemType = "outcome_unknown"
	// TypeAnswerNotKept answers a retry of an action whose answer was too large
	// to keep.
	TypeAnswerNotKept    ProblemType = "answer_not_kept"
	TypeClaimUnavailable ProblemType = "claim_unavailable"
	TypeCallerGone       ProblemType = "caller_gone"
)

// Problem is a refusal or failure as the caller sees it.
type Problem struct {
	// Status is the HTTP status code.
	Status int `json:"-"`
	// Type is the kind.
	Type ProblemType `json:"type"`
	// Message explains it to a person.
	Message string `json:"message"`
	// Outcome says whether the request may have been executed.
	Outcome Outcome `json:"outcome"`
	// RequestID is the request's.
	RequestID string `json:"request_id"`
	// RetryAfterMS is when to come back in milliseconds, 0 if that is not known.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Error returns the type and the message.
func (p *Problem) Error() string { return string(p.Type) + ": " + p.Message }

func newProblem(status int, kind ProblemType, outcome Outcome, message string) *Problem {
	return &Problem{Status: status, Type: kind, Outcome: outcome, Message: message}
}

// retryAfter sets when the caller should come back.
func (p *Problem) retryAfter(d time.Duration) *Problem {
	p.RetryAfterMS = max(1, d.Milliseconds())
	return p
}

type problemBody struct {
	Error *Problem `json:"error"`
}

// write answers with the problem. The header Retry-After is in whole seconds,
// rounded up, since HTTP knows no smaller unit.
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

// event returns the problem as the data of a server-sent event.
func (p *Problem) event(requestID string) []byte {
	p.RequestID = requestID
	data, err := json.Marshal(problemBody{Error: p})
	if err != nil {
		return []byte(`{"error":{"type":"upstream_failed","outcome":"unknown"}}`)
	}
	return data
}
