package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/operator"
	"github.com/chestnutarch/chestnutarch/internal/placement"
	"github.com/chestnutarch/chestnutarch/internal/planner"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

// maxPlanBytes bounds the leader's answer.
const maxPlanBytes = 64 << 20

// Status tells how the environment looks from this VM.
func (p *Process) Status(context.Context) (*operator.Status, error) {
	view := p.fleet.View()
	status := &operator.Status{VM: p.settings.VM}
	status.VMs = append(status.VMs, vmStatus(view.Self, stateOf(view.Self, membership.Heard)))
	for _, m := range view.Members {
		status.VMs = append(status.VMs, vmStatus(m.Node, stateOf(m.Node, m.Status)))
	}
	for _, e := range p.poller.Fleet().Engines {
		status.Upstreams = append(status.Upstreams, engineStatus(&e))
	}
	status.Upstreams = append(status.Upstreams, p.serviceStatus()...)
	status.Teams = p.teamStatus()
	return status, nil
}

// teamStatus joins what this VM holds of each team's limit and what waits here.
func (p *Process) teamStatus() []operator.TeamStatus {
	queued := p.traffic.models.Stats().Queued
	var all []operator.TeamStatus
	for _, t := range p.leases.Teams() {
		all = append(all, operator.TeamStatus{
			Team: t.Team, Rate: t.Rate, Balance: t.Balance, Loans: t.Lent, Queued: int64(queued[t.Team]),
		})
	}
	return all
}

func vmStatus(n membership.Node, state string) operator.VMStatus {
	return operator.VMStatus{
		VM:            n.VM,
		FailureDomain: n.FailureDomain,
		State:         state,
		ConfigVersion: n.ConfigVersion,
		InFlight:      n.InFlight,
	}
}

func stateOf(n membership.Node, status membership.Status) string {
	switch {
	case status == membership.Gone:
		return "gone"
	case n.Leaving:
		return "leaving"
	case status == membership.Suspected:
		return "suspected"
	case !n.Ready:
		return "not ready"
	}
	return "healthy"
}

func engineStatus(e *route.Engine) operator.UpstreamStatus {
	status := operator.UpstreamStatus{
		Name:          e.Name,
		Kind:          "engine",
		FailureDomain: e.FailureDomain,
		State:         "ready",
		Running:       int64(e.Running),
		Waiting:       int64(e.Waiting),
	}
	switch {
	case e.Leaving:
		status.State = "draining"
	case !e.Reachable:
		status.State = "silent"
	}
	for item := range e.Ready {
		name := item.Model
		if item.Adapter != "" {
			name += "/" + item.Adapter
		}
		status.Resident = append(status.Resident, name)
	}
	slices.Sort(status.Resident)
	return status
}

// serviceStatus lists the replicas of plain services. Their health is not
// watched between calls, so that only draining is known.
func (p *Process) serviceStatus() []operator.UpstreamStatus {
	snapshot := p.config.Snapshot()
	if snapshot == nil {
		return nil
	}
	var all []operator.UpstreamStatus
	for _, s := range snapshot.Document.Services {
		for _, r := range s.Replicas {
			state := "ready"
			if r.Draining {
				state = "draining"
			}
			all = append(all, operator.UpstreamStatus{Name: r.Name, Kind: "service", FailureDomain: r.FailureDomain, State: state})
		}
	}
	return all
}

// Plan asks the leading planner what it wants and why.
func (p *Process) Plan(ctx context.Context) (*operator.Plan, error) {
	leader, err := planner.FindLeader(ctx, p.store, p.settings.Environment)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, ErrNoLeader
	}
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, leader.URL+"/v1/plan", nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	answer, err := p.plannerHTTP.Do(request)
	if err != nil {
		return nil, errors.Wrap(ErrNoLeader, err.Error())
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, ErrNoLeader
	}
	status := &planner.Status{}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxPlanBytes)).Decode(status); err != nil {
		return nil, errors.WithStack(err)
	}
	return planOf(status), nil
}

func planOf(s *planner.Status) *operator.Plan {
	plan := &operator.Plan{Leader: s.Leader.VM, Fence: s.Fence, MadeAt: s.Time}
	for _, e := range s.Engines {
		line := operator.PlanEngine{Engine: e.Name, Memory: e.Capacity, Allowed: e.Allowed}
		for _, h := range e.Holds {
			if h.Ready {
				line.Resident = append(line.Resident, h.Item.String())
			}
		}
		plan.Engines = append(plan.Engines, line)
		plan.Steps = append(plan.Steps, underWay(e)...)
	}
	plan.Steps = append(plan.Steps, waiting(s)...)
	return plan
}

// waiting lists the wanted copies that no order is under way for, with the
// reason that the plan gives.
func waiting(s *planner.Status) []operator.PlanStep {
	type copyOf struct {
		engine string
		item   placement.Item
	}
	held := make(map[copyOf]struct{})
	for _, e := range s.Engines {
		for _, h := range e.Holds {
			held[copyOf{e.Name, h.Item}] = struct{}{}
		}
	}
	var steps []operator.PlanStep
	for _, a := range s.Plan.Assignments {
		if _, done := held[copyOf{a.Engine, a.Item}]; done {
			continue
		}
		steps = append(steps, operator.PlanStep{
			Engine: a.Engine, Item: a.Item.Name().String(), Version: a.Item.Version,
			Kind: "load", State: "waiting", Reason: string(a.Reason),
		})
	}
	return steps
}

// underWay lists what an engine's memory account still has open.
func underWay(e planner.EngineStatus) []operator.PlanStep {
	var steps []operator.PlanStep
	for _, h := range e.Holds {
		step := operator.PlanStep{Engine: e.Name, Item: h.Item.String(), Version: h.Version, State: "running"}
		switch {
		case h.Leaving:
			step.Kind, step.Reason = "unload", "no longer wanted here"
		case !h.Ready:
			step.Kind, step.Reason = "load", "wanted here and not ready yet"
		default:
			continue
		}
		steps = append(steps, step)
	}
	return steps
}

// Drain takes this VM out of the address answers, or back in. It stays up: the
// platform stops it afterwards.
func (p *Process) Drain(_ context.Context, target string, undo bool) (*operator.DrainAnswer, error) {
	if target != p.settings.VM {
		return nil, ErrOtherVM
	}
	p.leaving.Store(!undo)
	return &operator.DrainAnswer{Target: target, InFlight: int64(p.handler.InFlight())}, nil
}
