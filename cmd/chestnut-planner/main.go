// Command chestnut-planner keeps every model and adapter resident on the model
// engines. It runs on every entry VM; one of them leads.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := command(log).ExecuteContext(ctx); err != nil {
		log.Error().Err(err).Msg("planner ended")
		return 1
	}
	return 0
}

func command(log zerolog.Logger) *cobra.Command {
	var o processOptions
	c := &cobra.Command{
		Use:           "chestnut-planner",
		Short:         "Keep every model and adapter resident on the model engines",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c.Context(), log, o)
		},
	}
	flags := c.Flags()
	flags.StringVar(&o.environment, "environment", "", "environment to plan for")
	flags.StringVar(&o.vm, "vm", "", "name of this VM")
	flags.StringVar(&o.listen, "listen", "127.0.0.1:0", "IP:port of the plan and of demand reports")
	flags.StringSliceVar(&o.kv, "kv", nil, "base addresses of the key-value service")
	for _, required := range []string{"environment", "vm", "kv"} {
		_ = c.MarkFlagRequired(required)
	}
	return c
}
