package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	var sizes []int
	root := &cobra.Command{Use: "quotameasure", SilenceUsage: true}
	root.AddCommand(
		&cobra.Command{
			Use:   "refusals",
			Short: "Measure the requests that are refused although an ideal single bucket admits them",
			RunE:  func(*cobra.Command, []string) error { return measureRefusals() },
		},
		&cobra.Command{
			Use:   "cost",
			Short: "Measure messages, bytes, processor time, memory and calls by fleet size",
			RunE:  func(*cobra.Command, []string) error { return measureCost(sizes) },
		},
	)
	root.AddCommand(&cobra.Command{
		Use:   "wire",
		Short: "Measure the bytes and the processor time of one call between VMs",
		RunE:  func(cmd *cobra.Command, _ []string) error { return measureWire(cmd.Context()) },
	})
	root.PersistentFlags().IntSliceVar(&sizes, "sizes", []int{7, 42, 420}, "fleet sizes for cost")
	if root.ExecuteContext(context.Background()) != nil {
		os.Exit(1)
	}
}
