// Command chestnut-planner keeps every model and adapter resident on the model
// engines. It runs on every entry VM; one of them leads.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/chestnutarch/chestnutarch/internal/planner"
	"github.com/chestnutarch/chestnutarch/internal/settings"
	"github.com/chestnutarch/chestnutarch/internal/telemetry"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var file string
	var checkOnly bool
	c := &cobra.Command{
		Use:           "chestnut-planner",
		Short:         "Keep every model and adapter resident on the model engines",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.ReadPlanner(file)
			if err != nil || checkOnly {
				return err
			}
			return run(cmd.Context(), s)
		},
	}
	c.Flags().StringVar(&file, "config", "", "YAML file of settings (see docs/SETTINGS.md)")
	c.Flags().BoolVar(&checkOnly, "check", false, "only check the settings")
	_ = c.MarkFlagRequired("config")
	return c
}

func run(ctx context.Context, s *settings.Planner) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := telemetry.NewLogger(os.Stderr, s.Log).With().Str("process", "chestnut-planner").Str("vm", s.VM).Logger()
	stopTracing, err := telemetry.StartTracing(ctx, s.Traces, "chestnut-planner", s.VM, os.Stdout)
	if err != nil {
		return err
	}
	defer stopTracing(context.WithoutCancel(ctx))
	process, err := planner.NewProcess(ctx, s, log)
	if err != nil {
		return err
	}
	return process.Run(ctx)
}
