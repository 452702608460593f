package ctl

import (
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/chestnutarch/chestnutarch/internal/explain"
)

// explainCommand reconstructs what happened to a request from collected logs.
func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST FILE...",
		Short: "Explain what happened to a request, based on collected logs",
		Long: "Read the logs of any number of VMs, join the lines of a request with those about its upstreams\n" +
			"and its model, and name the input that determined the outcome.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var events []explain.Event
			for _, file := range args[1:] {
				fileEvents, err := readLog(file)
				if err != nil {
					return err
				}
				events = append(events, fileEvents...)
			}
			explanation, err := explain.NewReport(events, args[0])
			if err != nil {
				return err
			}
			c.Print(explanation.String())
			return nil
		},
	}
}

func readLog(file string) ([]explain.Event, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer f.Close()
	return explain.Read(f)
}
