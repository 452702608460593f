package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the measurements of a run.
type Report struct {
	// Workload is the workload's name, Seed the seed of its schedule.
	Workload string `json:"workload"`
	Seed     uint64 `json:"seed"`
	// Requests is the number of scheduled arrivals that came due during the run.
	Requests int `json:"requests"`
	// Seconds is the configured duration of the arrivals.
	Seconds float64 `json:"seconds"`
	// Attainment is the number of requests that met both latency objectives,
	// as a share of those inside the rate, from 0 to 1.
	Attainment float64 `json:"attainment"`
	// Accelerators is the number of accelerators by which
	// AttainedPerAccelerator is divided.
	Accelerators int `json:"accelerators"`
	// AttainedPerAccelerator is the number of requests that met both latency
	// objectives, per second and accelerator.
	AttainedPerAccelerator float64 `json:"attained_per_accelerator"`
	// Moves is the number of model loads and unloads that the engines started
	// during the run.
	Moves int `json:"moves"`
	// WorstTeam is the team with the lowest attainment, WorstAttainment that
	// attainment and WorstToMean its ratio to the mean over the teams. Teams
	// without a request inside the rate are left out.
	WorstTeam       string  `json:"worst_team"`
	WorstAttainment float64 `json:"worst_attainment"`
	WorstToMean     float64 `json:"worst_to_mean"`
	// RefusedInside counts the requests that were refused as rate limited
	// although the team was inside its rate: the number by which the system
	// admitted fewer requests than the team's ideal bucket. RefusedOutside
	// counts the other rate-limited requests.
	RefusedInside  int `json:"refused_inside"`
	RefusedOutside int `json:"refused_outside"`
	// PrefixHitShare is the share of prompt tokens that the engines' prefix
	// caches held, from 0 to 1.
	PrefixHitShare float64 `json:"prefix_hit_share"`
	// GeneratedPerSecond is the number of tokens that all engines generated,
	// per second.
	GeneratedPerSecond float64 `json:"generated_per_second"`
	// BatchBusyShare is the share of the run in which the engines' batches were
	// not empty, as a mean over the engines.
	BatchBusyShare float64 `json:"busy"`
	// Overcommits counts how often engines exceeded their accelerator memory.
	Overcommits int `json:"overcommits"`
	// Executions is the number of actions that services executed during the
	// run, MaxExecutionsPerBody the largest number of executions of one body
	// since the services started.
	Executions           int `json:"executions"`
	MaxExecutionsPerBody int `json:"most_per_body"`
	// Resumes counts the attempts to resume a broken stream.
	Resumes int `json:"resumes"`
	// MissingRecords lists the URLs of the stand-ins whose records could not be
	// read after the run. The figures from records do not include them.
	MissingRecords []string `json:"records_missing,omitempty"`
	// Total holds the figures of all requests, Teams those of each team.
	Total Figures   `json:"total"`
	Teams []Figures `json:"teams"`
	// Reasons counts the requests that did not end as whole, by "OUTCOME: REASON".
	Reasons map[string]int `json:"reasons"`

	results  []Result
	workload *Workload
}

// Figures holds the measurements of a set of requests.
type Figures struct {
	Name     string          `json:"name"`
	Requests int             `json:"requests"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// InsideRate is the number of requests that the team's ideal bucket admits.
	// Attained is the number of requests that met both latency objectives, of
	// all that the system admitted, limited to InsideRate: when a team exceeds
	// its rate, it does not matter which of its requests are admitted.
	// Attainment is Attained divided by InsideRate.
	InsideRate int     `json:"inside"`
	Attained   int     `json:"attained"`
	Attainment float64 `json:"attainment"`
	// FirstToken, BetweenTokens and Total are the latencies of whole answers.
	// FirstToken and Total count from the scheduled arrival.
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`
	Total         Quantiles `json:"total"`
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// newReport computes a report from the results of a run and from the stand-ins'
// records before and after it. Latencies cover whole answers only; attainment
// covers every request inside the rate, whatever its outcome.
func newReport(w *Workload, results []Result, before, after records) *Report {
	r := &Report{
		Workload: w.Name, Seed: w.Seed, Requests: len(results), Seconds: w.Duration.Seconds(),
		Accelerators: w.Accelerators, Reasons: make(map[string]int), results: results, workload: w,
	}
	attained := 0
	for i := range results {
		result := &results[i]
		r.Resumes += result.Resumes
		if result.metObjectives(w) {
			attained++
		}
		if result.Outcome != Whole {
			r.Reasons[string(result.Outcome)+": "+result.Reason]++
		}
	}
	if w.Accelerators > 0 {
		r.AttainedPerAccelerator = float64(attained) / r.Seconds / float64(w.Accelerators)
	}
	r.addTeams(w, results)
	r.addTotal(w, results)
	r.addRecords(w, before, after)
	return r
}

func (r *Report) addTeams(w *Workload, results []Result) {
	byTeam := make([][]Result, len(w.Teams))
	for _, result := range results {
		byTeam[result.Arrival.Team] = append(byTeam[result.Arrival.Team], result)
	}
	sum := 0.0
	var rated []Figures
	for i, teamResults := range byTeam {
		f := newFigures(w, w.Teams[i].Name, teamResults)
		r.Teams = append(r.Teams, f)
		admitted := f.Requests - f.Outcomes[Refused]
		refusedInside := min(f.Outcomes[Refused], max(0, f.InsideRate-admitted))
		r.RefusedInside += refusedInside
		r.RefusedOutside += f.Outcomes[Refused] - refusedInside
		if f.InsideRate > 0 {
			rated = append(rated, f)
			sum += f.Attainment
		}
	}
	if len(rated) == 0 {
		return
	}
	worst := slices.MinFunc(rated, func(a, b Figures) int { return cmp.Compare(a.Attainment, b.Attainment) })
	r.WorstTeam, r.WorstAttainment = worst.Name, worst.Attainment
	if sum > 0 {
		r.WorstToMean = worst.Attainment * float64(len(rated)) / sum
	}
}

// addTotal computes the figures of all requests. Attained is the sum over the
// teams, because each team's is limited to its own requests inside the rate.
func (r *Report) addTotal(w *Workload, results []Result) {
	r.Total = newFigures(w, "all", results)
	r.Total.Attained = 0
	for _, f := range r.Teams {
		r.Total.Attained += f.Attained
	}
	r.Total.Attainment = ratio(r.Total.Attained, r.Total.InsideRate)
	r.Attainment = r.Total.Attainment
}

func ratio(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

func (r *Report) addRecords(w *Workload, before, after records) {
	r.Moves = after.moves - before.moves
	r.Overcommits = after.overcommits - before.overcommits
	r.Executions = after.executions - before.executions
	r.MaxExecutionsPerBody = after.maxExecutionsPerBody
	r.MissingRecords = after.missingURLs
	if prompt := after.promptTokens - before.promptTokens; prompt > 0 {
		r.PrefixHitShare = float64(after.cachedTokens-before.cachedTokens) / float64(prompt)
	}
	r.GeneratedPerSecond = float64(after.generatedTokens-before.generatedTokens) / r.Seconds
	if len(w.Engines) > 0 {
		r.BatchBusyShare = (after.busySeconds - before.busySeconds) / r.Seconds / float64(len(w.Engines))
	}
}

func newFigures(w *Workload, name string, results []Result) Figures {
	f := Figures{Name: name, Requests: len(results), Outcomes: make(map[Outcome]int)}
	firstToken, betweenTokens, total := newHistogram(), newHistogram(), newHistogram()
	for i := range results {
		r := &results[i]
		f.Outcomes[r.Outcome]++
		if r.InsideRate {
			f.InsideRate++
		}
		if r.metObjectives(w) {
			f.Attained++
		}
		if r.Outcome != Whole {
			continue
		}
		recordLatency(firstToken, r.FirstToken)
		recordLatency(total, r.Total)
		for _, gap := range r.TokenGaps {
			recordLatency(betweenTokens, gap)
		}
	}
	f.Attained = min(f.Attained, f.InsideRate)
	f.Attainment = ratio(f.Attained, f.InsideRate)
	f.FirstToken, f.BetweenTokens, f.Total = newQuantiles(firstToken), newQuantiles(betweenTokens), newQuantiles(total)
	return f
}

// The latency histograms hold microseconds up to ten minutes, to three
// significant digits.
const (
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

func newQuantiles(h *hdrhistogram.Histogram) Quantiles {
	percentile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: percentile(50), P95: percentile(95), P99: percentile(99), Max: float64(h.Max()) / 1000}
}
