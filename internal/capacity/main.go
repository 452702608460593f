// Command capacity measures the cost of each role at several fleet sizes in one
// run, fits a line through the figures and extrapolates it to the target size.
// It runs the decision packages in plain loops, without a network.
//
//	go run ./internal/capacity            prints the table of docs/CAPACITY.md
//	go run ./internal/capacity -html FILE draws the plots too
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	html := flag.String("html", "", "`file` for the plots")
	flag.Parse()
	series := measureAll()
	writeTable(os.Stdout, series)
	if *html == "" {
		return
	}
	if err := writePlots(*html, series); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measureAll runs every measurement, the cheap ones first.
func measureAll() []series {
	var all []series
	for _, measure := range []func() []series{measureMembership, measureQuota, measureConfiguration, measureRouting, measurePlanning} {
		measured := measure()
		fmt.Fprintln(os.Stderr, "measured:", measured[0].role)
		all = append(all, measured...)
	}
	return all
}
