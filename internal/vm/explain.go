package vm

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/operator"
	"github.com/chestnutarch/chestnutarch/internal/teamrate"
	"github.com/chestnutarch/chestnutarch/internal/telemetry"
	"github.com/chestnutarch/chestnutarch/internal/traffic"
)

// This file tells operators where a request would go now, on the address that serves metrics.

// ErrQuestion means that a question has a field that no request could have.
var ErrQuestion = errors.New("vm: bad question")

// SetOperators replaces the operators who may ask where requests would go. Without any, nobody may.
func (p *Process) SetOperators(o operator.Operators) { p.operators.Store(&o) }

// ReloadOperators replaces the operators by those that read returns. If it fails, the old ones stay.
func (p *Process) ReloadOperators(read func() (operator.Operators, error)) {
	next, err := read()
	if err != nil {
		p.log.Error().Str("event", "reload_failed").AnErr("cause", err).Send()
		return
	}
	p.SetOperators(next)
}

func (p *Process) operatorsInForce() operator.Operators {
	if o := p.operators.Load(); o != nil {
		return *o
	}
	return nil
}

// operatorHandler serves metrics to everyone, and explanations to operators.
func (p *Process) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", telemetry.TextHandler(p.metrics))
	mux.Handle(operator.PathExplainRoute, operator.NewRouteHandler(p.operatorsInForce, p.explainRoute))
	return mux
}

// explainRoute answers an operator's question. Questions are answered one after the other: each reads all upstreams of a
// service while requests wait.
func (p *Process) explainRoute(name string, q *operator.RouteQuestion) (*operator.RouteExplanation, error) {
	question, err := questionOf(q)
	if err != nil {
		return nil, err
	}
	p.explaining.Lock()
	e, err := p.core.Explain(question)
	p.explaining.Unlock()
	p.log.Info().Str("event", "route_explained").Str("operator", name).Str("route", q.Route).Str("host", q.Host).Str("path", q.Path).
		Str("team", q.Team).Str("model", q.Model).Str("adapter", q.Adapter).AnErr("cause", err).Send()
	if err != nil {
		return nil, explainError(err)
	}
	return explanationOf(p.settings.VM, e), nil
}

// questionOf returns the question of an operator. Errors are ErrQuestion, wrapped.
func questionOf(q *operator.RouteQuestion) (traffic.Question, error) {
	out := traffic.Question{
		Route: q.Route, Host: q.Host, Path: q.Path, Team: q.Team, Model: q.Model, Adapter: q.Adapter,
		PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, Timeout: time.Duration(q.DeadlineMs * float64(time.Millisecond)),
	}
	for _, f := range []struct {
		name     string
		negative bool
	}{{"prompt_tokens", q.PromptTokens < 0}, {"output_tokens", q.OutputTokens < 0}, {"deadline_ms", q.DeadlineMs < 0}} {
		if f.negative {
			return out, errors.Wrapf(ErrQuestion, "%s is negative", f.name)
		}
	}
	for i, part := range q.Parts {
		if part.ID == "" || part.Tokens < 0 {
			return out, errors.Wrapf(ErrQuestion, "parts[%d] needs an ID and a number of tokens that is not negative", i)
		}
		out.Parts = append(out.Parts, traffic.PromptPart{ID: part.ID, Tokens: part.Tokens})
	}
	return out, nil
}

// explainError returns an error of traffic.Core.Explain as operators are told it.
func explainError(err error) error {
	kind := operator.TypeNotFound
	if errors.Is(err, traffic.ErrNotReady) {
		kind = operator.TypeUnavailable
	}
	return &operator.APIError{Type: kind, Message: err.Error()}
}

func explanationOf(vm string, e *traffic.Explanation) *operator.RouteExplanation {
	out := &operator.RouteExplanation{
		VM: vm, Configuration: e.Configuration, UpstreamsAgeMs: milliseconds(e.UpstreamsAge), Route: e.Route.Name, Team: e.Team, Urgency: e.Urgency,
		DueMs: milliseconds(e.DueIn), DeadlineMs: milliseconds(e.Timeout), Rate: rateForecastOf(e.Units, e.Rate),
	}
	for _, s := range e.Services {
		out.Services = append(out.Services, serviceRouteOf(&s))
	}
	return out
}

func rateForecastOf(units float64, f teamrate.Forecast) operator.RateForecast {
	return operator.RateForecast{
		Limited: f.Limited, Units: units, Level: f.Level, Capacity: f.Capacity, AdmitProbability: f.Probability, RetryAfterMs: milliseconds(f.RetryAfter),
	}
}

const (
	costInMilliseconds = "ms"
	costInSlots        = "slots"
)

func serviceRouteOf(s *traffic.ServiceExplanation) operator.ServiceRoute {
	d := s.Choice.Decision
	out := operator.ServiceRoute{
		Service: s.Service, Share: s.Share, Action: string(s.Action), Upstream: d.Instance, Rule: string(d.Rule), ExpectedStartMs: milliseconds(d.Expected),
		NeedsPermit: d.NeedsPermit, HoldMs: milliseconds(s.HoldFor), AdmittedFraction: s.AdmittedFraction, ExpectedCostMs: milliseconds(s.ExpectedCost),
		Room:     operator.RouteRoom{Upstreams: s.Room.Upstreams, Slots: s.Room.Slots, InFlight: s.Room.InFlight},
		CostUnit: costInSlots, Candidates: make([]operator.RouteCandidate, 0, len(s.Choice.Candidates)),
	}
	if s.Engines {
		out.CostUnit = costInMilliseconds
	}
	if r := s.Refusal; r != nil {
		out.Rejection = &operator.RouteRejection{Status: r.Status, Reason: r.Reason, Detail: r.Detail, RetryAfterMs: milliseconds(r.RetryAfter)}
	}
	for _, c := range s.Choice.Candidates {
		out.Candidates = append(out.Candidates, routeCandidateOf(&c, d.Instance))
	}
	return out
}

func routeCandidateOf(c *assign.Candidate, chosen string) operator.RouteCandidate {
	i, known := c.Instance, c.KnownLoad
	out := operator.RouteCandidate{
		Rank: c.Rank, Upstream: i.ID, Chosen: i.ID == chosen, Region: i.Region, FailureDomain: i.FailureDomain, Version: i.SoftwareVersion,
		LastChoice: c.LastChoice, Preferred: c.Preferred, Cost: c.Cost, StartMs: milliseconds(c.Start), CachedTokens: c.Cached,
		Slots: i.Slots, InFlight: known.Requests, InFlightOtherVMs: known.PeerRequests, PrefillTokens: known.PrefillTokens, ReportAgeMs: milliseconds(known.ReportAge),
		Reasons: make([]operator.RouteReason, 0, len(c.Reasons)),
	}
	for _, r := range c.Reasons {
		out.Reasons = append(out.Reasons, operator.RouteReason{Cause: string(r.Cause), LeftMs: milliseconds(r.Left)})
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
