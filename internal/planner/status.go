package planner

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/clock"
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
	// Engines is what every engine could hold and holds.
	Engines []EngineStatus `json:"engines"`
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
	for _, e := range l.book.View(now.Wall) {
		s.Engines = append(s.Engines, engineStatus(e))
	}
	l.planner.status.Store(s)
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

// Handler serves GET /v1/plan: the Status as JSON, or 421 with the Leader to
// ask instead.
func (p *Planner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/plan", p.servePlan)
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
