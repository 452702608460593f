package poller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

const (
	// DefaultInterval is the default of Options.Interval.
	DefaultInterval = 500 * time.Millisecond
	// publishInterval is the minimum time between two snapshots. With a snapshot for
	// each report, the work would grow with the square of the number of engines.
	publishInterval = 25 * time.Millisecond
	// DefaultMaxAge is the default of Options.MaxAge.
	DefaultMaxAge = 2 * time.Second
)

// Source reads load reports. *engine.Client implements it.
type Source interface {
	// Load reads the report of the engine at a base address.
	Load(ctx context.Context, baseURL string) (engine.Load, error)
}

// Options configures a Poller.
type Options struct {
	// Source reads the reports.
	Source Source
	// Config returns the active configuration, or nil if there is none.
	Config func() *configstate.Snapshot
	// Leaving reports whether a source other than the engine's report, such as the
	// VM list, marks the engine at an address "IP:port" as leaving. It may be nil
	// and must not block.
	Leaving func(address string) bool
	// Interval is the time between two requests for an engine's report. The default
	// is 500ms.
	Interval time.Duration
	// MaxAge is the age of the last report above which the engine counts as
	// unreachable. The default is 2s.
	MaxAge time.Duration
}

// Poller polls the load reports of the engines and publishes snapshots of the fleet. The
// goroutine of Run owns the engines' states; Fleet may be called from any goroutine.
type Poller struct {
	options Options
	fleet   atomic.Pointer[route.Fleet]
	states  map[string]*engineState
	reports chan report
}

// engineState is the state of polling one engine: the last accepted report, if received is
// true, and whether a request for a report is pending.
type engineState struct {
	url        string
	pending    bool
	load       engine.Load
	receivedAt time.Time
	received   bool
}

// report is the result of one request for a report.
type report struct {
	name string
	url  string
	load engine.Load
	err  error
}

// New returns a poller. It polls only while Run executes.
func New(o Options) *Poller {
	if o.Leaving == nil {
		o.Leaving = func(string) bool { return false }
	}
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.MaxAge == 0 {
		o.MaxAge = DefaultMaxAge
	}
	p := &Poller{options: o, states: make(map[string]*engineState), reports: make(chan report)}
	p.fleet.Store(&route.Fleet{})
	return p
}

// Fleet returns the most recent snapshot. It is never nil.
func (p *Poller) Fleet() *route.Fleet {
	return p.fleet.Load()
}

// Run polls until ctx ends, and returns its error.
func (p *Poller) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.options.Interval)
	defer ticker.Stop()
	publisher := time.NewTicker(publishInterval)
	defer publisher.Stop()
	changed := false
	p.requestReports(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			p.requestReports(ctx)
			changed = true
		case r := <-p.reports:
			p.accept(r, time.Now())
			changed = true
		case <-publisher.C:
			if changed {
				p.publish(time.Now())
			}
			changed = false
		}
	}
}

// requestReports starts a request to each engine that has no pending one. Requests run
// concurrently, so that a silent engine does not delay the reports of the others.
func (p *Poller) requestReports(ctx context.Context) {
	for _, e := range p.engines() {
		s := p.state(e)
		if s.pending {
			continue
		}
		s.pending = true
		go p.fetch(ctx, e.Name, e.URL)
	}
}

func (p *Poller) fetch(ctx context.Context, name, url string) {
	load, err := p.options.Source.Load(ctx, url)
	select {
	case p.reports <- report{name: name, url: url, load: load, err: err}:
	case <-ctx.Done():
	}
}

// state returns an engine's state. A new engine, or one whose address has changed, gets
// an empty state.
func (p *Poller) state(e document.Engine) *engineState {
	s := p.states[e.Name]
	if s == nil || s.url != e.URL {
		s = &engineState{url: e.URL}
		p.states[e.Name] = s
	}
	return s
}

// accept stores a report unless it is older than the stored one or comes from another
// engine. Reports may arrive out of order, and an engine that has taken over the address
// of a replaced one answers under another name.
func (p *Poller) accept(r report, now time.Time) {
	s := p.states[r.name]
	if s == nil || s.url != r.url {
		return
	}
	s.pending = false
	if r.err != nil || r.load.Engine != r.name {
		return
	}
	same := s.received && s.load.Incarnation == r.load.Incarnation
	if same && r.load.Sequence < s.load.Sequence {
		return
	}
	s.load, s.receivedAt, s.received = r.load, now, true
}

func (p *Poller) engines() []document.Engine {
	config := p.options.Config()
	if config == nil {
		return nil
	}
	return config.Document.Engines
}

// publish stores a snapshot of the engines in the active configuration and drops the
// state of all others.
func (p *Poller) publish(now time.Time) {
	engines := p.engines()
	fleet := &route.Fleet{Engines: make([]route.Engine, 0, len(engines))}
	kept := make(map[string]*engineState, len(engines))
	for _, e := range engines {
		s := p.state(e)
		kept[e.Name] = s
		out := routeEngine(e, s, now, p.options.MaxAge)
		out.Leaving = out.Leaving || p.options.Leaving(document.Address(e.URL))
		fleet.Engines = append(fleet.Engines, out)
	}
	p.states = kept
	p.fleet.Store(fleet)
}

// routeEngine converts an engine's state for the router. Without a report, only the
// fields from the configuration are set, so the engine counts as unreachable.
func routeEngine(e document.Engine, s *engineState, now time.Time, maxAge time.Duration) route.Engine {
	out := route.Engine{Name: e.Name, URL: e.URL, FailureDomain: e.FailureDomain}
	if !s.received {
		return out
	}
	out.Incarnation = s.load.Incarnation
	out.Reachable = now.Sub(s.receivedAt) <= maxAge
	out.Leaving = s.load.Draining || e.Draining
	out.Running = s.load.Running
	out.Waiting = s.load.Waiting
	out.ReportedAt = s.receivedAt
	out.Ready = make(map[route.Item][]string)
	for _, r := range s.load.Resident {
		if r.State != engine.ItemReady {
			continue
		}
		item := route.Item{Model: r.Model, Adapter: r.Adapter}
		out.Ready[item] = append(out.Ready[item], r.Version)
	}
	return out
}
