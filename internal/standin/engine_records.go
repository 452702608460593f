package standin

import (
	"net/http"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/engine"
)

const maxRecordedRequests = 20_000

// EngineRequest is one request for a generation, as the engine received it.
type EngineRequest struct {
	Time time.Time `json:"time"`
	// RequestID is the X-Request-Id.
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	// Model is the requested name, Version the version that served it.
	Model      string      `json:"model"`
	Version    string      `json:"version"`
	Header     http.Header `json:"header"`
	BodySHA256 string      `json:"body_sha256"`
	Priority   int         `json:"priority"`
	// ResumedFrom is the Last-Event-ID of the request, 0 for a new generation.
	ResumedFrom int `json:"resumed_from"`
	// PromptTokens and CachedTokens are the prompt's size and the part of it
	// that the prefix cache held.
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// Generated is the number of tokens generated so far.
	Generated int  `json:"generated"`
	Finished  bool `json:"finished"`
	Cancelled bool `json:"cancelled"`
}

// EngineOrder is one order that took effect or was refused.
type EngineOrder struct {
	Time  time.Time         `json:"time"`
	Order engine.Order      `json:"order"`
	State engine.OrderState `json:"state"`
}

// Overcommit is a moment at which weights took more memory than their limit, in
// bytes.
type Overcommit struct {
	Time    time.Time `json:"time"`
	OrderID string    `json:"order_id"`
	Used    int64     `json:"used"`
	Limit   int64     `json:"limit"`
}

// EngineRecords holds what a model engine recorded, over all its incarnations.
type EngineRecords struct {
	Engine      string `json:"engine"`
	Incarnation string `json:"incarnation"`
	// Received counts requests for a generation, refused ones included.
	Received int `json:"received"`
	// Executions counts generations that began, per X-Request-Id.
	Executions map[string]int `json:"executions"`
	// Requests lists the first 20,000 requests that were accepted.
	Requests []*EngineRequest `json:"requests"`
	// RefusedDraining and RefusedNotResident count refusals by cause.
	RefusedDraining    int `json:"refused_draining"`
	RefusedNotResident int `json:"refused_not_resident"`
	// Resumes counts resumptions of streams, Cancels streams that a call
	// cancelled, Orphans streams that ended because they had no reader.
	Resumes int `json:"resumes"`
	Cancels int `json:"cancels"`
	Orphans int `json:"orphans"`
	// CutByRestart counts generations that a restart broke.
	CutByRestart int `json:"cut_by_restart"`
	// MemoryUsed and MaxMemoryUsed are the current and the largest size of the
	// weights in bytes.
	MemoryUsed    int64 `json:"memory_used"`
	MaxMemoryUsed int64 `json:"max_memory_used"`
	// Overcommits lists every excess over the memory limit.
	Overcommits []Overcommit `json:"overcommits"`
	// Orders lists the orders, each once per incarnation.
	Orders []EngineOrder `json:"orders"`
	// Loads and Unloads count the loads and unloads that were started.
	Loads   int `json:"loads"`
	Unloads int `json:"unloads"`
	// StaleAccepted and StaleRefused count orders with a stale fencing token.
	StaleAccepted int `json:"stale_accepted"`
	StaleRefused  int `json:"stale_refused"`
	// PromptTokens, CachedTokens and GeneratedTokens are sums over requests.
	PromptTokens    int64 `json:"prompt_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
	// MaxRunning is the largest batch.
	MaxRunning int `json:"max_running"`
	// BusySeconds is the time in seconds that the batch was not empty.
	BusySeconds float64 `json:"busy_seconds"`
}

// Records returns a copy of the EngineRecords.
func (e *Engine) Records() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.records
	r.Engine = e.options.Name
	r.Incarnation = e.incarnation
	r.MemoryUsed = e.memoryUsed
	r.Executions = copyCounts(r.Executions)
	r.Overcommits = append([]Overcommit(nil), r.Overcommits...)
	r.Orders = append([]EngineOrder(nil), r.Orders...)
	r.Requests = make([]*EngineRequest, len(e.records.Requests))
	for i, request := range e.records.Requests {
		c := *request
		r.Requests[i] = &c
	}
	return r
}

// recordMemory records the largest memory use and any excess over the limit.
func (e *Engine) recordMemory(orderID string) {
	e.records.MaxMemoryUsed = max(e.records.MaxMemoryUsed, e.memoryUsed)
	limit := int64(e.options.Memory - e.options.KVCacheReserve)
	if e.memoryUsed <= limit {
		return
	}
	e.records.Overcommits = append(e.records.Overcommits, Overcommit{
		Time: time.Now(), OrderID: orderID, Used: e.memoryUsed, Limit: limit,
	})
}

// newReport returns a load report of the current state.
func (e *Engine) newReport() engine.Load {
	e.sequence++
	l := engine.Load{
		Engine: e.options.Name, Incarnation: e.incarnation, Sequence: e.sequence, Time: time.Now(),
		Draining: e.faults.Draining, Running: len(e.running), Waiting: len(e.waiting),
		KVCacheUsed: e.kvUsed(), KVCacheTotal: int64(e.options.KVCacheReserve), MemoryUsed: e.memoryUsed,
		Resident: make([]engine.Resident, 0, len(e.resident)),
	}
	for item, r := range e.resident {
		l.Resident = append(l.Resident, engine.Resident{Item: item, State: r.state})
	}
	return l
}

// visibleReport returns the report that callers currently receive.
func (e *Engine) visibleReport() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ReportLag <= 0 && !e.faults.ReportsStuck {
		e.published = e.newReport()
	}
	return e.published
}

// runReports publishes each report one ReportLag after it was made.
func (e *Engine) runReports() {
	t := time.NewTicker(e.options.ReportLag)
	defer t.Stop()
	for {
		select {
		case <-e.closed:
			return
		case <-t.C:
		}
		e.mu.Lock()
		if !e.faults.ReportsStuck {
			e.published = e.pending
			e.pending = e.newReport()
		}
		e.mu.Unlock()
	}
}
