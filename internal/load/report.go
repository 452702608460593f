package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what a run measured.
type Report struct {
	// Workload is the workload's name, Seed its seed.
	Workload string `json:"workload"`
	Seed     uint64 `json:"seed"`
	// Requests is the number of arrivals that the run reached.
	Requests int `json:"requests"`
	// Seconds is how long arrivals went on.
	Seconds float64 `json:"seconds"`
	// Attainment is the number of requests that met both objectives, as a
	// share of those inside the rate.
	Attainment float64 `json:"attainment"`
	// Accelerators is what AttainedPerAccelerator divides by.
	Accelerators int `json:"accelerators"`
	// AttainedPerAccelerator is the number of requests that met both
	// objectives, per second and accelerator.
	AttainedPerAccelerator float64 `json:"attained_per_accelerator"`
	// Moves is the number of loads and unloads that the engines began.
	Moves int `json:"moves"`
	// WorstTeam is the team with the least attainment, WorstAttainment that
	// attainment and WorstToMean its ratio to the mean over all teams.
	WorstTeam       string  `json:"worst_team"`
	WorstAttainment float64 `json:"worst_attainment"`
	WorstToMean     float64 `json:"worst_to_mean"`
	// RefusedInside counts the requests that were refused for their rate
	// although the team was inside it: by how many the system admitted fewer
	// than the team's ideal bucket. RefusedOutside counts the others.
	RefusedInside  int `json:"refused_inside"`
	RefusedOutside int `json:"refused_outside"`
	// PrefixHitShare is the part of prompt tokens that engines had cached.
	PrefixHitShare float64 `json:"prefix_hit_share"`
	// GeneratedPerSecond is the engines' tokens per second.
	GeneratedPerSecond float64 `json:"generated_per_second"`
	// Busy is the share of the run that the engines' batches were not empty.
	Busy float64 `json:"busy"`
	// Overcommits counts breaches of accelerator memory.
	Overcommits int `json:"overcommits"`
	// Executions is the number of actions that services ran, MostPerBody the
	// most for one body since the services started.
	Executions  int `json:"executions"`
	MostPerBody int `json:"most_per_body"`
	// Resumes counts streams that were taken up again.
	Resumes int `json:"resumes"`
	// RecordsMissing names the stand-ins whose records could not be read: the
	// figures from records lack them.
	RecordsMissing []string `json:"records_missing,omitempty"`
	// Total and Teams are the figures of all requests and of each team's.
	Total Figures   `json:"total"`
	Teams []Figures `json:"teams"`
	// Reasons counts the ends other than whole, by outcome and reason.
	Reasons map[string]int `json:"reasons"`

	results  []Result
	workload *Workload
}

// Figures are the figures of a set of requests.
type Figures struct {
	Name     string          `json:"name"`
	Requests int             `json:"requests"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Inside is the number of requests that the team's ideal bucket admits.
	// Attained is how many met both objectives, of all that the system
	// admitted, but no more than Inside: which of a team's requests are
	// admitted when it is over its rate is no merit or fault. Attainment is
	// their ratio.
	Inside     int     `json:"inside"`
	Attained   int     `json:"attained"`
	Attainment float64 `json:"attainment"`
	// FirstToken, BetweenTokens and Total are latencies of whole answers.
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

// newReport works the results out. Latencies are of whole answers alone; the
// attainment counts every request inside the rate, whatever became of it.
func newReport(w *Workload, results []Result, before, after records) *Report {
	r := &Report{
		Workload: w.Name, Seed: w.Seed, Requests: len(results), Seconds: w.Duration.Seconds(),
		Accelerators: w.Accelerators, Reasons: make(map[string]int), results: results, workload: w,
	}
	attained := 0
	for i := range results {
		result := &results[i]
		r.Resumes += result.Resumes
		if result.attained(w) {
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
	var judged []Figures
	for i, of := range byTeam {
		f := figures(w, w.Teams[i].Name, of)
		r.Teams = append(r.Teams, f)
		admitted := f.Requests - f.Outcomes[Refused]
		inside := min(f.Outcomes[Refused], max(0, f.Inside-admitted))
		r.RefusedInside += inside
		r.RefusedOutside += f.Outcomes[Refused] - inside
		if f.Inside > 0 {
			judged = append(judged, f)
			sum += f.Attainment
		}
	}
	if len(judged) == 0 {
		return
	}
	worst := slices.MinFunc(judged, func(a, b Figures) int { return cmp.Compare(a.Attainment, b.Attainment) })
	r.WorstTeam, r.WorstAttainment = worst.Name, worst.Attainment
	if sum > 0 {
		r.WorstToMean = worst.Attainment * float64(len(judged)) / sum
	}
}

// addTotal adds the teams' figures up; latencies are of all requests.
func (r *Report) addTotal(w *Workload, results []Result) {
	r.Total = figures(w, "all", results)
	r.Total.Attained = 0
	for _, f := range r.Teams {
		r.Total.Attained += f.Attained
	}
	r.Total.Attainment = share(r.Total.Attained, r.Total.Inside)
	r.Attainment = r.Total.Attainment
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (r *Report) addRecords(w *Workload, before, after records) {
	r.Moves = after.moves - before.moves
	r.Overcommits = after.overcommits - before.overcommits
	r.Executions = after.executions - before.executions
	r.MostPerBody = after.mostPerBody
	r.RecordsMissing = after.missing
	if prompt := after.promptTokens - before.promptTokens; prompt > 0 {
		r.PrefixHitShare = float64(after.cachedTokens-before.cachedTokens) / float64(prompt)
	}
	r.GeneratedPerSecond = float64(after.generatedTokens-before.generatedTokens) / r.Seconds
	if len(w.Engines) > 0 {
		r.Busy = (after.busySeconds - before.busySeconds) / r.Seconds / float64(len(w.Engines))
	}
}

func figures(w *Workload, name string, results []Result) Figures {
	f := Figures{Name: name, Requests: len(results), Outcomes: make(map[Outcome]int)}
	first, between, total := histogram(), histogram(), histogram()
	for i := range results {
		r := &results[i]
		f.Outcomes[r.Outcome]++
		if r.Inside {
			f.Inside++
		}
		if r.attained(w) {
			f.Attained++
		}
		if r.Outcome != Whole {
			continue
		}
		record(first, r.FirstToken)
		record(total, r.Total)
		for _, gap := range r.Gaps {
			record(between, gap)
		}
	}
	f.Attained = min(f.Attained, f.Inside)
	f.Attainment = share(f.Attained, f.Inside)
	f.FirstToken, f.BetweenTokens, f.Total = quantiles(first), quantiles(between), quantiles(total)
	return f
}

// The histograms hold microseconds up to ten minutes, to three digits.
const (
	longestMicros = 600_000_000
	digits        = 3
)

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestMicros, digits) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestMicros))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}
