package load

import (
	"fmt"
	"io"
	"time"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
	"github.com/pkg/errors"
)

// plotPoints is how many points a line over the run has at most.
const plotPoints = 120

// WritePlots writes an HTML page: how requests ended over the run, the time to
// the first token over the run, and the attainment of each team.
func (r *Report) WritePlots(w io.Writer) error {
	page := components.NewPage()
	page.PageTitle = "chestnut-load: " + r.Workload
	page.AddCharts(r.plotOutcomes(), r.plotFirstToken(), r.plotTeams())
	return errors.WithStack(page.Render(w))
}

// slots divides the run.
func (r *Report) slots() (time.Duration, int) {
	width := max(time.Second, (r.workload.Duration / plotPoints).Round(time.Second))
	return width, int(r.workload.Duration/width) + 1
}

func (r *Report) axis() []string {
	width, n := r.slots()
	names := make([]string, n)
	for i := range names {
		names[i] = (time.Duration(i) * width).String()
	}
	return names
}

func newLine(title, unit string) *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: title}),
		charts.WithYAxisOpts(opts.YAxis{Name: unit}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
		charts.WithLegendOpts(opts.Legend{Right: "0"}),
	)
	return line
}

func (r *Report) plotOutcomes() *charts.Line {
	width, n := r.slots()
	line := newLine("Requests by outcome, at their arrival", "1/s")
	line.SetXAxis(r.axis())
	for _, outcome := range outcomes {
		if r.Total.Outcomes[outcome] == 0 {
			continue
		}
		counts := make([]float64, n)
		for _, result := range r.results {
			if result.Outcome == outcome {
				counts[result.Arrival.At/width] += 1 / width.Seconds()
			}
		}
		data := make([]opts.LineData, n)
		for i, c := range counts {
			data[i].Value = fmt.Sprintf("%.2f", c)
		}
		line.AddSeries(string(outcome), data)
	}
	return line
}

func (r *Report) plotFirstToken() *charts.Line {
	width, n := r.slots()
	line := newLine("Time to the first token, by arrival", "ms")
	line.SetXAxis(r.axis())
	slots := make([][]Result, n)
	for _, result := range r.results {
		slots[result.Arrival.At/width] = append(slots[result.Arrival.At/width], result)
	}
	median, tail := make([]opts.LineData, n), make([]opts.LineData, n)
	for i, results := range slots {
		f := figures(r.workload, "", results)
		median[i].Value, tail[i].Value = f.FirstToken.P50, f.FirstToken.P95
	}
	line.AddSeries("p50", median)
	line.AddSeries("p95", tail)
	return line
}

func (r *Report) plotTeams() *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: "Attainment of each team"}))
	names := make([]string, len(r.Teams))
	data := make([]opts.BarData, len(r.Teams))
	for i, f := range r.Teams {
		names[i] = f.Name
		data[i].Value = fmt.Sprintf("%.4f", f.Attainment)
	}
	bar.SetXAxis(names).AddSeries("attainment", data)
	return bar
}
