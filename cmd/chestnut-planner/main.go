// Command chestnut-planner keeps every model and adapter resident on the model
// engines. It runs on every entry VM; one instance is the leader.
package main

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/chestnutarch/chestnutarch/internal/planner"
	"github.com/chestnutarch/chestnutarch/internal/process"
	"github.com/chestnutarch/chestnutarch/internal/settings"
)

func main() {
	process.Daemon[*settings.Planner]{
		Name:  "chestnut-planner",
		Short: "Keep every model and adapter resident on the model engines",
		Read:  settings.ReadPlanner,
		Identity: func(s *settings.Planner) process.Identity {
			return process.Identity{VM: s.VM, Log: s.Log, Traces: s.Traces}
		},
		Run: run,
	}.Main()
}

func run(ctx context.Context, s *settings.Planner, log zerolog.Logger) error {
	p, err := planner.NewProcess(ctx, s, log)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}
