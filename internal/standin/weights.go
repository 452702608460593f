package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/engine"
)

// WeightStoreOptions are the parameters of the weight store.
type WeightStoreOptions struct {
	// LoadsPerSecond is the rate at which loads may start. The default, 0,
	// means no limit.
	LoadsPerSecond float64 `yaml:"loads_per_second"`
	// ConcurrentLoads is how many loads may run at once. The default, 0, means
	// no limit.
	ConcurrentLoads int `yaml:"concurrent_loads"`
	// BytesPerSecond is the speed of one load. The default is 4 GiB per second.
	BytesPerSecond document.Bytes `yaml:"bytes_per_second"`
}

const defaultBytesPerSecond = 4 * document.GiB

// WeightLoad is one load that an engine requests from the weight store.
type WeightLoad struct {
	// Engine is the name of the engine that requests the load.
	Engine string `json:"engine"`
	// Item is the item to load.
	Item engine.Item `json:"item"`
	// Memory is the item's size in bytes.
	Memory int64 `json:"memory"`
}

// Weights is the source from which an engine loads weights.
type Weights interface {
	// Load returns once the weights have been read, or ErrOverLimit.
	Load(ctx context.Context, l WeightLoad) error
}

// WeightStoreFaults are the faults of the weight store.
type WeightStoreFaults struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage"`
	// SlowMS is the time in milliseconds that is added to every load.
	SlowMS int64 `json:"slow_ms"`
}

// WeightStoreRecords holds what the weight store recorded.
type WeightStoreRecords struct {
	// Loads counts the loads that were admitted.
	Loads int `json:"loads"`
	// RateViolations and ConcurrencyViolations count the loads that were refused
	// because they exceeded the rate limit or the concurrency limit.
	RateViolations        int `json:"rate_violations"`
	ConcurrencyViolations int `json:"concurrency_violations"`
	// MaxConcurrent is the largest number of loads that ran at once.
	MaxConcurrent int `json:"max_concurrent"`
	// ByItem counts the loads of each item, as MODEL/ADAPTER@VERSION.
	ByItem map[string]int `json:"by_item"`
}

// WeightStore is the stand-in for the rate-limited weight store.
type WeightStore struct {
	options WeightStoreOptions
	limit   *rate.Limiter

	mu      sync.Mutex
	faults  WeightStoreFaults
	running int
	records WeightStoreRecords
}

// NewWeightStore returns a weight store. The burst of its rate limit is the
// number of loads that it allows in one second, and at least 1.
func NewWeightStore(o WeightStoreOptions) *WeightStore {
	if o.BytesPerSecond <= 0 {
		o.BytesPerSecond = defaultBytesPerSecond
	}
	s := &WeightStore{options: o, limit: limiter(o.LoadsPerSecond)}
	s.records.ByItem = make(map[string]int)
	return s
}

// Faults returns a copy of the *WeightStoreFaults in force.
func (s *WeightStore) Faults() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	return &f
}

// SetFaults puts a *WeightStoreFaults in force; nil clears them.
func (s *WeightStore) SetFaults(v any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = WeightStoreFaults{}
	if f, ok := v.(*WeightStoreFaults); ok && f != nil {
		s.faults = *f
	}
}

// Records returns the WeightStoreRecords.
func (s *WeightStore) Records() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records
	r.ByItem = copyCounts(r.ByItem)
	return r
}

// Close does nothing: the weight store has no background work.
func (s *WeightStore) Close() {}

// Load takes as long as reading the weights at the store's speed. It returns
// ErrOverLimit at once if the store's rate or concurrency limit is exceeded, or
// during an outage.
func (s *WeightStore) Load(ctx context.Context, l WeightLoad) error {
	slow, err := s.startLoad(l)
	if err != nil {
		return err
	}
	defer s.endLoad()
	seconds := float64(l.Memory) / float64(s.options.BytesPerSecond)
	t := time.NewTimer(slow + time.Duration(seconds*float64(time.Second)))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

func (s *WeightStore) startLoad(l WeightLoad) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return 0, errors.Wrap(ErrOverLimit, "outage")
	}
	if s.options.ConcurrentLoads > 0 && s.running >= s.options.ConcurrentLoads {
		s.records.ConcurrencyViolations++
		return 0, errors.Wrap(ErrOverLimit, "concurrent loads")
	}
	if !s.limit.Allow() {
		s.records.RateViolations++
		return 0, errors.Wrap(ErrOverLimit, "loads per second")
	}
	s.running++
	s.records.Loads++
	s.records.ByItem[itemName(l.Item)]++
	s.records.MaxConcurrent = max(s.records.MaxConcurrent, s.running)
	return time.Duration(s.faults.SlowMS) * time.Millisecond, nil
}

func (s *WeightStore) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func itemName(i engine.Item) string {
	return i.Model + "/" + i.Adapter + "@" + i.Version
}

// ServeHTTP answers POST /v1/loads when the load has ended: 204, or 429 if the
// store refused it.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/v1/loads" {
		http.NotFound(w, r)
		return
	}
	var l WeightLoad
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Load(r.Context(), l); err != nil {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// RemoteWeights loads from a weight store that another process serves.
type RemoteWeights struct {
	// URL is the base address, "http://IP:port".
	URL string
}

// Load requests the load from the weight store and waits for its end. It returns
// ErrOverLimit if the store refuses the load, or a *StatusError for another
// status.
func (w RemoteWeights) Load(ctx context.Context, l WeightLoad) error {
	body, err := json.Marshal(l)
	if err != nil {
		return errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.URL+"/v1/loads", bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusTooManyRequests:
		return errors.WithStack(ErrOverLimit)
	default:
		return errors.WithStack(&StatusError{URL: w.URL, Status: response.StatusCode})
	}
}
