// Command chestnut-load generates open-loop load on the entry VMs and reports
// the latencies and outcomes that callers observe.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/chestnutarch/chestnutarch/internal/load"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := command().ExecuteContext(ctx); err != nil {
		log.Error().Err(err).Msg("load run failed")
		return 1
	}
	return 0
}

// flags are the values of the command line's flags.
type flags struct {
	workload string
	output   string
	plots    string
	duration time.Duration
	seed     uint64
	entries  []string
	engines  []string
	services []string
	check    bool
}

func command() *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:           "chestnut-load",
		Short:         "Generate open-loop load on chestnutarch and report the latencies and outcomes that callers observe",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return runLoad(c.Context(), &f) },
	}
	c.Flags().StringVar(&f.workload, "workload", "", "YAML file that describes the load")
	c.Flags().StringVarP(&f.output, "output", "o", "table", "report format: table or json")
	c.Flags().StringVar(&f.plots, "plots", "", "write an HTML page of plots to this file")
	c.Flags().DurationVar(&f.duration, "duration", 0, "override the workload's duration")
	c.Flags().Uint64Var(&f.seed, "seed", 0, "override the workload's seed")
	c.Flags().StringSliceVar(&f.entries, "entry", nil, "override the workload's entries")
	c.Flags().StringSliceVar(&f.engines, "engine", nil, "override the workload's engines")
	c.Flags().StringSliceVar(&f.services, "service", nil, "override the workload's services")
	c.Flags().BoolVar(&f.check, "check", false, "validate the workload without running it")
	_ = c.MarkFlagRequired("workload")
	return c
}

func runLoad(ctx context.Context, f *flags) error {
	w, err := load.ReadWorkload(f.workload)
	if err != nil || f.check {
		return err
	}
	f.override(w)
	report, err := load.Run(ctx, w)
	if err != nil {
		return err
	}
	if err := writeReport(f.output, report); err != nil {
		return err
	}
	if f.plots == "" {
		return nil
	}
	return writePlots(f.plots, report)
}

// override replaces settings of the workload by the values of the flags that are
// set.
func (f *flags) override(w *load.Workload) {
	if f.duration > 0 {
		w.Duration = f.duration
	}
	if f.seed > 0 {
		w.Seed = f.seed
	}
	if len(f.entries) > 0 {
		w.Entries = f.entries
	}
	if len(f.engines) > 0 {
		w.Engines = f.engines
		w.Accelerators = len(f.engines)
	}
	if len(f.services) > 0 {
		w.Services = f.services
	}
}

func writeReport(format string, r *load.Report) error {
	if format != "json" {
		return r.WriteTable(os.Stdout)
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return errors.WithStack(e.Encode(r))
}

func writePlots(path string, r *load.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := r.WritePlots(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.WithStack(file.Close())
}
