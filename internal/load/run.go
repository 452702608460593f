package load

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrNoCertificates means that a CA file contains no certificate.
var ErrNoCertificates = errors.New("load: no certificates in CA file")

const maxIdleConnections = 10_000

// Run sends the workload's requests and reports on them. If ctx ends, Run ends
// early and returns the report of the requests until then.
func Run(ctx context.Context, w *Workload) (*Report, error) {
	client, err := newClient(w)
	if err != nil {
		return nil, err
	}
	schedule := Schedule(w)
	if len(schedule) == 0 {
		return nil, errors.WithStack(ErrNoRequests)
	}
	before := readRecords(ctx, w)
	r := newRunner(w, client)
	r.sendAll(ctx, schedule)
	client.CloseIdleConnections()
	after := readRecords(ctx, w)
	return newReport(w, r.results, before, after), nil
}

func newClient(w *Workload) (*http.Client, error) {
	transport := &http.Transport{MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections}
	if w.CAFile != "" {
		data, err := os.ReadFile(w.CAFile)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return nil, errors.Wrap(ErrNoCertificates, w.CAFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool}
	}
	return &http.Client{Transport: transport}, nil
}

// runner sends the requests of a run and collects their results.
type runner struct {
	workload *Workload
	callers  map[callerKey]*caller
	buckets  []*bucket
	inFlight chan struct{}

	mu      sync.Mutex
	results []Result
}

type callerKey struct{ team, call, caller int }

func newRunner(w *Workload, client *http.Client) *runner {
	r := &runner{workload: w, callers: make(map[callerKey]*caller), inFlight: make(chan struct{}, w.MaxInFlight)}
	callerCount := 0
	for t := range w.Teams {
		r.buckets = append(r.buckets, newBucket(w.Teams[t].Rate, w.Teams[t].Burst, time.Now()))
		for c := range w.Teams[t].Calls {
			for i := range w.Teams[t].Calls[c].Callers {
				r.callers[callerKey{t, c, i}] = &caller{client: client, entries: w.Entries, entryIndex: callerCount}
				callerCount++
			}
		}
	}
	return r
}

// sendAll starts every request at its scheduled time, whether or not earlier
// requests have ended. After the workload's duration it waits for answers for at
// most the drain time.
func (r *runner) sendAll(ctx context.Context, schedule []Arrival) {
	start := time.Now()
	drainCtx, cancel := context.WithDeadline(ctx, start.Add(r.workload.Duration+r.workload.Drain))
	defer cancel()
	var group sync.WaitGroup
	for _, a := range schedule {
		due := start.Add(a.At)
		sleep(ctx, time.Until(due))
		if ctx.Err() != nil {
			break
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.addResult(Result{Arrival: a, Outcome: NotSent, Reason: "too many in flight", InsideRate: true})
			continue
		}
		group.Go(func() {
			defer func() { <-r.inFlight }()
			r.send(drainCtx, a, due)
		})
	}
	group.Wait()
}

func (r *runner) send(ctx context.Context, a Arrival, due time.Time) {
	team := &r.workload.Teams[a.Team]
	cost := r.workload.cost(a)
	insideRate := r.buckets[a.Team].admit(cost, due)
	x := &exchange{
		workload: r.workload, team: team, call: &team.Calls[a.Call], arrival: a,
		caller: r.callers[callerKey{a.Team, a.Call, a.Caller}], due: due,
	}
	result := x.run(ctx)
	result.InsideRate = insideRate
	if insideRate {
		r.buckets[a.Team].refund(unusedTokens(x), time.Now())
	}
	r.addResult(result)
}

// unusedTokens returns the part of a request's cost that is refunded when the
// request ends. It does not depend on whether the system ran the request: the
// ideal bucket accounts only for what it admitted itself.
func unusedTokens(x *exchange) int64 {
	if x.call.Kind == KindAction {
		return 0
	}
	return int64(x.call.MaxTokens - x.expectedGeneration().Tokens)
}

func (r *runner) addResult(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}
