package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/chestnutarch/chestnutarch/internal/telemetry"
)

// Identity identifies a daemon in its logs and traces, and configures both.
type Identity struct {
	// VM is the VM's ID.
	VM string
	// Log configures the log.
	Log telemetry.LogSettings
	// Traces configures the export of spans.
	Traces telemetry.TraceSettings
}

// Daemon is a program that reads settings of type S and runs until SIGTERM or
// SIGINT.
type Daemon[S any] struct {
	// Name is the program's name.
	Name string
	// Short is a one-line description for the help text.
	Short string
	// Read reads and validates the settings.
	Read func(file string) (S, error)
	// Identity returns the part of the settings that all daemons have.
	Identity func(settings S) Identity
	// Run runs the daemon until ctx ends, then stops it gracefully.
	Run func(ctx context.Context, settings S, log zerolog.Logger) error
}

// Main runs the command line. It returns after a graceful stop or a check that
// found no error, for exit status 0. After any error it prints the error to
// standard error and exits with status 1.
func (d Daemon[S]) Main() {
	if err := d.command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (d Daemon[S]) command() *cobra.Command {
	var file string
	var checkOnly bool
	c := &cobra.Command{
		Use:           d.Name,
		Short:         d.Short,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := d.Read(file)
			if err != nil || checkOnly {
				return err
			}
			return d.run(cmd.Context(), s)
		},
	}
	c.Flags().StringVar(&file, "config", "", "YAML file with the settings (see docs/SETTINGS.md)")
	c.Flags().BoolVar(&checkOnly, "check", false, "validate the settings and exit")
	_ = c.MarkFlagRequired("config")
	return c
}

// run stops gracefully on the first SIGTERM or SIGINT; a second one ends the
// process at once.
func (d Daemon[S]) run(ctx context.Context, s S) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop)
	id := d.Identity(s)
	log := telemetry.NewLogger(os.Stderr, id.Log).With().Str("process", d.Name).Str("vm", id.VM).Logger()
	stopTracing, err := telemetry.StartTracing(ctx, id.Traces, d.Name, id.VM, os.Stdout)
	if err != nil {
		return err
	}
	defer func() { _ = stopTracing(context.WithoutCancel(ctx)) }()
	return d.Run(ctx, s, log)
}
