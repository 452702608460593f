package planner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/demand"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// Bounds on demand reports.
const (
	// maxReportBytes bounds one report.
	maxReportBytes = 64 << 10
	// reportBuffer is how many reports may wait; a report that finds no room is
	// dropped, and the VM's next one takes its place.
	reportBuffer = 512
	// DefaultReportEvery is the time between an entry VM's reports.
	DefaultReportEvery = time.Second
)

// serveDemand takes in an entry VM's report, or names the leader to send it to.
func (p *Planner) serveDemand(w http.ResponseWriter, r *http.Request) {
	if p.status.Load() == nil {
		p.misdirected(w)
		return
	}
	var report demand.Report
	if err := json.NewDecoder(io.LimitReader(r.Body, maxReportBytes)).Decode(&report); err != nil || report.VM == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case p.demand <- report:
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// hearDemand takes in the reports that wait.
func (l *leadership) hearDemand(now time.Time) {
	for {
		select {
		case r := <-l.planner.demand:
			l.demand.Hear(r, now)
		default:
			return
		}
	}
}

// Reporter counts what one entry VM is asked for and reports it to the leading
// planner. A report that does not arrive is not repeated: the next one says
// what is asked for then.
type Reporter struct {
	options ReporterOptions
	lock    sync.Mutex
	counter *demand.Counter
	leader  string
}

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	// VM names the entry VM.
	VM string
	// Environment names the environment.
	Environment string
	// Store is the key-value service, which names the leader.
	Store kv.Store
	// Client calls the leader.
	Client *http.Client
	// Every is the time between reports. The default is DefaultReportEvery.
	Every time.Duration
}

// NewReporter returns a reporter. Run makes it report.
func NewReporter(o ReporterOptions) *Reporter {
	if o.Every <= 0 {
		o.Every = DefaultReportEvery
	}
	return &Reporter{options: o, counter: demand.NewCounter(time.Now())}
}

// Add counts tokens that a caller asked for.
func (r *Reporter) Add(model, adapter string, tokens int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.counter.Add(placement.Name{Model: model, Adapter: adapter}, tokens)
}

// leaderLookups is how many reports pass between two look-ups of a leader that
// is not known, which bounds what an outage of the planners costs the service.
const leaderLookups = 5

// Run reports until ctx ends, and returns nil then.
func (r *Reporter) Run(ctx context.Context) error {
	for round := 0; pause(ctx, r.options.Every); round++ {
		if r.leader == "" && round%leaderLookups == 0 {
			r.findLeader(ctx)
		}
		r.report(ctx)
	}
	return nil
}

func (r *Reporter) findLeader(ctx context.Context) {
	if leader, err := FindLeader(ctx, r.options.Store, r.options.Environment); err == nil {
		r.leader = leader.URL
	}
}

func (r *Reporter) report(ctx context.Context) {
	r.lock.Lock()
	report := r.counter.Cut(r.options.VM, time.Now())
	r.lock.Unlock()
	if r.leader == "" {
		return
	}
	leader, err := r.send(ctx, report)
	if err != nil {
		r.leader = ""
		return
	}
	r.leader = leader
}

// errReport means that a report was not taken.
var errReport = errors.New("planner: demand report not taken")

// send sends a report and returns where to send the next one.
func (r *Reporter) send(ctx context.Context, report demand.Report) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Every)
	defer cancel()
	body, err := json.Marshal(report)
	if err != nil {
		return "", errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.leader+"/v1/demand", bytes.NewReader(body))
	if err != nil {
		return "", errors.WithStack(err)
	}
	answer, err := r.options.Client.Do(request)
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer func() { _ = answer.Body.Close() }()
	switch answer.StatusCode {
	case http.StatusNoContent, http.StatusServiceUnavailable:
		return r.leader, nil
	case http.StatusMisdirectedRequest:
		var leader Leader
		err := json.NewDecoder(io.LimitReader(answer.Body, maxReportBytes)).Decode(&leader)
		return leader.URL, errors.WithStack(err)
	}
	return "", errReport
}
