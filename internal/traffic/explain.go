package traffic

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/teamrate"
)

// This file explains where a request would go now. It takes the decisions of Serve and none of their effects: nothing is
// sent, reserved, counted or logged.

var (
	// ErrNotReady means that this VM takes no requests: it has no configuration, or it stops.
	ErrNotReady = errors.New("traffic: the VM takes no requests at present")
	// ErrUnknownRoute means that the configuration in force has no such route.
	ErrUnknownRoute = errors.New("traffic: unknown route")
	// ErrUnknownTeam means that the configuration in force has no such team, or that the route needs one.
	ErrUnknownTeam = errors.New("traffic: unknown team")
	// ErrUnknownModel means that no engine of the route's services can load the model, or that they need one.
	ErrUnknownModel = errors.New("traffic: unknown model")
)

// Question describes a request that is not sent.
type Question struct {
	// Route is the name of the route. If it is empty, Host and Path select the route.
	Route, Host, Path string
	// Team is the team that would hold the key, empty on routes that need none.
	Team           string
	Model, Adapter string
	// PromptTokens and OutputTokens are as in Request. Parts are the parts of the prompt, in order.
	PromptTokens, OutputTokens int
	Parts                      []PromptPart
	// Timeout is the caller's timeout, zero if it sends none.
	Timeout time.Duration
}

// Explanation says what would happen to a request.
type Explanation struct {
	// Configuration is the version of the configuration in force.
	Configuration int64
	Route         *catalog.Route
	// Team and Urgency are those that apply: routes that need no key apply no team.
	Team    string
	Urgency int
	// DueIn is the time in which the answer or its first event is due, Timeout that until the deadline.
	DueIn, Timeout time.Duration
	// Units is what the request would take of the team's rate, Rate what the rate would say.
	Units float64
	Rate  teamrate.Forecast
	// UpstreamsAge is the age of this VM's table of upstreams.
	UpstreamsAge time.Duration
	// Services holds an explanation for each service of the route: a request goes to one of them, by its ID.
	Services []ServiceExplanation
}

// ServiceExplanation says what would happen to a request for which a service is selected.
type ServiceExplanation struct {
	Service string
	// Share is the part of the route's requests that go to the service.
	Share float64
	// Engines means that the service has engines.
	Engines bool
	// ExpectedCost is the time of an upstream that the request is expected to take.
	ExpectedCost time.Duration
	Room         assign.Room
	// AdmittedFraction is the fraction of such requests that is admitted while the service is short of room, else 1.
	AdmittedFraction float64
	Action           Action
	// HoldFor is the longest time for which the request would be held.
	HoldFor time.Duration
	// Refusal is the answer to a request that is rejected, or that is held and does not get a place. Nil for others.
	Refusal *Refusal
	// Choice is the choice of an upstream, also if the request would not get that far.
	Choice assign.Explanation
}

// Action is what would happen to a request first.
type Action string

// The actions.
const (
	// ActionSend sends the request to the chosen upstream.
	ActionSend Action = "send"
	// ActionForward offers it to another VM, since this one does not reach the service's upstreams.
	ActionForward Action = "forward_to_other_vm"
	// ActionAskLeader has the leader load the adapter, and holds the request meanwhile.
	ActionAskLeader Action = "ask_leader_for_adapter"
	// ActionHold holds the request until a place is free.
	ActionHold Action = "hold"
	// ActionReject rejects the request.
	ActionReject Action = "reject"
)

// Explain says where a request would go now, and why. Errors are ErrNotReady, ErrUnknownRoute, ErrUnknownTeam and
// ErrUnknownModel, wrapped.
func (c *Core) Explain(q Question) (*Explanation, error) {
	config := c.catalog.Load()
	if config == nil || c.refusing.Load() {
		return nil, errors.WithStack(ErrNotReady)
	}
	route, err := q.resolve(config)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	request := q.request(now)
	out := &Explanation{
		Configuration: config.Version, Route: route, Team: q.Team, Units: unitsOf(config, request), UpstreamsAge: c.options.UpstreamsAge(),
		Rate: teamrate.Forecast{Probability: 1},
	}
	if q.Team != "" {
		out.Rate = c.options.Limiter.Preview(q.Team, out.Units, now)
	}
	c.explainServices(out, config, request, now)
	return out, nil
}

// explainServices adds the explanations for the services of the route.
func (c *Core) explainServices(out *Explanation, config *catalog.Catalog, request *Request, now time.Time) {
	total := totalWeight(out.Route)
	for _, share := range out.Route.Shares {
		j := c.newJob(config, out.Route, request, out.Team)
		j.service = share.Service
		j.setDeadlines()
		out.Urgency, out.DueIn, out.Timeout = j.urgency, j.due.Sub(now), j.deadline.Sub(now)
		s := j.explain(out.Rate, now)
		s.Share = share.Weight / total
		out.Services = append(out.Services, s)
	}
}

// resolve returns the route of the request, and removes a team that does not apply.
func (q *Question) resolve(config *catalog.Catalog) (*catalog.Route, error) {
	route, err := q.route(config)
	if err != nil {
		return nil, err
	}
	if err := q.checkTeam(config, route); err != nil {
		return nil, err
	}
	if !config.NeedsKey(route) {
		q.Team = ""
	}
	return route, q.checkModel(config, route)
}

func totalWeight(r *catalog.Route) float64 {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return 1
	}
	return total
}

func (q *Question) route(config *catalog.Catalog) (*catalog.Route, error) {
	if q.Route == "" {
		if r := config.Match(q.Host, q.Path); r != nil {
			return r, nil
		}
		return nil, errors.Wrapf(ErrUnknownRoute, "no route has host %q and path %q in configuration %d", q.Host, q.Path, config.Version)
	}
	for _, r := range config.Routes() {
		if r.Name == q.Route {
			return r, nil
		}
	}
	return nil, errors.Wrapf(ErrUnknownRoute, "%q in configuration %d", q.Route, config.Version)
}

func (q *Question) checkTeam(config *catalog.Catalog, route *catalog.Route) error {
	if q.Team != "" && config.Teams[q.Team] == nil {
		return errors.Wrapf(ErrUnknownTeam, "%q in configuration %d", q.Team, config.Version)
	}
	if q.Team == "" && config.NeedsKey(route) {
		return errors.Wrapf(ErrUnknownTeam, "route %q needs a key: name a team", route.Name)
	}
	return nil
}

func (q *Question) checkModel(config *catalog.Catalog, route *catalog.Route) error {
	hasEngines := false
	for _, share := range route.Shares {
		s := config.Services[share.Service]
		if s == nil || s.Engine == nil {
			continue
		}
		hasEngines = true
		if _, ok := s.Engine.Models[q.Model]; ok {
			return nil
		}
	}
	switch {
	case q.Model == "" && hasEngines:
		return errors.Wrapf(ErrUnknownModel, "route %q leads to engines: name a model", route.Name)
	case q.Model != "" && hasEngines:
		return errors.Wrapf(ErrUnknownModel, "%q at the services of route %q", q.Model, route.Name)
	case q.Model != "":
		return errors.Wrapf(ErrUnknownModel, "%q: route %q leads to no engines", q.Model, route.Name)
	}
	return nil
}

// request returns the request that is asked about, as if it had just arrived.
func (q *Question) request(now time.Time) *Request {
	tokens := 0
	for _, p := range q.Parts {
		tokens += p.Tokens
	}
	out := &Request{
		Host: q.Host, Path: q.Path, Arrived: now, Timeout: q.Timeout, Model: q.Model, Adapter: q.Adapter,
		PromptTokens: max(q.PromptTokens, tokens), OutputTokens: q.OutputTokens, Parts: q.Parts,
	}
	out.TokensDeclared = out.PromptTokens > 0 || out.OutputTokens > 0
	return out
}

// explain says what would happen to the request at its service.
func (j *job) explain(rate teamrate.Forecast, now time.Time) ServiceExplanation {
	assigner, req := j.core.options.Assigner, j.assignRequest()
	out := ServiceExplanation{
		Service: j.service, Engines: j.request.Model != "", ExpectedCost: assigner.ExpectedCost(req), Room: assigner.Room(j.service, j.request.Model, now), Choice: assigner.Explain(req, now),
	}
	out.AdmittedFraction = j.previewRoom(now).Fraction
	refused := out.Choice.Refused
	switch refusal := j.explainAdmission(rate, now); {
	case refusal != nil:
		out.Action, out.Refusal = ActionReject, refusal
	case j.shouldForward():
		out.Action = ActionForward
	case refused == nil:
		out.Action = ActionSend
	default:
		out.Action, out.HoldFor = j.explainRefused(req, refused, now)
		refusal := notRun(refused)
		out.Refusal = &refusal
	}
	return out
}

// explainAdmission returns the refusal of a request that would not be admitted, nil if it would.
func (j *job) explainAdmission(rate teamrate.Forecast, now time.Time) *Refusal {
	if left, in := j.partInQuarantine(now); in {
		refusal := notRun(ErrQuarantined)
		refusal.Reason, refusal.Detail, refusal.RetryAfter = reasonPartQuarantined, quarantineDetails[reasonPartQuarantined], left
		return &refusal
	}
	if rate.Probability <= 0 {
		return rateLimitedRefusal(rate.RetryAfter)
	}
	if room := j.previewRoom(now); !room.Admitted {
		refusal := notRun(shortRoom(room))
		return &refusal
	}
	return nil
}

// partInQuarantine reports whether a part of the prompt is quarantined, and for how long.
func (j *job) partInQuarantine(now time.Time) (left time.Duration, in bool) {
	table := j.core.options.Quarantine
	if !table.InUse() {
		return 0, false
	}
	_, left, in = table.JudgedPart(j.sharedParts(), now)
	return left, in
}

// explainRefused returns what would happen to a request for which no upstream can be chosen now, and for how long it would
// be held at most.
func (j *job) explainRefused(req assign.Request, refused *assign.Refused, now time.Time) (Action, time.Duration) {
	holdFor := time.Duration(0)
	if until := j.holdUntil(req, now, refused); refused.Holdable && now.Add(refused.Wait).Before(until) {
		holdFor = until.Sub(now)
	}
	switch {
	case errors.Is(refused, assign.ErrAdapterNotLoaded):
		return ActionAskLeader, holdFor
	case holdFor > 0:
		return ActionHold, holdFor
	}
	return ActionReject, 0
}
