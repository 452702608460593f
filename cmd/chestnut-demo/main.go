// Command chestnut-demo runs the whole system in one process on loopback, with
// stand-ins for the platform and the upstreams. It shows one streamed answer
// and one action, then serves until its standard input ends or it is
// interrupted.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/demo"
	"github.com/chestnutarch/chestnutarch/internal/telemetry"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	log := telemetry.LogSettings{}
	c := &cobra.Command{
		Use:           "chestnut-demo",
		Short:         "Run the whole system in one process with stand-ins",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log.Provision()
			if err := log.Validate(); err != nil {
				return err
			}
			return run(cmd.Context(), telemetry.NewLogger(os.Stderr, log))
		},
	}
	c.Flags().StringVar(&log.Level, "log-level", zerolog.WarnLevel.String(), "minimum log level")
	c.Flags().StringVar(&log.Format, "log-format", telemetry.FormatConsole, "log format: json or console")
	return c
}

func run(ctx context.Context, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	system, err := demo.Start(log)
	if err != nil {
		return err
	}
	defer system.Close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return system.Run(ctx) })
	group.Go(func() error {
		defer stop()
		if err := system.Show(ctx, os.Stdout); err != nil {
			return err
		}
		fmt.Println("\nserving; press Ctrl-D to stop")
		awaitInputEnd(ctx, os.Stdin)
		return nil
	})
	return group.Wait()
}

// awaitInputEnd blocks until the input reaches its end or ctx ends.
func awaitInputEnd(ctx context.Context, input io.Reader) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		io.Copy(io.Discard, input)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}
