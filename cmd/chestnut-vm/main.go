// Command chestnut-vm runs on every entry VM of the users' platform: it serves callers'
// requests, and on the leader it also sends orders to engines.
package main

import "C" // links the program to the C library

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/chestnutarch/chestnutarch/internal/operator"
	"github.com/chestnutarch/chestnutarch/internal/settings"
	"github.com/chestnutarch/chestnutarch/internal/telemetry"
	"github.com/chestnutarch/chestnutarch/internal/vm"
	"github.com/chestnutarch/chestnutarch/platform"
)

// gcPercent is how much the heap grows between two garbage collections. Most of a VM's memory is what it
// knows of the fleet's upstreams, which hardly changes, so that a collection is rare and cheap.
const gcPercent = 50

// softMemoryShare is the part of a VM's memory beyond which garbage is collected as soon as there is any. Requests that come
// faster than it is collected would otherwise take several times what they hold.
const softMemoryShare = 3.0 / 4

func main() {
	debug.SetGCPercent(gcPercent)
	// Before anything that takes time: a SIGHUP that nobody asked for ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if err := command(hangups).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command(hangups <-chan os.Signal) *cobra.Command {
	var check bool
	var level string
	var disabled, enabled []string
	var operatorsFile string
	c := &cobra.Command{
		Use:           "chestnut-vm",
		Short:         "Serve callers' requests on a VM of the users' platform",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			node, err := platform.ReadSettings()
			if err != nil {
				return err
			}
			parts, err := vm.ParseParts(disabled)
			if err != nil {
				return errors.Wrap(err, "flag --disable")
			}
			optional, err := vm.ParseParts(enabled)
			if err != nil {
				return errors.Wrap(err, "flag --enable")
			}
			if _, err := readOperators(operatorsFile); err != nil {
				return errors.Wrap(err, "flag --operators")
			}
			if check {
				return nil
			}
			return run(cmd.Context(), node, vm.Disabled(parts, optional), operatorsFile, hangups, telemetry.LogSettings{Level: level, Format: telemetry.FormatJSON})
		},
	}
	c.Flags().BoolVar(&check, "check", false, "validate the settings and exit")
	c.Flags().StringSliceVar(&disabled, "disable", nil, "parts to run without: "+vm.PartNames())
	c.Flags().StringSliceVar(&enabled, "enable", nil, "parts to run that are off otherwise: "+string(vm.PartAnnouncements))
	c.Flags().StringVar(&operatorsFile, "operators", "", "`file` that lists the operators who may ask where requests would go")
	c.Flags().StringVar(&level, "log-level", "info", "minimum log level: debug, info, warn or error")
	return c
}

// readOperators reads the operators from a file, none if it has no name.
func readOperators(file string) (operator.Operators, error) {
	out := make(operator.Operators)
	if file == "" {
		return out, nil
	}
	keys, err := settings.ReadOperators(file)
	if err != nil {
		return nil, err
	}
	for _, key := range keys {
		out[key.SHA256] = key.ID
	}
	return out, nil
}

func run(ctx context.Context, s *platform.Settings, disabled []vm.Part, operatorsFile string, hangups <-chan os.Signal, logs telemetry.LogSettings) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(int64(s.MemoryMB)<<20)))
	}
	output := telemetry.NewBoundedWriter(os.Stdout)
	writerCtx, stopWriter := context.WithCancel(context.WithoutCancel(ctx))
	var writer sync.WaitGroup
	writer.Go(func() { output.Run(writerCtx) })
	defer writer.Wait()
	defer stopWriter()
	log := telemetry.NewLogger(output, logs).With().Str("vm", s.VM).Logger()
	p, err := vm.New(s, log, disabled...)
	if err != nil {
		return err
	}
	operators, err := readOperators(operatorsFile)
	if err != nil {
		return errors.Wrap(err, "flag --operators")
	}
	p.SetOperators(operators)
	go reload(ctx, p, operatorsFile, hangups)
	return p.Run(ctx)
}

// reload reads the settings and the operators again at SIGHUP.
func reload(ctx context.Context, p *vm.Process, operatorsFile string, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			p.Reload(platform.ReadSettings)
			p.ReloadOperators(func() (operator.Operators, error) { return readOperators(operatorsFile) })
		}
	}
}
