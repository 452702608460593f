package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "placementmeasure", Short: "Measure the placement", SilenceUsage: true}
	root.AddCommand(
		&cobra.Command{Use: "cost", Short: "Time and memory of a plan by size", Run: func(*cobra.Command, []string) { measureCost() }},
		&cobra.Command{Use: "policy", Short: "Attainment and moves of three policies", Run: func(*cobra.Command, []string) { comparePolicies() }},
	)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
