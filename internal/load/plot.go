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

// targetPlotPoints is the number of points to aim for in a line over the run.
// Rounding the width of a point to whole seconds may give more or fewer.
const targetPlotPoints = 120

// WritePlots writes an HTML page with the outcomes and the time to the first
// token over the run, and the attainment of each team.
func (r *Report) WritePlots(w io.Writer) error {
	page := components.NewPage()
	page.PageTitle = "chestnut-load: " + r.Workload
	page.AddCharts(r.plotOutcomes(), r.plotFirstToken(), r.plotTeams())
	return errors.WithStack(page.Render(w))
}

// timeSlots returns the width and the number of the slots into which plots
// divide the run. A slot is at least one second wide.
func (r *Report) timeSlots() (time.Duration, int) {
	width := max(time.Second, (r.workload.Duration / targetPlotPoints).Round(time.Second))
	return width, int(r.workload.Duration/width) + 1
}

func (r *Report) timeAxis() []string {
	width, n := r.timeSlots()
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
	width, n := r.timeSlots()
	line := newLine("Requests by outcome and time of arrival", "1/s")
	line.SetXAxis(r.timeAxis())
	for _, outcome := range allOutcomes {
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
	width, n := r.timeSlots()
	line := newLine("Time to the first token, by time of arrival", "ms")
	line.SetXAxis(r.timeAxis())
	slots := make([][]Result, n)
	for _, result := range r.results {
		slots[result.Arrival.At/width] = append(slots[result.Arrival.At/width], result)
	}
	median, tail := make([]opts.LineData, n), make([]opts.LineData, n)
	for i, results := range slots {
		f := newFigures(r.workload, "", results)
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
