//go:build review

package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// reportLag is the age of what a replica says of itself in GET /report.
	reportLag = 200 * time.Millisecond
	// adapterTime is how long an adapter takes to load.
	adapterTime = 8 * time.Millisecond
	// engineRestart is the time from the crash of a replica to its next lifetime, which holds nothing.
	engineRestart = 2 * time.Second
)

// Model is a model of the manifest.
type Model struct {
	Name             string
	WeightsMB, LoadS float64
	Adapters         int
	AdapterMB        float64
}

// EngineSpec is what the manifest says of the replicas of a service of model replicas.
type EngineSpec struct {
	WeightsMB    float64
	AdapterSlots int
	Models       []Model
}

func (s EngineSpec) model(name string) (Model, bool) {
	for _, m := range s.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Engine is a stand-in of a model replica. It keeps to the section "Model placement" of the protocol: an order that loads
// more than its memory or its places for adapters hold makes it crash, and it starts again empty.
type Engine struct {
	ID, Service, Zone string
	w                 *World
	spec              EngineSpec
	// dropped holds the models that the manifest does not name any more: they cannot be loaded.
	dropped map[string]bool
	// EventTime is the time that one event of a stream takes, Events their number.
	EventTime time.Duration
	Events    int

	mu       sync.Mutex
	address  string
	crash    func()
	born     int64
	models   map[string]map[string]bool
	incoming map[string]bool
	// onDisk holds the models whose weights the replica keeps, since it has loaded them before.
	onDisk   map[string]bool
	running  map[string]int
	sequence int64
	busy     bool
	down     bool
	states   []engineState
	// overloads are the orders that did not fit, cut the runs that ended with a crash.
	overloads []string
	cut       []string
	orders    int
}

type engineState struct {
	at     time.Time
	report []byte
}

// AddEngine starts a replica that holds models.
func (w *World) AddEngine(id, service, zone string, spec EngineSpec, models ...string) *Engine {
	e := &Engine{ID: id, Service: service, Zone: zone, w: w, spec: spec, EventTime: 20 * time.Millisecond, Events: 10}
	e.onDisk, e.dropped = make(map[string]bool), make(map[string]bool)
	e.start(models)
	w.Log("engine", "id", id, "models", models, "free-mb", spec.WeightsMB-e.used())
	go e.beat()
	return e
}

func (e *Engine) start(models []string) {
	e.mu.Lock()
	e.models, e.incoming, e.running = make(map[string]map[string]bool), make(map[string]bool), make(map[string]int)
	for _, m := range models {
		e.models[m], e.onDisk[m] = make(map[string]bool), true
	}
	e.born, e.sequence, e.busy, e.down, e.states = time.Now().UnixMilli(), 0, false, false, nil
	e.recordState()
	e.mu.Unlock()
	address, crash := e.w.listen(e)
	e.mu.Lock()
	e.address, e.crash = address, crash
	e.mu.Unlock()
	e.write()
}

// used is the memory that models and adapters take, those that are on their way too.
func (e *Engine) used() float64 {
	sum := 0.0
	for name, adapters := range e.models {
		m, _ := e.spec.model(name)
		sum += m.WeightsMB + float64(len(adapters))*m.AdapterMB
	}
	return sum
}

func (e *Engine) adapterCount() int {
	n := 0
	for _, adapters := range e.models {
		n += len(adapters)
	}
	return n
}

func (e *Engine) loaded() []any {
	out := []any{}
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		adapters := []string{}
		for _, a := range slices.Sorted(maps.Keys(e.models[name])) {
			if !e.incoming[name+"/"+a] {
				adapters = append(adapters, a)
			}
		}
		if !e.incoming[name] {
			out = append(out, map[string]any{"name": name, "version": 1, "adapters": adapters})
		}
	}
	return out
}

// recordState keeps the state for later reports. It must be called with the lock held.
func (e *Engine) recordState() {
	incoming := []string{}
	for item := range e.incoming {
		if strings.Contains(item, "/") {
			incoming = append(incoming, item+"@1")
		}
	}
	running := 0
	for _, n := range e.running {
		running += n
	}
	encoded, _ := json.Marshal(map[string]any{
		"stage": "both", "models": e.loaded(), "busy": e.busy, "sequence": e.sequence, "born": e.born, "incoming": incoming,
		"queued-requests": 0, "running-requests": running, "kv-used": 0, "kv-total": 232000, "handles": 0,
		"available": map[string]any{"in-memory": []string{}, "on-disk": slices.Sorted(maps.Keys(e.onDisk))},
	})
	e.states = append(e.states, engineState{time.Now(), encoded})
}

func (e *Engine) write() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.w.Store.kv.Put("servers/"+e.ID, map[string]any{
		"service": e.Service, "address": e.address, "zone": e.Zone, "version": "v1", "slots": 64, "state": "ready",
		"cold-remaining-ms": 0, "sequence": e.sequence, "born": e.born, "stage": "both", "models": e.loaded(),
	})
}

func (e *Engine) beat() {
	for {
		select {
		case <-e.w.done:
			return
		case <-time.After(Heartbeat):
			e.write()
		}
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Chestnutarch-Expected-Instance"); want != "" && want != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.serveReport(w)
	case "/order":
		e.serveOrder(w, r)
	default:
		e.serveRun(w, r)
	}
}

func (e *Engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.states[0].report
	for _, s := range e.states {
		if time.Since(s.at) >= reportLag {
			report = s.report
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(report)
}

type order struct {
	Operation, Model, Adapter, Holder string
	Expected                          *int64
	Token                             *int64 `json:"fencing-token"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var in order
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Holder == "" || in.Token == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status, overload := e.carryOut(in)
	e.orders++
	expected := int64(-1)
	if in.Expected != nil {
		expected = *in.Expected
	}
	e.w.Log("order", "engine", e.ID, "operation", in.Operation, "model", in.Model, "adapter", in.Adapter, "expected", expected,
		"holder", in.Holder, "token", *in.Token, "status", status, "used-mb", e.used(), "adapters", e.adapterCount())
	e.recordState()
	e.mu.Unlock()
	if overload != "" {
		e.fail(overload)
		return
	}
	w.WriteHeader(status)
}

// carryOut carries out an order and returns the answer's status. overload is not empty if the replica cannot hold what it is to
// load. It must be called with the lock held.
func (e *Engine) carryOut(in order) (status int, overload string) {
	spec, known := e.spec.model(in.Model)
	_, present := e.models[in.Model]
	switch {
	case !known || (in.Operation == "load" && e.dropped[in.Model]) || (in.Adapter != "" && !present) || (in.Operation != "load" && in.Operation != "unload"):
		return http.StatusBadRequest, ""
	case e.busy || (in.Expected != nil && *in.Expected != e.sequence):
		return http.StatusConflict, ""
	}
	holds := present
	if in.Adapter != "" {
		holds = e.models[in.Model][in.Adapter]
	}
	if holds == (in.Operation == "load") {
		return http.StatusOK, ""
	}
	e.sequence++
	switch {
	case in.Operation == "load" && in.Adapter != "":
		e.models[in.Model][in.Adapter] = true
		item := in.Model + "/" + in.Adapter
		e.incoming[item] = true
		e.after(adapterTime, func() { delete(e.incoming, item) })
	case in.Operation == "load":
		e.models[in.Model] = make(map[string]bool)
		e.incoming[in.Model], e.busy = true, true
		took := time.Duration(spec.LoadS * float64(time.Second))
		if e.onDisk[in.Model] {
			took /= 10
		}
		e.onDisk[in.Model] = true
		e.after(took, func() { delete(e.incoming, in.Model); e.busy = false })
	case in.Adapter != "":
		item := in.Model + "/" + in.Adapter
		if e.running[item] > 0 {
			go e.unloadUnused(item, e.born, func() { delete(e.models[in.Model], in.Adapter) })
			return http.StatusAccepted, ""
		}
		delete(e.models[in.Model], in.Adapter)
		return http.StatusOK, ""
	default:
		e.busy = true
		go e.unloadUnused(in.Model, e.born, func() {
			delete(e.models, in.Model)
			e.busy = false
		})
	}
	if used, n := e.used(), e.adapterCount(); used > e.spec.WeightsMB || n > e.spec.AdapterSlots {
		return http.StatusAccepted, fmt.Sprintf("%s %s/%s: %.0f MB and %d adapters, it holds %.0f MB and %d", in.Operation, in.Model, in.Adapter,
			used, n, e.spec.WeightsMB, e.spec.AdapterSlots)
	}
	return http.StatusAccepted, ""
}

// after calls f with the lock held, unless the replica has crashed meanwhile.
func (e *Engine) after(d time.Duration, f func()) {
	born := e.born
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born && !e.down {
			f()
			e.recordState()
		}
	})
}

// unloadUnused calls unload, with the lock held, once no run uses an item any more, unless the replica has crashed meanwhile.
func (e *Engine) unloadUnused(item string, born int64, unload func()) {
	for waits := true; waits; time.Sleep(10 * time.Millisecond) {
		e.mu.Lock()
		alive := e.born == born && !e.down
		waits = alive && e.running[item] > 0
		if alive && !waits {
			unload()
			e.recordState()
		}
		e.mu.Unlock()
	}
}

// fail ends the process of the replica: its channels are reset. It starts again empty.
func (e *Engine) fail(overload string) {
	e.mu.Lock()
	e.overloads = append(e.overloads, overload)
	e.mu.Unlock()
	e.w.Log("overload", "engine", e.ID, "order", strconv.Quote(overload))
	e.end()
}

func (e *Engine) end() {
	e.mu.Lock()
	e.down = true
	crash := e.crash
	e.mu.Unlock()
	e.w.Log("crash", "engine", e.ID)
	crash()
	time.AfterFunc(engineRestart, func() { e.start(nil) })
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, item := r.Header.Get("X-Chestnutarch-Attempt-Id"), r.Header.Get("X-Chestnutarch-Model")
	model, adapter, _ := strings.Cut(item, "/")
	e.mu.Lock()
	adapters, present := e.models[model]
	if !present || e.incoming[model] || (adapter != "" && (!adapters[adapter] || e.incoming[item])) {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.running[model]++
	if adapter != "" {
		e.running[item]++
	}
	born := e.born
	e.mu.Unlock()
	e.w.Log("run", "engine", e.ID, "attempt", id, "model", item)
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born && !e.down {
			e.running[model]--
			if adapter != "" {
				e.running[item]--
			}
		}
	}()
	w.Header().Set("X-Chestnutarch-Attempt-Id", id)
	w.Header().Set("X-Chestnutarch-Response-Signature", "sig-"+e.ID)
	w.Header().Set("X-Chestnutarch-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := range e.Events {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: word%d of %s\n\n", i+1, i+1, id)
		left := control.Flush() != nil
		if e.recordCut(id, born) {
			panic(http.ErrAbortHandler)
		}
		if left {
			return
		}
		time.Sleep(e.EventTime)
	}
	if e.recordCut(id, born) {
		panic(http.ErrAbortHandler)
	}
}

// recordCut reports whether the lifetime in which a run began has ended, and records the run if it has.
func (e *Engine) recordCut(id string, born int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.born == born && !e.down {
		return false
	}
	e.cut = append(e.cut, id)
	return true
}

// Drop makes the replica refuse to load a model, which the manifest does not name any more. If it holds the model, it goes on
// holding it until it is ordered to unload it.
func (e *Engine) Drop(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropped[model] = true
}

// Crash ends the process of the replica; it starts again empty, under the same ID.
func (e *Engine) Crash() { e.end() }

// Overloads returns the orders that did not fit.
func (e *Engine) Overloads() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.overloads)
}

// Cut returns the attempts whose runs ended with a crash.
func (e *Engine) Cut() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.cut)
}

// Orders returns the number of orders that arrived.
func (e *Engine) Orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// EngineManifest returns a manifest whose one route "chat" leads to model replicas, beside those of a plain service.
func EngineManifest(version int, spec EngineSpec, routes []Route, tenants []Tenant) map[string]any {
	out := Manifest(version, routes, tenants)
	var models []any
	for _, m := range spec.Models {
		models = append(models, map[string]any{
			"name": m.Name, "weights-mb": m.WeightsMB, "load-time-s": m.LoadS, "warm-s": m.LoadS / 10, "disk-s": m.LoadS / 10,
			"adapters": m.Adapters, "adapter-mb": m.AdapterMB,
		})
	}
	out["services"] = append(out["services"].([]any), map[string]any{
		"name": "engine", "max-connections": 360, "health-path": "/health", "engine": map[string]any{
			"slots": 64, "kv-capacity-tokens": 232000, "weights-mb": spec.WeightsMB, "adapter-slots": spec.AdapterSlots, "stride": 4,
			"loads-per-s": 2.1, "models": models,
		},
	})
	return out
}
