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
	// maxReportBytes bounds the size of one report.
	maxReportBytes = 64 << 10
	// maxQueuedReports bounds the queue of received reports. A report that
	// arrives when the queue is full is dropped, and the VM's next one replaces
	// it.
	maxQueuedReports = 512
	// DefaultReportInterval is the time between an entry VM's reports.
	DefaultReportInterval = time.Second
)

// serveDemand accepts an entry VM's report, or names the leader to send it to.
func (p *Planner) serveDemand(w http.ResponseWriter, r *http.Request) {
	if p.status.Load() == nil {
		p.writeMisdirected(w)
		return
	}
	var report demand.Report
	if err := json.NewDecoder(io.LimitReader(r.Body, maxReportBytes)).Decode(&report); err != nil || report.VM == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case p.demandReports <- report:
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// receiveDemandReports passes all queued reports to the estimator.
func (l *leadership) receiveDemandReports(now time.Time) {
	for {
		select {
		case r := <-l.planner.demandReports:
			l.estimator.Observe(r, now)
		default:
			return
		}
	}
}

// Reporter counts the offered load of one entry VM and reports it to the
// leading planner. A report that is not delivered is not repeated: the next one
// carries the demand of the next window.
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
	// Store is the key-value service, which holds the leader key.
	Store kv.Store
	// Client calls the leader.
	Client *http.Client
	// Interval is the time between reports. The default is
	// DefaultReportInterval.
	Interval time.Duration
}

// NewReporter returns a reporter. It sends reports while Run is running.
func NewReporter(o ReporterOptions) *Reporter {
	if o.Interval <= 0 {
		o.Interval = DefaultReportInterval
	}
	return &Reporter{options: o, counter: demand.NewCounter(time.Now())}
}

// Add counts tokens that a caller requested.
func (r *Reporter) Add(model, adapter string, tokens int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.counter.Add(placement.Name{Model: model, Adapter: adapter}, tokens)
}

// reportsPerLeaderLookup is the number of reports between two lookups of the
// leader while it is unknown. It bounds the load on the key-value service
// during an outage of the planners.
const reportsPerLeaderLookup = 5

// Run sends reports until ctx ends, and then returns nil.
func (r *Reporter) Run(ctx context.Context) error {
	for round := 0; sleep(ctx, r.options.Interval); round++ {
		if r.leader == "" && round%reportsPerLeaderLookup == 0 {
			r.findLeader(ctx)
		}
		r.reportOnce(ctx)
	}
	return nil
}

func (r *Reporter) findLeader(ctx context.Context) {
	if leader, err := FindLeader(ctx, r.options.Store, r.options.Environment); err == nil {
		r.leader = leader.URL
	}
}

func (r *Reporter) reportOnce(ctx context.Context) {
	r.lock.Lock()
	report := r.counter.CloseWindow(r.options.VM, time.Now())
	r.lock.Unlock()
	if r.leader == "" {
		return
	}
	leader, err := r.sendReport(ctx, report)
	if err != nil {
		r.leader = ""
		return
	}
	r.leader = leader
}

// errReportNotAccepted means that the planner did not accept a report.
var errReportNotAccepted = errors.New("planner: demand report not accepted")

// sendReport sends a report and returns the address to send the next one to.
func (r *Reporter) sendReport(ctx context.Context, report demand.Report) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Interval)
	defer cancel()
	body, err := json.Marshal(report)
	if err != nil {
		return "", errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.leader+"/v1/demand", bytes.NewReader(body))
	if err != nil {
		return "", errors.WithStack(err)
	}
	response, err := r.options.Client.Do(request)
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNoContent, http.StatusServiceUnavailable:
		return r.leader, nil
	case http.StatusMisdirectedRequest:
		var leader Leader
		err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&leader)
		return leader.URL, errors.WithStack(err)
	}
	return "", errReportNotAccepted
}
