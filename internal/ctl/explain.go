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
		Short: "Tell from collected logs what happened to a request",
		Long: "Reads the logs of any number of VMs, joins the lines that belong to a request with those about\n" +
			"its upstreams and its model, and names the input that decided how it ended.",
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
