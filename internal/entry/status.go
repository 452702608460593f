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

// maxPlanBytes bounds the size of the leading planner's answer.
const maxPlanBytes = 64 << 20

// Status returns the state of the environment as seen from this VM.
func (p *Process) Status(context.Context) (*operator.Status, error) {
	view := p.fleet.View()
	status := &operator.Status{VM: p.settings.VM}
	status.VMs = append(status.VMs, vmStatus(view.Self, stateOf(view.Self, membership.Alive)))
	for _, m := range view.Members {
		status.VMs = append(status.VMs, vmStatus(m.Node, stateOf(m.Node, m.Status)))
	}
	for _, e := range p.enginePoller.Fleet().Engines {
		status.Upstreams = append(status.Upstreams, engineStatus(&e))
	}
	status.Upstreams = append(status.Upstreams, p.serviceStatus()...)
	status.Teams = p.teamStatus()
	return status, nil
}

// teamStatus returns, for each team, this VM's share of the limit and the number of
// requests queued here.
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

// serviceStatus lists the replicas of plain services. Their health is not monitored
// between calls, so only draining is known.
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

// Plan fetches the current plan from the leading planner. It returns an error that is or
// wraps ErrNoLeader if there is no leader, or if the leader cannot be reached or answers
// with an error status.
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

// planOf converts a planner's status to the operators' format.
func planOf(s *planner.Status) *operator.Plan {
	plan := &operator.Plan{Leader: s.Leader.VM, Fence: s.Fence, MadeAt: s.Time}
	for _, e := range s.Engines {
		line := operator.PlanEngine{Engine: e.Name, Memory: e.Capacity, Allowed: e.Allowed}
		for _, h := range e.HeldItems {
			if h.Ready {
				line.Resident = append(line.Resident, h.Item.String())
			}
		}
		plan.Engines = append(plan.Engines, line)
		plan.Steps = append(plan.Steps, runningSteps(e)...)
	}
	plan.Steps = append(plan.Steps, pendingSteps(s)...)
	return plan
}

// pendingSteps lists the planned replicas that their engine neither holds nor is loading
// yet, with the plan's reason.
func pendingSteps(s *planner.Status) []operator.PlanStep {
	type replica struct {
		engine string
		item   placement.Item
	}
	held := make(map[replica]struct{})
	for _, e := range s.Engines {
		for _, h := range e.HeldItems {
			held[replica{e.Name, h.Item}] = struct{}{}
		}
	}
	var steps []operator.PlanStep
	for _, a := range s.Plan.Assignments {
		if _, done := held[replica{a.Engine, a.Item}]; done {
			continue
		}
		steps = append(steps, operator.PlanStep{
			Engine: a.Engine, Item: a.Item.Name().String(), Version: a.Item.Version,
			Kind: "load", State: "waiting", Reason: string(a.Reason),
		})
	}
	return steps
}

// runningSteps lists the loads and unloads that are in progress on an engine, by its
// memory account.
func runningSteps(e planner.EngineStatus) []operator.PlanStep {
	var steps []operator.PlanStep
	for _, h := range e.HeldItems {
		step := operator.PlanStep{Engine: e.Name, Item: h.Item.String(), Version: h.Version, State: "running"}
		switch {
		case h.Unloading:
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

// Drain removes this VM from the address answers or, with undo, adds it again. The
// process keeps running: the platform stops it afterwards. The error is ErrDrainOtherVM
// if target is not this VM.
func (p *Process) Drain(_ context.Context, target string, undo bool) (*operator.DrainAnswer, error) {
	if target != p.settings.VM {
		return nil, ErrDrainOtherVM
	}
	p.leaving.Store(!undo)
	return &operator.DrainAnswer{Target: target, InFlight: int64(p.handler.InFlight())}, nil
}
