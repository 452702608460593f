package operator

import (
	"net/http"
)

// PathExplainRoute is the path of the call that explains where a request would go. A VM of the platform serves it on the
// address of its metrics.
const PathExplainRoute = "/operator/v1/route/explain"

// maxQuestionBytes bounds the body of a question.
const maxQuestionBytes = 64 << 10

// RouteQuestion describes a request that is not sent. It names the team and never a key.
type RouteQuestion struct {
	// Route is the name of a route. If it is empty, Host and Path select the route.
	Route string `json:"route,omitempty"`
	Host  string `json:"host,omitempty"`
	Path  string `json:"path,omitempty"`
	// Team is the team that would hold the key, empty on routes that need none.
	Team string `json:"team,omitempty"`
	// Model and Adapter are empty for services without engines, Adapter also for base models.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// PromptTokens and OutputTokens are the size of the prompt and the largest number of generated tokens.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	// Parts are the parts of the prompt, in order.
	Parts []PromptPart `json:"parts,omitempty"`
	// DeadlineMs is the caller's timeout in milliseconds, zero if it sends none.
	DeadlineMs float64 `json:"deadline_ms,omitempty"`
}

// PromptPart is a part of a prompt that other prompts may share.
type PromptPart struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// RouteExplanation says what would happen to a request, as one VM sees it.
type RouteExplanation struct {
	VM string `json:"vm" yaml:"vm"`
	// Configuration is the version of the configuration in force, UpstreamsAgeMs the age of the table of upstreams.
	Configuration  int64   `json:"configuration" yaml:"configuration"`
	UpstreamsAgeMs float64 `json:"upstreams_age_ms" yaml:"upstreams_age_ms"`
	Route          string  `json:"route" yaml:"route"`
	// Team is empty if the route needs no key. Urgency is the one that applies; 0 is the most urgent.
	Team    string `json:"team" yaml:"team"`
	Urgency int    `json:"urgency" yaml:"urgency"`
	// DueMs is the time in which the answer, or its first event, is due.
	DueMs      float64      `json:"due_ms" yaml:"due_ms"`
	DeadlineMs float64      `json:"deadline_ms" yaml:"deadline_ms"`
	Rate       RateForecast `json:"rate" yaml:"rate"`
	// Services holds an entry for each service of the route: a request goes to one of them, by its ID.
	Services []ServiceRoute `json:"services" yaml:"services"`
}

// RateForecast says what the rate of a team would say. Units are those of the team's rate.
type RateForecast struct {
	Limited bool `json:"limited" yaml:"limited"`
	// Units is what the request takes of the Level units that are left. The bucket holds Capacity at most.
	Units    float64 `json:"units" yaml:"units"`
	Level    float64 `json:"level" yaml:"level"`
	Capacity float64 `json:"capacity" yaml:"capacity"`
	// AdmitProbability is between 0 and 1 while little is left. RetryAfterMs is told to a request that is not admitted.
	AdmitProbability float64 `json:"admit_probability" yaml:"admit_probability"`
	RetryAfterMs     float64 `json:"retry_after_ms" yaml:"retry_after_ms"`
}

// ServiceRoute says what would happen to a request for which a service is selected.
type ServiceRoute struct {
	Service string `json:"service" yaml:"service"`
	// Share is the part of the route's requests that go to the service.
	Share float64 `json:"share" yaml:"share"`
	// Action is "send", "forward_to_other_vm", "ask_leader_for_adapter", "hold" or "reject".
	Action string `json:"action" yaml:"action"`
	// Upstream is the upstream that would be chosen, Rule why. Both are empty if none would be.
	Upstream string `json:"upstream" yaml:"upstream"`
	Rule     string `json:"rule" yaml:"rule"`
	// ExpectedStartMs is the expected time to the first event there. NeedsPermit means that it gets the request only with a
	// permit.
	ExpectedStartMs float64 `json:"expected_start_ms" yaml:"expected_start_ms"`
	NeedsPermit     bool    `json:"needs_permit" yaml:"needs_permit"`
	// HoldMs is the longest time for which the request would be held.
	HoldMs float64 `json:"hold_ms" yaml:"hold_ms"`
	// Rejection is the answer to a request that is rejected, or that is held and does not get a place.
	Rejection *RouteRejection `json:"rejection,omitempty" yaml:"rejection,omitempty"`
	// AdmittedFraction is the fraction of such requests that is admitted while the service is short of room, else 1.
	AdmittedFraction float64 `json:"admitted_fraction" yaml:"admitted_fraction"`
	// ExpectedCostMs is the time of an upstream that the request is expected to take.
	ExpectedCostMs float64   `json:"expected_cost_ms" yaml:"expected_cost_ms"`
	Room           RouteRoom `json:"room" yaml:"room"`
	// CostUnit is the unit of the candidates' costs: "ms", or "slots" for the share of the slots that are taken.
	CostUnit   string           `json:"cost_unit" yaml:"cost_unit"`
	Candidates []RouteCandidate `json:"candidates" yaml:"candidates"`
}

// RouteRejection is what the caller would be told.
type RouteRejection struct {
	Status       int     `json:"status" yaml:"status"`
	Reason       string  `json:"reason" yaml:"reason"`
	Detail       string  `json:"detail" yaml:"detail"`
	RetryAfterMs float64 `json:"retry_after_ms" yaml:"retry_after_ms"`
}

// RouteRoom is what the available upstreams can run at once, and what they are known to run.
type RouteRoom struct {
	Upstreams int `json:"upstreams" yaml:"upstreams"`
	Slots     int `json:"slots" yaml:"slots"`
	InFlight  int `json:"in_flight" yaml:"in_flight"`
}

// RouteCandidate is an upstream as the choice sees it.
type RouteCandidate struct {
	// Rank is the position by cost, 0 for an upstream that cannot be chosen by it.
	Rank          int    `json:"rank" yaml:"rank"`
	Upstream      string `json:"upstream" yaml:"upstream"`
	Chosen        bool   `json:"chosen" yaml:"chosen"`
	Region        string `json:"region" yaml:"region"`
	FailureDomain string `json:"failure_domain" yaml:"failure_domain"`
	Version       string `json:"version" yaml:"version"`
	// LastChoice means that it gets only what no other upstream can take, Preferred that prompts with the same beginning go
	// there first.
	LastChoice bool `json:"last_choice" yaml:"last_choice"`
	Preferred  bool `json:"preferred" yaml:"preferred"`
	// Cost, StartMs and CachedTokens are zero without a rank.
	Cost         float64 `json:"cost" yaml:"cost"`
	StartMs      float64 `json:"start_ms" yaml:"start_ms"`
	CachedTokens int     `json:"cached_tokens" yaml:"cached_tokens"`
	// InFlight counts the known requests there, InFlightOtherVMs how many of them other VMs have reported, the oldest of them
	// ReportAgeMs ago.
	Slots            int     `json:"slots" yaml:"slots"`
	InFlight         int     `json:"in_flight" yaml:"in_flight"`
	InFlightOtherVMs int     `json:"in_flight_other_vms" yaml:"in_flight_other_vms"`
	PrefillTokens    int     `json:"prefill_tokens" yaml:"prefill_tokens"`
	ReportAgeMs      float64 `json:"report_age_ms" yaml:"report_age_ms"`
	// Reasons are why the upstream cannot be chosen, is a last choice, or is not compared.
	Reasons []RouteReason `json:"reasons" yaml:"reasons"`
}

// RouteReason is a reason with the time until it ends, zero if that is not known.
type RouteReason struct {
	Cause  string  `json:"cause" yaml:"cause"`
	LeftMs float64 `json:"left_ms" yaml:"left_ms"`
}

// RouteExplainer explains where a request would go, for the operator of a name. Errors other than *APIError are refusals.
type RouteExplainer func(operator string, q *RouteQuestion) (*RouteExplanation, error)

// NewRouteHandler serves PathExplainRoute to the operators that operators returns. Without any, every call is refused, with
// an error that says how to allow it.
func NewRouteHandler(operators func() Operators, explain RouteExplainer) http.Handler {
	call := jsonHandler(func(r *http.Request) (*RouteExplanation, error) {
		q, err := decode[RouteQuestion](r)
		if err != nil {
			return nil, err
		}
		return explain(operatorName(r.Context()), &q)
	})
	mux := http.NewServeMux()
	mux.Handle("POST "+PathExplainRoute, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxQuestionBytes)
		known := operators()
		if len(known) == 0 {
			writeError(w, &APIError{Type: TypeUnauthorized, Message: "this VM knows no operators: start chestnut-vm with --operators FILE"})
			return
		}
		known.authenticate(call).ServeHTTP(w, r)
	}))
	return mux
}
