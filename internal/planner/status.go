package planner

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/demand"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// ErrNotLeader means that this planner does not lead.
var ErrNotLeader = errors.New("planner: not the leader")

// Status is the planner's state as operators see it: what is planned and why,
// and what is resident on which engine.
type Status struct {
	// Leader is the leading planner.
	Leader Leader `json:"leader"`
	// Fence is the leader's fencing token.
	Fence int64 `json:"fence"`
	// Version is the version of the configuration that the plan is for.
	Version int64 `json:"version"`
	// Time is when the plan was made.
	Time time.Time `json:"time"`
	// InControl reports whether the leader may send orders yet.
	InControl bool `json:"in_control"`
	// Plan is what every engine should hold.
	Plan placement.Plan `json:"plan"`
	// Demand is the demand estimate that the plan is based on, largest first,
	// at most demand.MaxTopNames names.
	Demand []NameDemand `json:"demand,omitempty"`
	// Engines lists for every engine the items that may be resident there and
	// whether they are ready.
	Engines []EngineStatus `json:"engines"`
}

// NameDemand is the estimated demand for a name in tokens per second.
type NameDemand struct {
	placement.Name
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// EngineStatus is one engine's part of a Status. Memory sizes are in bytes.
type EngineStatus struct {
	Name          string     `json:"name"`
	FailureDomain string     `json:"failure_domain"`
	Available     bool       `json:"available"`
	Capacity      int64      `json:"capacity"`
	Allowed       int64      `json:"allowed"`
	HeldItems     []HeldItem `json:"holds"`
}

// HeldItem is an item of an engine's allowed set: the items that may be
// resident there.
type HeldItem struct {
	placement.Item
	Memory int64 `json:"memory"`
	// Ready means that the copy serves requests.
	Ready bool `json:"ready"`
	// Unloading means that the copy is being unloaded.
	Unloading bool `json:"leaving,omitempty"`
}

// Status returns the state that the leader works on. It returns ErrNotLeader on
// every other planner; Leader then names the planner to ask.
func (p *Planner) Status() (*Status, error) {
	s := p.status.Load()
	if s == nil {
		return nil, ErrNotLeader
	}
	return s, nil
}

// Leader returns the last known leader, or nil.
func (p *Planner) Leader() *Leader { return p.leader.Load() }

func (l *leadership) publishStatus(now clock.Reading) {
	s := &Status{
		Leader:    Leader{VM: l.planner.options.VM, URL: l.planner.options.URL},
		Fence:     l.term.fence,
		Version:   l.snapshot.Version,
		Time:      now.Wall,
		InControl: l.reconciler.InControl(),
		Plan:      l.plan,
	}
	s.Demand = topDemand(l.demandRates)
	for _, e := range l.reconciler.View(now.Wall) {
		s.Engines = append(s.Engines, engineStatus(e))
	}
	l.planner.status.Store(s)
}

func topDemand(rates map[placement.Name]float64) []NameDemand {
	out := make([]NameDemand, 0, len(rates))
	for name, rate := range rates {
		out = append(out, NameDemand{Name: name, TokensPerSecond: rate})
	}
	slices.SortFunc(out, func(a, b NameDemand) int {
		return cmp.Or(cmp.Compare(b.TokensPerSecond, a.TokensPerSecond), cmp.Compare(a.String(), b.String()))
	})
	return out[:min(len(out), demand.MaxTopNames)]
}

func engineStatus(e placement.Engine) EngineStatus {
	s := EngineStatus{
		Name:          e.Name,
		FailureDomain: e.FailureDomain,
		Available:     e.Available,
		Capacity:      e.Capacity,
	}
	for _, h := range e.HeldItems {
		s.Allowed += h.Memory
		s.HeldItems = append(s.HeldItems, HeldItem{Item: h.Item, Memory: h.Memory, Ready: h.Ready, Unloading: h.Unloading})
	}
	return s
}

// Handler serves GET /v1/plan, which returns the Status as JSON, and POST
// /v1/demand, which accepts an entry VM's demand.Report. A planner that does
// not lead responds with status 421 and the Leader to ask instead.
func (p *Planner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/plan", p.servePlan)
	mux.HandleFunc("POST /v1/demand", p.serveDemand)
	return mux
}

func (p *Planner) servePlan(w http.ResponseWriter, _ *http.Request) {
	status, err := p.Status()
	if err != nil {
		p.writeMisdirected(w)
		return
	}
	p.writeJSON(w, http.StatusOK, status)
}

// writeMisdirected responds with the leader, which is empty if it is not known.
func (p *Planner) writeMisdirected(w http.ResponseWriter) {
	leader := p.Leader()
	if leader == nil {
		leader = &Leader{}
	}
	p.writeJSON(w, http.StatusMisdirectedRequest, leader)
}

func (p *Planner) writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		p.options.Log.Debug().Err(err).Msg("writing the HTTP response failed")
	}
}
