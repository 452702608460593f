// Command chestnut-standin serves stand-ins for the platform and the upstreams:
// the key-value service, model engines, plain services, the VM list and the
// weight store.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/chestnutarch/chestnutarch/internal/standin"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := command(log).ExecuteContext(ctx); err != nil {
		log.Error().Err(err).Msg("could not check or serve the stand-ins")
		return 1
	}
	return 0
}

func command(log zerolog.Logger) *cobra.Command {
	var file string
	var check bool
	c := &cobra.Command{
		Use:           "chestnut-standin",
		Short:         "Serve stand-ins for the systems that chestnutarch depends on",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := standin.ReadConfig(file)
			if err != nil || check {
				return err
			}
			return serve(c.Context(), log, config)
		},
	}
	c.Flags().StringVar(&file, "config", "", "YAML file that lists the stand-ins")
	c.Flags().BoolVar(&check, "check", false, "validate the configuration file and exit")
	_ = c.MarkFlagRequired("config")
	return c
}

func serve(ctx context.Context, log zerolog.Logger, config *standin.Config) error {
	group, err := standin.StartAll(config)
	if err != nil {
		return err
	}
	defer group.Close()
	for _, e := range config.Standins {
		log.Info().Str("kind", string(e.Kind)).Str("name", e.Name).
			Str("url", group.Server(e.Name).URL()).Msg("serving")
	}
	<-ctx.Done()
	return nil
}
