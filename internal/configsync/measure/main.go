// Command measure runs the configuration syncers of a fleet in one process with the
// stand-in of the key-value service, changes the configuration and withdraws keys.
// It prints how long it takes until each change is in force at every VM and what
// that costs.
//
//	go run ./internal/configsync/measure -vms 7 -changes 200
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/configsync"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/standin"
)

// ErrNotInForce means that a change was not in force at every VM within
// changeTimeout.
var ErrNotInForce = errors.New("measure: change not in force at every VM in time")

// changeTimeout is the time limit until a change is in force at every VM.
const changeTimeout = 30 * time.Second

type options struct {
	vms           int
	silentWatches int
	changes       int
	interval      time.Duration
	pollInterval  time.Duration
	keys          int
	latency       time.Duration
}

func main() {
	var o options
	flag.IntVar(&o.vms, "vms", 7, "number of VMs")
	flag.IntVar(&o.silentWatches, "silent", 0, "number of VMs whose watches deliver nothing")
	flag.IntVar(&o.changes, "changes", 200, "number of changes; every second one is a withdrawal")
	flag.DurationVar(&o.interval, "every", 100*time.Millisecond, "interval between changes")
	flag.DurationVar(&o.pollInterval, "poll", configsync.DefaultPollInterval, "poll interval")
	flag.IntVar(&o.keys, "keys", 150, "number of keys in the document, about 100 bytes each")
	flag.DurationVar(&o.latency, "latency", 2*time.Millisecond, "latency of the key-value service")
	servers := flag.String("servers", "", "measure running entry VMs instead: comma-separated addresses of their operator servers; the key is read from CHESTNUT_OPERATOR_KEY")
	simulate := flag.Bool("loop", false, "step the state machines in a simulation, with changes spread between peers")
	flag.Parse()
	measurement := func(ctx context.Context) error { return run(ctx, o) }
	if *simulate {
		measurement = func(ctx context.Context) error { return runSimulation(ctx, o) }
	}
	if *servers != "" {
		measurement = newProcesses(*servers, o).run
	}
	if err := measurement(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// benchmark is a running fleet with its key-value service.
type benchmark struct {
	options
	service  *standin.KV
	bytes    atomic.Int64
	syncers  []*configsync.Syncer
	stores   []*kv.HTTP
	registry []metrics.Registry
}

func run(ctx context.Context, o options) error {
	b := &benchmark{options: o, service: standin.NewKV(standin.KVOptions{Latency: o.latency})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: b.service, ReadHeaderTimeout: time.Second}
	go server.Serve(&countingListener{Listener: listener, bytes: &b.bytes})
	defer server.Close()
	defer b.service.Close()
	if err := b.build("http://" + listener.Addr().String()); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	for _, syncer := range b.syncers {
		group.Go(func() error { return syncer.Run(ctx) })
	}
	err = b.measure(ctx)
	cancel()
	return errors.Wrap(firstError(err, group.Wait()), "run")
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (b *benchmark) build(url string) error {
	for i := range b.vms {
		registry := metrics.NewRegistry()
		client, err := kv.NewHTTP(kv.Options{URLs: []string{url}, Metrics: registry})
		if err != nil {
			return err
		}
		var store kv.Store = client
		if i < b.silentWatches {
			store = silentWatchStore{client}
		}
		b.stores = append(b.stores, client)
		b.registry = append(b.registry, registry)
		b.syncers = append(b.syncers, configsync.NewSyncer(configsync.Options{
			Store: store, Environment: environment, PollInterval: b.pollInterval, Metrics: registry,
			FleetSize: func() int { return b.vms },
		}))
	}
	return nil
}

// silentWatchStore is a store whose watches deliver nothing.
type silentWatchStore struct{ *kv.HTTP }

// Watch opens a watch and discards its entries.
func (s silentWatchStore) Watch(ctx context.Context, key string, after int64) (<-chan kv.Entry, error) {
	entries, err := s.HTTP.Watch(ctx, key, after)
	if err != nil {
		return nil, err
	}
	nothing := make(chan kv.Entry)
	go func() {
		defer close(nothing)
		for range entries {
		}
	}()
	return nothing, nil
}

// measure makes the changes and prints the results.
func (b *benchmark) measure(ctx context.Context) error {
	writer := &configsync.Writer{Store: b.stores[len(b.stores)-1], Environment: environment}
	text := document(b.keys, 1)
	accepted, err := writer.Apply(ctx, configsync.Change{ID: "first"}, 0, text)
	if err != nil {
		return err
	}
	if err := b.wait(ctx, accepted.Envelope.Version); err != nil {
		return err
	}
	before := b.usage()
	withdrawals, documents := newHistogram(), newHistogram()
	version := accepted.Envelope.Version
	ticker := time.NewTicker(b.interval)
	defer ticker.Stop()
	for i := range b.changes {
		start := time.Now()
		histogram := documents
		change := configsync.Change{ID: fmt.Sprint("change-", i)}
		if i%2 == 0 {
			accepted, err = writer.Apply(ctx, change, version, document(b.keys, i+2))
		} else {
			histogram = withdrawals
			accepted, err = writer.Withdraw(ctx, change, []string{configstate.DigestKey(fmt.Sprint("withdrawn-", i))})
		}
		if err != nil {
			return err
		}
		version = accepted.Envelope.Version
		if err := b.wait(ctx, version); err != nil {
			return err
		}
		if err := histogram.RecordValue(time.Since(start).Microseconds()); err != nil {
			return errors.Wrap(err, "histogram")
		}
		<-ticker.C
	}
	b.print(withdrawals, documents, b.usage().minus(before), len(text))
	return nil
}

// wait returns when every VM has the version in force, or ErrNotInForce after
// changeTimeout.
func (b *benchmark) wait(ctx context.Context, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for _, syncer := range b.syncers {
		for {
			if s := syncer.Snapshot(); s != nil && s.Version >= version {
				break
			}
			if ctx.Err() != nil {
				return ErrNotInForce
			}
			time.Sleep(100 * time.Microsecond)
		}
	}
	return nil
}

// usage is the resource usage up to a point in time.
type usage struct {
	at    time.Time
	cpu   time.Duration
	bytes int64
	calls map[string]int64
}

func (b *benchmark) usage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u := usage{at: time.Now(), bytes: b.bytes.Load(), calls: make(map[string]int64)}
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	for _, registry := range b.registry {
		registry.Each(func(name string, metric any) {
			if c, ok := metric.(metrics.Counter); ok {
				u.calls[name] += c.Count()
			}
		})
	}
	return u
}

func (u usage) minus(before usage) usage {
	for name, count := range before.calls {
		u.calls[name] -= count
	}
	u.cpu -= before.cpu
	u.bytes -= before.bytes
	u.at = time.Time{}.Add(u.at.Sub(before.at))
	return u
}

func (b *benchmark) print(withdrawals, documents *hdrhistogram.Histogram, u usage, size int) {
	seconds := u.at.Sub(time.Time{}).Seconds()
	perVM := 1 / seconds / float64(b.vms)
	fmt.Printf("%d VMs, %d with silent watches, document %d bytes, service latency %s, poll %s, %.1f changes/s\n",
		b.vms, b.silentWatches, size, b.latency, b.pollInterval, float64(b.changes)/seconds)
	printRow("withdrawal in force everywhere", withdrawals)
	printRow("document in force everywhere", documents)
	for _, kind := range []string{"get", "revision", "cas", "watch"} {
		fmt.Printf("kv calls %-9s %8.2f/s in all, %6.3f/s per VM\n", kind, float64(u.calls["kv.calls."+kind])/seconds, float64(u.calls["kv.calls."+kind])*perVM)
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	fmt.Printf("bytes %.1f KB/s per VM; processor %.3f%% of a core per VM with the stand-in's part; heap %.2f MB per VM\n",
		float64(u.bytes)*perVM/1000, u.cpu.Seconds()*perVM*100, float64(memory.HeapAlloc)/float64(b.vms)/1e6)
}

const microsecondsInMinute = 60_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, microsecondsInMinute, 3) }

func printRow(name string, h *hdrhistogram.Histogram) {
	const perMillisecond = 1000
	fmt.Printf("%-31s p50 %8.1f ms  p99 %8.1f ms  max %8.1f ms  (%d)\n", name,
		float64(h.ValueAtQuantile(50))/perMillisecond, float64(h.ValueAtQuantile(99))/perMillisecond, float64(h.Max())/perMillisecond, h.TotalCount())
}
