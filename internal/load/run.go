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

// ErrNoCertificates means that a CA file holds no certificate.
var ErrNoCertificates = errors.New("load: no certificates in CA file")

const idleConnections = 10_000

// Run makes the workload's requests and reports on them. It ends early, with
// the report so far, when ctx ends.
func Run(ctx context.Context, w *Workload) (*Report, error) {
	client, err := newClient(w)
	if err != nil {
		return nil, err
	}
	schedule := Schedule(w)
	if len(schedule) == 0 {
		return nil, errors.WithStack(ErrNothingToDo)
	}
	before := readRecords(ctx, w)
	r := newRunner(w, client)
	r.drive(ctx, schedule)
	client.CloseIdleConnections()
	after := readRecords(ctx, w)
	return newReport(w, r.results, before, after), nil
}

func newClient(w *Workload) (*http.Client, error) {
	transport := &http.Transport{MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idleConnections}
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

// runner holds the callers and collects the results.
type runner struct {
	workload *Workload
	callers  map[callerKey]*caller
	buckets  []*bucket
	room     chan struct{}

	mu      sync.Mutex
	results []Result
}

type callerKey struct{ team, call, caller int }

func newRunner(w *Workload, client *http.Client) *runner {
	r := &runner{workload: w, callers: make(map[callerKey]*caller), room: make(chan struct{}, w.MaxInFlight)}
	number := 0
	for t := range w.Teams {
		r.buckets = append(r.buckets, newBucket(w.Teams[t].Rate, w.Teams[t].Burst, time.Now()))
		for c := range w.Teams[t].Calls {
			for i := range w.Teams[t].Calls[c].Callers {
				r.callers[callerKey{t, c, i}] = &caller{client: client, entries: w.Entries, asked: number}
				number++
			}
		}
	}
	return r
}

// drive sends every arrival at its time, whatever has become of those before.
func (r *runner) drive(ctx context.Context, schedule []Arrival) {
	start := time.Now()
	ending, cancel := context.WithDeadline(ctx, start.Add(r.workload.Duration+r.workload.Drain))
	defer cancel()
	var group sync.WaitGroup
	for _, a := range schedule {
		due := start.Add(a.At)
		wait(ctx, time.Until(due))
		if ctx.Err() != nil {
			break
		}
		select {
		case r.room <- struct{}{}:
		default:
			r.add(Result{Arrival: a, Outcome: NotSent, Reason: "too many in flight", Inside: true})
			continue
		}
		group.Go(func() {
			defer func() { <-r.room }()
			r.send(ending, a, due)
		})
	}
	group.Wait()
}

func (r *runner) send(ctx context.Context, a Arrival, due time.Time) {
	team := &r.workload.Teams[a.Team]
	cost := r.workload.cost(a)
	inside := r.buckets[a.Team].take(cost, due)
	x := &exchange{
		workload: r.workload, team: team, call: &team.Calls[a.Call], arrival: a,
		caller: r.callers[callerKey{a.Team, a.Call, a.Caller}], due: due,
	}
	result := x.run(ctx)
	result.Inside = inside
	if inside {
		r.buckets[a.Team].refund(unused(x), time.Now())
	}
	r.add(result)
}

// unused is the part of a request's cost that its end gives back, whether the
// system ran it or not: the ideal bucket knows only what it admitted itself.
func unused(x *exchange) int64 {
	if x.call.Kind == KindAction {
		return 0
	}
	return int64(x.call.MaxTokens - x.expected().Tokens)
}

func (r *runner) add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}
