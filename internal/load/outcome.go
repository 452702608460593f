package load

import "time"

// Outcome is the way in which one request ended.
type Outcome string

// The outcomes of a request.
const (
	// Whole is a complete and correct answer.
	Whole Outcome = "whole"
	// Damaged is an answer that ended as complete but has the wrong content.
	Damaged Outcome = "damaged"
	// Cut is an answer that broke off and could not be resumed.
	Cut Outcome = "cut"
	// Refused is a refusal for the team's rate, with status 429, that states that
	// the request was not run.
	Refused Outcome = "refused"
	// NotRun is any other refusal that states that the request was not run.
	NotRun Outcome = "not_run"
	// Unknown is a request of which it is not known whether it ran.
	Unknown Outcome = "unknown"
	// Failed is any other failure: no connection, no answer or a malformed one.
	Failed Outcome = "failed"
	// NotSent is an arrival that was not sent because too many requests were in
	// flight.
	NotSent Outcome = "not_sent"
)

// allOutcomes lists the outcomes in the order of the report.
var allOutcomes = []Outcome{Whole, Damaged, Cut, Refused, NotRun, Unknown, Failed, NotSent}

// Result is the result of one request as its caller observes it. Times count
// from the scheduled arrival.
type Result struct {
	Arrival Arrival
	// Outcome is the way in which the request ended.
	Outcome Outcome
	// Reason is the status and type of the error response, or the last part of
	// the error's text.
	Reason string
	// InsideRate means that the team's ideal bucket admits the request.
	InsideRate bool
	// FirstToken is the time to the first token, Total the time to the end.
	FirstToken time.Duration
	Total      time.Duration
	// TokenGaps are the times between consecutive tokens.
	TokenGaps []time.Duration
	// Resumes is the number of attempts to resume the stream.
	Resumes int
}

// meanTokenGap returns the mean time between the tokens of a stream, or 0 if
// there is no gap.
func (r *Result) meanTokenGap() time.Duration {
	if len(r.TokenGaps) == 0 {
		return 0
	}
	var sum time.Duration
	for _, gap := range r.TokenGaps {
		sum += gap
	}
	return sum / time.Duration(len(r.TokenGaps))
}

// metObjectives reports whether a request met both latency objectives. For an
// action, the objective of the first token applies to the whole answer.
func (r *Result) metObjectives(w *Workload) bool {
	return r.Outcome == Whole && r.FirstToken <= w.FirstToken && r.meanTokenGap() <= w.BetweenTokens
}
