package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteTable writes the report as human-readable tables.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("workload", "%s, seed %d, %d requests in %.0f s", r.Workload, r.Seed, r.Requests, r.Seconds)
	row("attainment", "%.4f of the requests inside the rate", r.Attainment)
	row("attainment per accelerator", "%.3f requests/s on each of %d", r.AttainedPerAccelerator, r.Accelerators)
	row("moves", "%d", r.Moves)
	row("worst team", "%s: %.4f, %.3f of the mean", r.WorstTeam, r.WorstAttainment, r.WorstToMean)
	row("refused inside the rate", "%d (outside: %d)", r.RefusedInside, r.RefusedOutside)
	row("prompt tokens cached", "%.3f", r.PrefixHitShare)
	row("tokens generated", "%.1f /s, batches busy %.3f of the time", r.GeneratedPerSecond, r.BatchBusyShare)
	row("overcommits", "%d", r.Overcommits)
	row("executions", "%d, at most %d for one body", r.Executions, r.MaxExecutionsPerBody)
	row("streams resumed", "%d", r.Resumes)
	if len(r.MissingRecords) > 0 {
		row("RECORDS MISSING", "%v", r.MissingRecords)
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "team\trequests\tattainment\tfirst p50\tp95\tp99 ms\tbetween p50\tp95\tp99 ms\toutcomes")
	for _, f := range append([]Figures{r.Total}, r.Teams...) {
		fmt.Fprintf(t, "%s\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\n", f.Name, f.Requests, f.Attainment,
			f.FirstToken.P50, f.FirstToken.P95, f.FirstToken.P99,
			f.BetweenTokens.P50, f.BetweenTokens.P95, f.BetweenTokens.P99, f.outcomes())
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(t, "%s\t%d\n", reason, r.Reasons[reason])
	}
	return errors.WithStack(t.Flush())
}

func (f *Figures) outcomes() string {
	text := ""
	for _, o := range allOutcomes {
		if n := f.Outcomes[o]; n > 0 {
			text += fmt.Sprintf("%s %d  ", o, n)
		}
	}
	return text
}
