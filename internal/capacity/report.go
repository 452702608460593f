package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
	"github.com/pkg/errors"
)

// errPlots means that the file for the plots cannot be created.
var errPlots = errors.New("capacity: cannot create the file for the plots")

// writeTable prints a row for each series: the measured values, the slope of the
// fitted line and its value at the target size.
func writeTable(w io.Writer, all []series) {
	fmt.Fprintln(w, "| role | what | unit | measured | slope | at the target |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, s := range all {
		var measured []string
		for _, p := range s.points {
			measured = append(measured, fmt.Sprintf("%.0f: %.3g", p.size, p.value))
		}
		slope, _ := s.fit()
		fmt.Fprintf(w, "| %s | %s | %s | by %s: %s | %.3g | %.0f: **%.3g** |\n",
			s.role, s.name, s.unit, s.sizeName, strings.Join(measured, ", "), slope, s.target, s.valueAtTarget())
	}
}

// writePlots writes an HTML page with a plot of each series and its fitted line up
// to the target size.
func writePlots(file string, all []series) error {
	page := components.NewPage()
	for _, s := range all {
		page.AddCharts(plot(&s))
	}
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(errPlots, err.Error())
	}
	defer out.Close()
	return errors.Wrap(page.Render(out), file)
}

func plot(s *series) *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: s.role, Subtitle: s.name + ", " + s.unit}),
		charts.WithXAxisOpts(opts.XAxis{Type: "value", Name: s.sizeName}),
		charts.WithYAxisOpts(opts.YAxis{Type: "value", Name: s.unit}),
	)
	var measured []opts.LineData
	for _, p := range s.points {
		measured = append(measured, opts.LineData{Value: []float64{p.size, p.value}})
	}
	_, offset := s.fit()
	fitted := []opts.LineData{{Value: []float64{0, offset}}, {Value: []float64{s.target, s.valueAtTarget()}}}
	line.AddSeries("measured", measured).AddSeries("fitted", fitted)
	return line
}
