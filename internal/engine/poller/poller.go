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
	// publishEvery is the least time between two snapshots. With one for each
	// report, the work would grow with the square of the number of engines.
	publishEvery = 25 * time.Millisecond
	// DefaultMaxAge is the default of Options.MaxAge.
	DefaultMaxAge = 2 * time.Second
)

// Source reads one engine's load report. *engine.Client is one.
type Source interface {
	// Load reads the report of the engine at a base address.
	Load(ctx context.Context, baseURL string) (engine.Load, error)
}

// Options configures a Poller.
type Options struct {
	// Source reads the reports.
	Source Source
	// Config returns the configuration in force, or nil.
	Config func() *configstate.Snapshot
	// Leaving reports whether something else than the engine's report says that
	// the engine at an address "IP:port" is leaving, such as the VM list. It may
	// be nil and must not block.
	Leaving func(address string) bool
	// Interval is the time between two reports of an engine. The default is
	// 500ms.
	Interval time.Duration
	// MaxAge is how old the last report may be before the engine counts as
	// unreachable. The default is 2s.
	MaxAge time.Duration
}

// Poller owns the state of the engines in one goroutine. Its snapshots may be
// read from any.
type Poller struct {
	options Options
	fleet   atomic.Pointer[route.Fleet]
	states  map[string]*state
	reports chan report
}

// state is the last report of one engine.
type state struct {
	url     string
	asking  bool
	load    engine.Load
	at      time.Time
	arrived bool
}

// report is the result of one request for a report.
type report struct {
	name string
	url  string
	load engine.Load
	err  error
}

// New returns a poller. Run makes it work.
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
	p := &Poller{options: o, states: make(map[string]*state), reports: make(chan report)}
	p.fleet.Store(&route.Fleet{})
	return p
}

// Fleet returns the newest snapshot. It is never nil.
func (p *Poller) Fleet() *route.Fleet {
	return p.fleet.Load()
}

// Run polls until ctx ends, and returns its error.
func (p *Poller) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.options.Interval)
	defer ticker.Stop()
	publisher := time.NewTicker(publishEvery)
	defer publisher.Stop()
	changed := false
	p.ask(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			p.ask(ctx)
			changed = true
		case r := <-p.reports:
			p.take(r, time.Now())
			changed = true
		case <-publisher.C:
			if changed {
				p.publish(time.Now())
			}
			changed = false
		}
	}
}

// ask starts a request to each engine that has none under way, so that one
// silent engine delays nobody else's report.
func (p *Poller) ask(ctx context.Context) {
	for _, e := range p.engines() {
		s := p.state(e)
		if s.asking {
			continue
		}
		s.asking = true
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

// state returns an engine's state, afresh if its address has changed.
func (p *Poller) state(e document.Engine) *state {
	s := p.states[e.Name]
	if s == nil || s.url != e.URL {
		s = &state{url: e.URL}
		p.states[e.Name] = s
	}
	return s
}

// take keeps a report unless it is older than the one at hand. Reports can
// overtake each other, and an engine that shares an address with one that was
// replaced answers under another name.
func (p *Poller) take(r report, now time.Time) {
	s := p.states[r.name]
	if s == nil || s.url != r.url {
		return
	}
	s.asking = false
	if r.err != nil || r.load.Engine != r.name {
		return
	}
	same := s.arrived && s.load.Incarnation == r.load.Incarnation
	if same && r.load.Sequence < s.load.Sequence {
		return
	}
	s.load, s.at, s.arrived = r.load, now, true
}

func (p *Poller) engines() []document.Engine {
	config := p.options.Config()
	if config == nil {
		return nil
	}
	return config.Document.Engines
}

// publish makes a snapshot of the engines in force and forgets the others.
func (p *Poller) publish(now time.Time) {
	engines := p.engines()
	fleet := &route.Fleet{Engines: make([]route.Engine, 0, len(engines))}
	kept := make(map[string]*state, len(engines))
	for _, e := range engines {
		s := p.state(e)
		kept[e.Name] = s
		out := snapshot(e, s, now, p.options.MaxAge)
		out.Leaving = out.Leaving || p.options.Leaving(document.Address(e.URL))
		fleet.Engines = append(fleet.Engines, out)
	}
	p.states = kept
	p.fleet.Store(fleet)
}

func snapshot(e document.Engine, s *state, now time.Time, maxAge time.Duration) route.Engine {
	out := route.Engine{Name: e.Name, URL: e.URL, FailureDomain: e.FailureDomain}
	if !s.arrived {
		return out
	}
	out.Incarnation = s.load.Incarnation
	out.Reachable = now.Sub(s.at) <= maxAge
	out.Leaving = s.load.Draining || e.Draining
	out.Running = s.load.Running
	out.Waiting = s.load.Waiting
	out.ReportedAt = s.at
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
