package standin

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/engine"
)

// EngineOptions are the parameters of a model engine.
type EngineOptions struct {
	// Name is the engine's name. The default is "engine".
	Name string `yaml:"name"`
	// Memory is the size of the memory that weights and KV cache share. The
	// default is 80 GiB.
	Memory document.Bytes `yaml:"memory"`
	// KVCacheReserve is the part of Memory that weights must leave free. The
	// default is 8 GiB.
	KVCacheReserve document.Bytes `yaml:"kv_cache_reserve"`
	// KVBytesPerToken is the KV cache that one token takes. The default is
	// 128 KiB.
	KVBytesPerToken document.Bytes `yaml:"kv_bytes_per_token"`
	// Fencing says whether orders with a stale fencing token are refused. The
	// default is "ignored".
	Fencing document.Fencing `yaml:"fencing"`
	// WeightStore is the URL of the weight store. If it is empty and Weights is
	// nil, a load takes LoadTime.
	WeightStore string `yaml:"weight_store"`
	// LoadTime is how long a load takes without a weight store. The default
	// is 0.
	LoadTime time.Duration `yaml:"load_time"`
	// Resident lists the items that are in memory and ready at the start.
	Resident []ResidentOption `yaml:"resident"`
	// TimeScale divides the duration of batch steps and of loads that take
	// LoadTime: with 10 the engine is ten times as fast. The default is 1.
	TimeScale float64 `yaml:"time_scale"`
	// PrefillTokensPerSecond is the speed of prefill. The default is 8000.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second"`
	// StepTime is the time between tokens of a request that runs alone in the
	// batch. The default is 18ms.
	StepTime time.Duration `yaml:"step_time"`
	// SequenceTime is the time that each further generating request adds to a
	// step. The default is 500µs.
	SequenceTime time.Duration `yaml:"sequence_time"`
	// MaxBatch is the largest number of requests in the batch. The default is
	// 64.
	MaxBatch int `yaml:"max_batch"`
	// AdapterTime is the time that an adapter adds to a step. The default is
	// 7.5ms.
	AdapterTime time.Duration `yaml:"adapter_time"`
	// AdapterKnee is the number of in-flight requests of one adapter above
	// which AdapterTime grows in proportion to them. The default is 60.
	AdapterKnee int `yaml:"adapter_knee"`
	// ReportLag is the age of load reports. The default is 0.
	ReportLag time.Duration `yaml:"report_lag"`
	// OrphanTimeout is how long a stream without a reader runs before it is
	// cancelled. The default is 30s.
	OrphanTimeout time.Duration `yaml:"orphan_timeout"`
	// Weights is the source of loads; it takes precedence over WeightStore.
	Weights Weights `yaml:"-"`
	// Adapters counts in-flight requests per adapter. Engines that share a meter
	// reach AdapterKnee together. By default the engine has its own meter.
	Adapters *AdapterMeter `yaml:"-"`
}

// ResidentOption is an item that is in memory at the start.
type ResidentOption struct {
	Model   string         `yaml:"model"`
	Adapter string         `yaml:"adapter"`
	Version string         `yaml:"version"`
	Memory  document.Bytes `yaml:"memory"`
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o *EngineOptions) setDefaults() {
	setDefault(&o.Name, "engine")
	setDefault(&o.Memory, 80*document.GiB)
	setDefault(&o.KVCacheReserve, 8*document.GiB)
	setDefault(&o.KVBytesPerToken, 128*document.KiB)
	setDefault(&o.Fencing, document.FencingIgnored)
	setDefault(&o.TimeScale, 1)
	setDefault(&o.PrefillTokensPerSecond, 8000)
	setDefault(&o.StepTime, 18*time.Millisecond)
	setDefault(&o.SequenceTime, 500*time.Microsecond)
	setDefault(&o.MaxBatch, 64)
	setDefault(&o.AdapterTime, 7500*time.Microsecond)
	setDefault(&o.AdapterKnee, 60)
	setDefault(&o.OrphanTimeout, 30*time.Second)
	if o.Weights == nil && o.WeightStore != "" {
		o.Weights = RemoteWeights{URL: o.WeightStore}
	}
	if o.Adapters == nil {
		o.Adapters = NewAdapterMeter()
	}
}

// AdapterMeter counts the in-flight requests of each adapter.
type AdapterMeter struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewAdapterMeter returns a meter whose counts are zero.
func NewAdapterMeter() *AdapterMeter {
	return &AdapterMeter{counts: make(map[string]int)}
}

func (m *AdapterMeter) add(adapter string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[adapter] += n
}

func (m *AdapterMeter) inFlight(adapter string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[adapter]
}

// EngineFaults are the faults of a model engine. A count is the number of
// upcoming exchanges that the fault affects; at most one counted fault affects
// an exchange.
type EngineFaults struct {
	// AfterEvents is the number of events that an exchange sends before one of
	// the next four faults affects it. With 0 that is before its first event.
	AfterEvents int `json:"after_events"`
	// ResetStreams resets that many streams' connections.
	ResetStreams int `json:"reset_streams"`
	// SilenceStreams makes that many streams' connections silent.
	SilenceStreams int `json:"silence_streams"`
	// TruncateStreams ends that many streams early, without a transport error.
	TruncateStreams int `json:"truncate_streams"`
	// MisrouteStreams answers that many streams with another request's ID.
	MisrouteStreams int `json:"misroute_streams"`
	// Errors answers that many requests with status 500 before they run.
	Errors int `json:"errors"`
	// LoseOrders resets the connection of that many orders before they take
	// effect.
	LoseOrders int `json:"lose_orders"`
	// LoseOrderAnswers resets the connection of that many orders after they
	// took effect.
	LoseOrderAnswers int `json:"lose_order_answers"`
	// DelayOrdersMS delays the effect of every order, which takes place even
	// if the sender has stopped waiting.
	DelayOrdersMS int64 `json:"delay_orders_ms"`
	// DuplicateOrders applies that many orders a second time, after
	// DuplicateAfterMS.
	DuplicateOrders  int   `json:"duplicate_orders"`
	DuplicateAfterMS int64 `json:"duplicate_after_ms"`
	// MisrouteOrders answers that many orders with another order's ID.
	MisrouteOrders int `json:"misroute_orders"`
	// FailLoads makes that many loads fail after their weights were read.
	FailLoads int `json:"fail_loads"`
	// Draining makes the engine report that it is draining and refuse new
	// requests.
	Draining bool `json:"draining"`
	// ReportsStuck freezes the load report.
	ReportsStuck bool `json:"reports_stuck"`
	// SlowFactor, if it is greater than 1, multiplies the duration of every
	// step.
	SlowFactor float64 `json:"slow_factor"`
}

// Engine is the stand-in for a model engine: one continuous batch, a prefix
// cache, weights in accounted memory, and orders that load and unload them.
type Engine struct {
	options EngineOptions
	wake    chan struct{}
	closed  chan struct{}
	once    sync.Once

	mu               sync.Mutex
	faults           EngineFaults
	records          EngineRecords
	incarnationCount int
	incarnation      string
	resident         map[engine.Item]*resident
	loadCount        int
	memoryUsed       int64
	orders           map[string]*engine.OrderStatus
	highestFence     int64
	streams          map[string]*stream
	finished         []string
	waiting          []*stream
	running          []*stream
	cache            *prefixCache
	sequence         int64
	published        engine.Load
	pending          engine.Load
}

// NewEngine returns an engine whose batch is running.
func NewEngine(o EngineOptions) *Engine {
	o.setDefaults()
	e := &Engine{options: o, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	e.records.Executions = make(map[string]int)
	e.startIncarnation()
	for _, r := range o.Resident {
		item := engine.Item{Model: r.Model, Adapter: r.Adapter, Version: r.Version}
		e.loadCount++
		e.resident[item] = &resident{memory: int64(r.Memory), state: engine.ItemReady, loadNumber: e.loadCount}
		e.memoryUsed += int64(r.Memory)
	}
	e.recordMemory("")
	e.published = e.newReport()
	e.pending = e.published
	go e.runBatch()
	if o.ReportLag > 0 {
		go e.runReports()
	}
	return e
}

// startIncarnation starts a new incarnation with empty memory.
func (e *Engine) startIncarnation() {
	e.incarnationCount++
	e.incarnation = fmt.Sprintf("%s-%d-%d", e.options.Name, time.Now().UnixNano(), e.incarnationCount)
	e.resident = make(map[engine.Item]*resident)
	e.memoryUsed = 0
	e.orders = make(map[string]*engine.OrderStatus)
	e.highestFence = 0
	e.streams = make(map[string]*stream)
	e.finished, e.waiting, e.running = nil, nil, nil
	e.cache = newPrefixCache(int(e.options.KVCacheReserve / e.options.KVBytesPerToken / blockTokens))
	e.sequence = 0
}

// restart discards everything that the engine held in memory and breaks its
// unfinished streams.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		if s.done {
			continue
		}
		e.records.CutByRestart++
		s.lost = true
		e.release(s)
		s.notify()
	}
	e.startIncarnation()
	e.published = e.newReport()
	e.pending = e.published
}

// Close stops the batch.
func (e *Engine) Close() { e.once.Do(func() { close(e.closed) }) }

// Faults returns a copy of the *EngineFaults in force.
func (e *Engine) Faults() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	return &f
}

// SetFaults puts an *EngineFaults in force; nil clears them.
func (e *Engine) SetFaults(v any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = EngineFaults{}
	if f, ok := v.(*EngineFaults); ok && f != nil {
		e.faults = *f
	}
}

// consumeFault decrements the count of a fault and reports whether the fault
// applies. The caller holds mu.
func (e *Engine) consumeFault(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// scaled divides a duration by TimeScale.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.options.TimeScale)
}

// ServeHTTP answers the calls described in docs/PROTOCOLS.md.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case r.Method == http.MethodPost && path == "/v1/chat/completions":
		e.serveCompletion(w, r, true)
	case r.Method == http.MethodPost && path == "/v1/completions":
		e.serveCompletion(w, r, false)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/v1/streams/") && strings.HasSuffix(path, "/cancel"):
		id := strings.TrimSuffix(strings.TrimPrefix(path, "/v1/streams/"), "/cancel")
		e.serveCancel(w, id)
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/v1/streams/"):
		e.serveResume(w, r, strings.TrimPrefix(path, "/v1/streams/"))
	case r.Method == http.MethodGet && path == "/v1/load":
		writeJSON(w, http.StatusOK, e.visibleReport())
	case r.Method == http.MethodPost && path == "/v1/orders":
		e.serveOrder(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/v1/orders/"):
		e.serveOrderState(w, strings.TrimPrefix(path, "/v1/orders/"))
	default:
		refuse(w, http.StatusNotFound, "not_found", "no such call")
	}
}

// refuse answers with an OpenAI-style error.
func refuse(w http.ResponseWriter, status int, kind, message string) {
	var body struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
		} `json:"error"`
	}
	body.Error.Type = kind
	body.Error.Message = message
	writeJSON(w, status, body)
}
