package load

import "time"

// Outcome is how one request ended.
type Outcome string

// The outcomes of a request.
const (
	// Whole is a complete and correct answer.
	Whole Outcome = "whole"
	// Damaged is an answer that says it is whole but is not the right one.
	Damaged Outcome = "damaged"
	// Cut is an answer that broke off and could not be taken up again.
	Cut Outcome = "cut"
	// Refused is a refusal that says the request was not run, for its rate.
	Refused Outcome = "refused"
	// NotRun is any other refusal that says the request was not run.
	NotRun Outcome = "not_run"
	// Unknown is an action of which it is not known whether it ran.
	Unknown Outcome = "unknown"
	// Failed is any other end: no connection, no answer, a malformed one.
	Failed Outcome = "failed"
	// NotSent is an arrival that the load tool had no room for.
	NotSent Outcome = "not_sent"
)

// outcomes lists them in the order of the report.
var outcomes = []Outcome{Whole, Damaged, Cut, Refused, NotRun, Unknown, Failed, NotSent}

// Result is what one request's caller saw. Times count from the scheduled
// arrival.
type Result struct {
	Arrival Arrival
	// Outcome is how it ended.
	Outcome Outcome
	// Reason is the error's type or text.
	Reason string
	// Inside says that the team's ideal bucket admits it.
	Inside bool
	// FirstToken is the time to the first token, Total to the end.
	FirstToken time.Duration
	Total      time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Resumes is how often the stream was taken up again.
	Resumes int
}

// perToken is the mean time between the tokens of a stream.
func (r *Result) perToken() time.Duration {
	if len(r.Gaps) == 0 {
		return 0
	}
	var sum time.Duration
	for _, g := range r.Gaps {
		sum += g
	}
	return sum / time.Duration(len(r.Gaps))
}

// attained says whether a request met the objectives. An action has to be
// answered within the time to the first token.
func (r *Result) attained(w *Workload) bool {
	return r.Outcome == Whole && r.FirstToken <= w.FirstToken && r.perToken() <= w.BetweenTokens
}
