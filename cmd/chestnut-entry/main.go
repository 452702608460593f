// Command chestnut-entry serves callers' requests on an entry VM.
package main

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/chestnutarch/chestnutarch/internal/entry"
	"github.com/chestnutarch/chestnutarch/internal/process"
	"github.com/chestnutarch/chestnutarch/internal/settings"
)

func main() {
	process.Daemon[*settings.Entry]{
		Name:  "chestnut-entry",
		Short: "Serve callers' requests on an entry VM",
		Read:  settings.ReadEntry,
		Identity: func(s *settings.Entry) process.Identity {
			return process.Identity{VM: s.VM, Log: s.Log, Traces: s.Traces}
		},
		Run: run,
	}.Main()
}

func run(ctx context.Context, s *settings.Entry, log zerolog.Logger) error {
	p, err := entry.New(ctx, s, log)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}
