package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/configsync"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/planner"
)

// processOptions are the flags.
type processOptions struct {
	environment string
	vm          string
	listen      string
	kv          []string
}

// readHeaderTimeout bounds how long a client may take to ask.
const readHeaderTimeout = 5 * time.Second

func serve(ctx context.Context, log zerolog.Logger, o processOptions) error {
	store, err := kv.NewHTTP(kv.Options{URLs: o.kv})
	if err != nil {
		return err
	}
	keeper := configsync.NewKeeper(configsync.Options{Store: store, Environment: o.environment, Log: log})
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return errors.WithStack(err)
	}
	p, err := planner.New(planner.Options{
		Environment: o.environment,
		VM:          o.vm,
		URL:         "http://" + listener.Addr().String(),
		Store:       store,
		Config:      keeper.Snapshot,
		Log:         log,
	})
	if err != nil {
		return err
	}
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return keeper.Run(ctx) })
	group.Go(func() error { return p.Run(ctx) })
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return errors.WithStack(server.Close())
	})
	return group.Wait()
}
