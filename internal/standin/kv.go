package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	maxValueBytes     = 1 << 20
	maxKVRequestBytes = 2 << 20
	maxHistoryBytes   = 32 << 20
	maxHistoryEvents  = 4096
)

// KVOptions are the parameters of the key-value service.
type KVOptions struct {
	// WritesPerSecond limits transactions and lease calls. The default, 0,
	// means no limit.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	// ReadsPerSecond limits the other calls, a waiting watch included as one
	// call a second. The default, 0, means no limit.
	ReadsPerSecond float64 `yaml:"reads_per_second"`
	// Latency is how long a call takes. The default is 0.
	Latency time.Duration `yaml:"latency"`
}

// The kinds of outage.
const (
	OutageError = "error"
	OutageReset = "reset"
	OutageHang  = "hang"
)

// KVFaults are the faults of the key-value service. A count is the number of
// upcoming calls that the fault affects.
type KVFaults struct {
	// Outage is empty, "error" (503), "reset" (the connection is reset) or
	// "hang" (calls that arrive while it lasts get no answer). "error" and
	// "reset" end the waiting watches; "hang" leaves them open and silent.
	Outage string `json:"outage"`
	// SlowMS delays every call before it takes effect.
	SlowMS int64 `json:"slow_ms"`
	// LateMS delays the answer of every call after it took effect.
	LateMS int64 `json:"late_ms"`
	// LoseRequests resets the connection of that many writes before they take
	// effect.
	LoseRequests int `json:"lose_requests"`
	// LoseAnswers resets the connection of that many writes after they took
	// effect.
	LoseAnswers int `json:"lose_answers"`
	// HangAnswers leaves that many writes that took effect without an answer,
	// on a connection that stays open.
	HangAnswers int `json:"hang_answers"`
	// KeyContains restricts the counted faults to writes of keys that contain
	// this text.
	KeyContains string `json:"key_contains"`
	// WatchSilent stops every waiting watch, and each that is opened while it is
	// set, from delivering changes. Clearing it does not revive them.
	WatchSilent bool `json:"watch_silent"`
	// ExpireLeases expires every lease immediately. It acts once.
	ExpireLeases bool `json:"expire_leases"`
}

// KVRecords holds what the key-value service recorded.
type KVRecords struct {
	// Revision is the store's revision.
	Revision int64 `json:"revision"`
	// Calls counts calls per path, refused ones included.
	Calls map[string]int `json:"calls"`
	// Refused counts calls over the rate limit.
	Refused int `json:"refused"`
	// Conflicts counts transactions whose comparison failed.
	Conflicts int `json:"conflicts"`
	// Writes counts the writes that took effect, per key.
	Writes map[string]int `json:"writes"`
	// WatchesOpen is the number of waiting watches.
	WatchesOpen int `json:"watches_open"`
	// WatchSeconds is the total time in seconds that watches have waited. The
	// platform counts a waiting watch as a call; this stand-in interprets that
	// as one call for each second that the watch waits.
	WatchSeconds float64 `json:"watch_seconds"`
	// Keys describes each existing key.
	Keys map[string]KVKey `json:"keys"`
}

// KVKey describes one key without its value; Bytes is the value's size.
type KVKey struct {
	ModRevision int64 `json:"mod_revision"`
	Version     int64 `json:"version"`
	Bytes       int   `json:"bytes"`
	Lease       int64 `json:"lease"`
}

// KV is the stand-in for the key-value service: the part of the etcd v3 JSON
// gateway that the platform offers. A transaction compares and writes one key;
// a wider one is refused, so that no code can depend on it.
type KV struct {
	options KVOptions
	writes  *rate.Limiter
	reads   *rate.Limiter

	mu          sync.Mutex
	closed      chan struct{}
	faults      KVFaults
	revision    int64
	keys        map[string]*kvPair
	history     []kvChange
	historySize int
	compacted   int64
	leases      map[int64]*lease
	nextLease   int64
	watches     map[*watch]struct{}
	records     KVRecords
}

// NewKV returns an empty key-value service.
func NewKV(o KVOptions) *KV {
	k := &KV{
		options:  o,
		writes:   limiter(o.WritesPerSecond),
		reads:    limiter(o.ReadsPerSecond),
		closed:   make(chan struct{}),
		revision: 1,
		keys:     make(map[string]*kvPair),
		leases:   make(map[int64]*lease),
		watches:  make(map[*watch]struct{}),
	}
	k.records.Calls = make(map[string]int)
	k.records.Writes = make(map[string]int)
	return k
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Faults returns a copy of the *KVFaults in force.
func (k *KV) Faults() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.faults
	return &f
}

// SetFaults puts a *KVFaults in force; nil clears them.
func (k *KV) SetFaults(v any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var f KVFaults
	if given, ok := v.(*KVFaults); ok && given != nil {
		f = *given
	}
	if f.ExpireLeases {
		f.ExpireLeases = false
		k.expireAllLeases()
	}
	k.faults = f
	for w := range k.watches {
		k.applyOutageToWatch(w)
	}
}

// applyOutageToWatch ends or silences a waiting watch according to the faults
// in force.
func (k *KV) applyOutageToWatch(w *watch) {
	switch {
	case k.faults.WatchSilent, k.faults.Outage == OutageHang:
		w.silent = true
	case k.faults.Outage != "":
		w.end()
	}
}

// Records returns a copy of the KVRecords.
func (k *KV) Records() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.records
	r.Revision = k.revision
	r.Calls = copyCounts(r.Calls)
	r.Writes = copyCounts(r.Writes)
	r.WatchesOpen = len(k.watches)
	for w := range k.watches {
		r.WatchSeconds += time.Since(w.opened).Seconds()
	}
	r.Keys = make(map[string]KVKey, len(k.keys))
	for name, p := range k.keys {
		r.Keys[name] = KVKey{
			ModRevision: int64(p.ModRevision), Version: int64(p.Version),
			Bytes: len(p.Value), Lease: int64(p.Lease),
		}
	}
	return r
}

// Close ends the waiting watches and stops the timers of the leases.
func (k *KV) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.closed:
		return
	default:
	}
	close(k.closed)
	for _, l := range k.leases {
		l.timer.Stop()
	}
}

// ServeHTTP answers one call of the gateway.
func (k *KV) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !k.admit(w, r) {
		return
	}
	body := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxKVRequestBytes))
	switch strings.TrimPrefix(strings.Replace(r.URL.Path, "/v3/kv/lease/", "/v3/lease/", 1), "/v3/") {
	case "kv/range":
		serve(k, w, r, body, k.rangeOne)
	case "kv/txn":
		serve(k, w, r, body, k.txn)
	case "lease/grant":
		serve(k, w, r, body, k.grant)
	case "lease/keepalive":
		serve(k, w, r, body, k.keepAlive)
	case "lease/revoke":
		serve(k, w, r, body, k.revoke)
	case "watch":
		k.serveWatch(w, r, body)
	default:
		errInvalid.write(w)
	}
}

// admit counts the call, applies outage, rate limit and delay, and reports
// whether the call is to be served.
func (k *KV) admit(w http.ResponseWriter, r *http.Request) bool {
	limit := k.reads
	if r.URL.Path == "/v3/kv/txn" || strings.Contains(r.URL.Path, "lease/") {
		limit = k.writes
	}
	k.mu.Lock()
	k.records.Calls[r.URL.Path]++
	allowed := limit.Allow()
	if !allowed {
		k.records.Refused++
	}
	k.mu.Unlock()
	if !k.checkOutage(w, r) {
		return false
	}
	if !allowed {
		errTooManyRequests.write(w)
		return false
	}
	k.mu.Lock()
	slow := k.options.Latency + time.Duration(k.faults.SlowMS)*time.Millisecond
	k.mu.Unlock()
	pause(r, slow)
	return k.checkOutage(w, r)
}

// checkOutage reports whether the service is up; if not, it fails the call as
// the outage requires. A call during a "hang" never gets an answer, as if the
// machines behind the service were cut off.
func (k *KV) checkOutage(w http.ResponseWriter, r *http.Request) bool {
	k.mu.Lock()
	outage := k.faults.Outage
	k.mu.Unlock()
	switch outage {
	case "":
		return true
	case OutageHang:
		silence(r)
		select {
		case <-r.Context().Done():
		case <-k.closed:
		}
	case OutageReset:
		abort(r)
	default:
		errUnavailable.write(w)
	}
	return false
}

// answer is the result of a call: a body or an error, and the key it wrote.
type answer struct {
	body       any
	err        *gatewayError
	changedKey string
}

// serve decodes a call, applies it and answers. The counted faults apply to
// writes.
func serve[T any](k *KV, w http.ResponseWriter, r *http.Request, body *json.Decoder, apply func(T) answer) {
	var request T
	if err := body.Decode(&request); err != nil {
		newGatewayError(http.StatusBadRequest, 3, err.Error()).write(w)
		return
	}
	key := writtenKey(request)
	if key != "" && k.consumeFault(&k.faults.LoseRequests, key) {
		abort(r)
	}
	k.mu.Lock()
	a := apply(request)
	late := time.Duration(k.faults.LateMS) * time.Millisecond
	k.mu.Unlock()
	pause(r, late)
	if a.changedKey != "" && k.consumeFault(&k.faults.LoseAnswers, a.changedKey) {
		abort(r)
	}
	if a.changedKey != "" && k.consumeFault(&k.faults.HangAnswers, a.changedKey) {
		silence(r)
		<-r.Context().Done()
		return
	}
	if a.err != nil {
		a.err.write(w)
		return
	}
	writeJSON(w, http.StatusOK, a.body)
}

// writtenKey returns the key that a transaction requests to write, or "".
func writtenKey(request any) string {
	t, ok := request.(txnRequest)
	if !ok || len(t.Success) == 0 || t.Success[0].RequestPut == nil {
		return ""
	}
	return string(t.Success[0].RequestPut.Key)
}

// consumeFault decrements the count of a fault and reports whether the fault
// applies to a write of the key.
func (k *KV) consumeFault(count *int, key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if *count <= 0 || !strings.Contains(key, k.faults.KeyContains) {
		return false
	}
	*count--
	return true
}
