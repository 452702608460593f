package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// This case plays releases of model replicas that never report draining, as the pages describe them: the entry is removed, and
// the replica goes on serving until its streams have ended, then exits.

const (
	descriptorVMs     = 2
	descriptorEngines = 18
	engineSlots       = 64
	// streamsPerVM is the number of consumers of each VM that read one stream after the other, idlePerVM that of those which
	// keep a channel and are idle most of the time.
	streamsPerVM = 560
	idlePerVM    = 560
	streamEvents = 12
	eventPause   = 250 * time.Millisecond
	// releaseGap is the time between two replacements, releaseTime how long releases go on.
	releaseGap  = 780 * time.Millisecond
	releaseTime = 99 * time.Second
	// lingers is how long a replica goes on serving after its entry was removed.
	lingers = 4 * time.Second
	// probers is the number of consumers that try a new channel at the end, each on its own.
	probers = 10
)

// engine is a model replica.
type engine struct {
	*standin.Replica
	address string
	port    int
	server  *http.Server
	leaving atomic.Bool
	running atomic.Int64
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ran.Add(1)
	e.running.Add(1)
	defer e.running.Add(-1)
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	} else {
		w.Header().Set("Keep-Alive", "timeout=10")
	}
	e.Replica.ServeHTTP(w, r)
}

func (w *world) startEngine(n int) (*engine, error) {
	e := &engine{Replica: standin.NewReplica(fmt.Sprintf("i-%04d", n), 2, "m0", "m1")}
	e.Events, e.ServiceTime, e.Born, e.NameAttempt = streamEvents, eventPause, time.Now().UnixMilli(), true
	listener, err := w.listen()
	if err != nil {
		return nil, err
	}
	e.address, e.port = listener.Addr().String(), listener.Addr().(*net.TCPAddr).Port
	w.enginePorts[e.port] = true
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	w.writeEngine(e)
	return e, nil
}

// writeEngine writes the entry of a replica, as its heartbeat does.
func (w *world) writeEngine(e *engine) {
	entry := e.Entry("engine", e.address, "a", "ready")
	entry["slots"] = engineSlots
	w.store.Put("servers/"+e.ID, entry)
}

func engineManifest() map[string]any {
	model := func(name string) map[string]any {
		return map[string]any{"name": name, "weights-mb": 60000.0, "load-time-s": 3.0, "warm-s": 0.4, "disk-s": 0.8, "adapters": 3, "adapter-mb": 12.0}
	}
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "chat", "host": host, "path-prefix": "/chat/", "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 400,
			"target-gap-ms": 400, "priority": 0, "service": "engine", "attempts": 1, "can-resume": false, "sticky": true,
		}},
		"tenants": []any{map[string]any{"name": "office", "keys": []string{key}, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 0, "burst": 0}},
		"services": []any{map[string]any{"name": "engine", "max-connections": 360, "engine": map[string]any{
			"slots": engineSlots, "kv-capacity-tokens": 232000, "weights-mb": 200000.0, "adapter-slots": 8, "stride": 4, "loads-per-s": 2.1,
			"models": []any{model("m0"), model("m1")},
		}}},
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 60000},
	}
}

// outcomes counts how consumers' attempts ended.
type outcomes struct {
	mu     sync.Mutex
	counts map[string]int
}

func (o *outcomes) add(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[name]++
}

func (o *outcomes) take() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.counts
	o.counts = make(map[string]int)
	return out
}

// newConsumer returns a client with channels of its own, which it keeps.
func newConsumer() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 45 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// attempts counts the attempts of consumers, ran the requests that reached replicas.
var attempts, ran atomic.Int64

// chat makes one attempt and returns how it ended.
func chat(ctx context.Context, client *http.Client, address string) (outcome string, retryAfter time.Duration) {
	a := standin.Send(ctx, client, address, standin.Call{
		ID: fmt.Sprintf("%016x", attempts.Add(1)), Method: http.MethodPost, Host: host, Path: "/chat/a", Key: key, Body: "{}",
		Model: "m" + strconv.Itoa(int(attempts.Load()%2)), Prompt: 60, Output: streamEvents * 4, Timeout: 15 * time.Second,
	})
	switch {
	case a.Err != nil && a.Status == 0:
		return "no answer", 0
	case a.Err != nil:
		return "cut", 0
	}
	return strconv.Itoa(a.Status), a.RetryAfter
}

// read keeps a consumer reading streams until ctx ends.
func read(ctx context.Context, address string, o *outcomes) {
	client := newConsumer()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		outcome, retry := chat(ctx, client, address)
		if ctx.Err() != nil {
			return
		}
		o.add(outcome)
		if outcome != "200" {
			pause(ctx, max(retry, 300*time.Millisecond))
		}
	}
}

// keepChannel keeps a channel open and uses it now and then until ctx ends.
func keepChannel(ctx context.Context, address string, o *outcomes) {
	client := newConsumer()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/none/", nil)
		if err != nil {
			return
		}
		r.Host = host
		r.Header.Set("X-Chestnutarch-Attempt-Id", fmt.Sprintf("%016x", attempts.Add(1)))
		if response, err := client.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			o.add("kept " + strconv.Itoa(response.StatusCode))
		}
		pause(ctx, 30*time.Second)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func playDescriptors(w *world) (int, error) {
	w.configure(engineManifest())
	var engines []*engine
	for n := range descriptorEngines {
		e, err := w.startEngine(n)
		if err != nil {
			return failed, err
		}
		engines = append(engines, e)
	}
	for n := range descriptorVMs {
		if _, err := w.startVM(fmt.Sprintf("vm-%d", n), "a", nil); err != nil {
			return failed, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return failed, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	o := &outcomes{counts: make(map[string]int)}
	var consumers sync.WaitGroup
	for _, v := range w.vms {
		for range streamsPerVM {
			consumers.Go(func() { read(ctx, v.Callers, o) })
		}
		for range idlePerVM {
			consumers.Go(func() { keepChannel(ctx, v.Callers, o) })
		}
	}
	readiness := make([]*http.Client, len(w.vms))
	for i := range readiness {
		readiness[i] = newConsumer()
		readiness[i].Timeout = time.Second
	}
	w.observe(o, readiness, 5*time.Second)
	engines, replaced, err := w.release(ctx, engines, o, readiness)
	if err != nil {
		return failed, err
	}
	w.note("replaced %d replicas; %d are listed", replaced, len(engines))
	verdicts := make([]bool, len(w.vms))
	var probes sync.WaitGroup
	for i, v := range w.vms {
		probes.Go(func() { verdicts[i] = w.takesNoChannel(v, readiness[i]) })
	}
	probes.Wait()
	verdict := held
	if slices.Contains(verdicts, true) {
		verdict = broken
	}
	stop()
	consumers.Wait()
	w.note("the consumers have left")
	time.Sleep(2 * time.Second)
	w.observe(o, readiness, time.Second)
	listed := make(map[int]bool)
	for _, e := range engines {
		listed[e.port] = true
	}
	for _, v := range w.vms {
		w.noteSockets(v, listed)
	}
	w.note("replicas that are gone: %d; requests that replicas ran: %d", replaced, ran.Load())
	return verdict, nil
}

// release replaces replicas one after the other for releaseTime: the new one starts first, then the old one's entry is removed.
// Without the disruption it only waits.
func (w *world) release(ctx context.Context, engines []*engine, o *outcomes, readiness []*http.Client) (left []*engine, replaced int, err error) {
	next := len(engines)
	var exits sync.WaitGroup
	defer exits.Wait()
	last := time.Now()
	for end := time.Now().Add(releaseTime); time.Now().Before(end); time.Sleep(releaseGap) {
		if time.Since(last) > 5*time.Second {
			last = time.Now()
			w.observe(o, readiness, 0)
		}
		for _, e := range engines {
			w.writeEngine(e)
		}
		if !w.trouble {
			continue
		}
		fresh, err := w.startEngine(next)
		if err != nil {
			return nil, replaced, err
		}
		next++
		old := engines[0]
		engines = append(engines[1:], fresh)
		w.note("replica %s starts; the entry of %s is removed while it runs %d requests", fresh.ID, old.ID, old.running.Load())
		old.leaving.Store(true)
		w.store.Delete("servers/" + old.ID)
		replaced++
		exits.Go(func() {
			time.Sleep(lingers)
			ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			_ = old.server.Shutdown(ctx)
			_ = old.server.Close()
		})
	}
	return engines, replaced, nil
}

// noteSockets writes with whom the sockets of a process are connected, or were.
func (w *world) noteSockets(v *vm, listed map[int]bool) {
	counts := make(map[string]int)
	connected, ended := v.sockets()
	for _, s := range connected {
		name := "consumers, VMs and the store"
		if listed[s.remotePort] {
			name = "listed replicas"
		} else if w.enginePorts[s.remotePort] {
			name = "replicas that are gone"
		}
		if s.state == closeWait {
			name += ", closed by these"
		}
		counts[name]++
	}
	counts["nobody: the kernel has ended the connection"] = ended
	text, _ := json.Marshal(counts)
	w.note("%s: its open sockets are with %s", v.Name, text)
}

// observe writes the descriptors of each process, its readiness and the outcomes since the last time.
func (w *world) observe(o *outcomes, readiness []*http.Client, after time.Duration) {
	time.Sleep(after)
	for i, v := range w.vms {
		w.note("%s: %d descriptors open of %d, ready %v", v.Name, v.openDescriptors(), v.Descriptors, ready(readiness[i], v))
	}
	counts, _ := json.Marshal(o.take())
	w.note("attempts of consumers since then: %s", counts)
}

// ready asks a VM whether it is ready, on a channel that is kept, as the platform does.
func ready(client *http.Client, v *vm) bool {
	response, err := client.Get("http://" + v.Readiness + "/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// takesNoChannel reports whether a VM that says it is ready takes no new channel for the contact time, while probers try.
func (w *world) takesNoChannel(v *vm, readiness *http.Client) bool {
	var answered, tried atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), contact+500*time.Millisecond)
	defer cancel()
	var all sync.WaitGroup
	for range probers {
		all.Go(func() {
			for ctx.Err() == nil {
				tried.Add(1)
				client := newConsumer()
				r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Callers+"/none/", nil)
				r.Host = host
				r.Header.Set("X-Chestnutarch-Attempt-Id", fmt.Sprintf("%016x", attempts.Add(1)))
				client.Timeout = time.Second
				if response, err := client.Do(r); err == nil {
					_ = response.Body.Close()
					answered.Add(1)
				}
				client.CloseIdleConnections()
				pause(ctx, 100*time.Millisecond)
			}
		})
	}
	before := ready(readiness, v)
	all.Wait()
	after := ready(readiness, v)
	w.note("%s: %d consumers tried %d new channels in %v, %d were answered; it said that it is ready: %v before, %v after; %d descriptors open",
		v.Name, probers, tried.Load(), contact, answered.Load(), before, after, v.openDescriptors())
	return before && after && answered.Load() == 0
}
