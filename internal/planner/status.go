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

// Status is what operators see of the planner: what is wanted and why, and
// what is resident where.
type Status struct {
	// Leader is the leading planner.
	Leader Leader `json:"leader"`
	// Fence is the leader's fencing number.
	Fence int64 `json:"fence"`
	// Version is the configuration that the plan is for.
	Version int64 `json:"version"`
	// Time is when the plan was made.
	Time time.Time `json:"time"`
	// InControl says whether the leader may send orders yet.
	InControl bool `json:"in_control"`
	// Plan is what every engine should hold.
	Plan placement.Plan `json:"plan"`
	// Demand is the estimate behind the plan, the largest first, at most
	// demand.MaxTop names.
	Demand []NameDemand `json:"demand,omitempty"`
	// Engines is what every engine could hold and holds.
	Engines []EngineStatus `json:"engines"`
}

// NameDemand is the estimated demand for a name in tokens per second.
type NameDemand struct {
	placement.Name
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// EngineStatus is one engine's part of a Status. Memory is in bytes.
type EngineStatus struct {
	Name          string     `json:"name"`
	FailureDomain string     `json:"failure_domain"`
	Available     bool       `json:"available"`
	Capacity      int64      `json:"capacity"`
	Allowed       int64      `json:"allowed"`
	Holds         []HeldItem `json:"holds"`
}

// HeldItem is an item of an engine's allowed set.
type HeldItem struct {
	placement.Item
	Memory int64 `json:"memory"`
	// Ready means that the copy serves requests.
	Ready bool `json:"ready"`
	// Leaving means that its unloading is under way.
	Leaving bool `json:"leaving,omitempty"`
}

// Status returns what the leader works on. It returns ErrNotLeader at every
// other planner; Leader then names the one to ask.
func (p *Planner) Status() (*Status, error) {
	s := p.status.Load()
	if s == nil {
		return nil, ErrNotLeader
	}
	return s, nil
}

// Leader returns the leader as last known, or nil.
func (p *Planner) Leader() *Leader { return p.leader.Load() }

func (l *leadership) publish(now clock.Reading) {
	s := &Status{
		Leader:    Leader{VM: l.planner.options.VM, URL: l.planner.options.URL},
		Fence:     l.term.fence,
		Version:   l.snapshot.Version,
		Time:      now.Wall,
		InControl: l.book.InControl(),
		Plan:      l.plan,
	}
	s.Demand = largest(l.rates)
	for _, e := range l.book.View(now.Wall) {
		s.Engines = append(s.Engines, engineStatus(e))
	}
	l.planner.status.Store(s)
}

func largest(rates map[placement.Name]float64) []NameDemand {
	out := make([]NameDemand, 0, len(rates))
	for name, rate := range rates {
		out = append(out, NameDemand{Name: name, TokensPerSecond: rate})
	}
	slices.SortFunc(out, func(a, b NameDemand) int {
		return cmp.Or(cmp.Compare(b.TokensPerSecond, a.TokensPerSecond), cmp.Compare(a.String(), b.String()))
	})
	return out[:min(len(out), demand.MaxTop)]
}

func engineStatus(e placement.Engine) EngineStatus {
	s := EngineStatus{
		Name:          e.Name,
		FailureDomain: e.FailureDomain,
		Available:     e.Available,
		Capacity:      e.Capacity,
	}
	for _, h := range e.Holds {
		s.Allowed += h.Memory
		s.Holds = append(s.Holds, HeldItem{Item: h.Item, Memory: h.Memory, Ready: h.Ready, Leaving: h.Leaving})
	}
	return s
}

// Handler serves GET /v1/plan, the Status as JSON, and takes POST /v1/demand, an
// entry VM's demand.Report. A planner that does not lead answers 421 with the
// Leader to ask instead.
func (p *Planner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/plan", p.servePlan)
	mux.HandleFunc("POST /v1/demand", p.serveDemand)
	return mux
}

func (p *Planner) servePlan(w http.ResponseWriter, _ *http.Request) {
	status, err := p.Status()
	if err != nil {
		p.misdirected(w)
		return
	}
	p.writeJSON(w, http.StatusOK, status)
}

// misdirected names the leader, empty if it is not known.
func (p *Planner) misdirected(w http.ResponseWriter) {
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
		p.options.Log.Debug().Err(err).Msg("answer not written")
	}
}
