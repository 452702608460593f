package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "quotameasure", SilenceUsage: true}
	root.AddCommand(
		&cobra.Command{
			Use:   "refusals",
			Short: "Measure what is refused although an ideal single bucket admits it",
			RunE:  func(*cobra.Command, []string) error { return refusals() },
		},
	)
	if root.Execute() != nil {
		os.Exit(1)
	}
}
