package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	maxBodyBytes       = 8 << 20
	maxRecordedCalls   = 50_000
	requestIDHeader    = "X-Request-Id"
	otherRequestID     = "00000000-0000-0000-0000-000000000000"
	defaultServiceName = "service"
)

// ServiceOptions are the parameters of a plain service.
type ServiceOptions struct {
	// Name is echoed in answers. The default is "service".
	Name string `yaml:"name"`
	// Latency is how long a call takes. The default is 0.
	Latency time.Duration `yaml:"latency"`
}

// ServiceFaults are the faults of a plain service. A count is the number of
// upcoming calls that the fault affects; at most one counted fault affects a
// call.
type ServiceFaults struct {
	// CloseBeforeRun resets the connection of that many calls without executing
	// them.
	CloseBeforeRun int `json:"close_before_run"`
	// CloseAfterRun executes that many calls and resets the connection
	// without an answer.
	CloseAfterRun int `json:"close_after_run"`
	// SilentBeforeRun makes the connection of that many calls silent without
	// executing them.
	SilentBeforeRun int `json:"silent_before_run"`
	// SilentAfterRun executes that many calls and makes the connection silent.
	SilentAfterRun int `json:"silent_after_run"`
	// Truncate executes that many calls and resets the connection in the middle
	// of the answer.
	Truncate int `json:"truncate"`
	// Misrouted answers that many calls with another call's request ID and body
	// digest.
	Misrouted int `json:"misrouted"`
	// ServerErrors answers that many calls with status 500 after execution.
	ServerErrors int `json:"server_errors"`
	// SlowMS delays the execution of every call.
	SlowMS int64 `json:"slow_ms"`
	// LateMS delays the answer of every call after its execution.
	LateMS int64 `json:"late_ms"`
}

// ServiceCall is one call, which was executed or lost before its execution.
type ServiceCall struct {
	Time       time.Time   `json:"time"`
	RequestID  string      `json:"request_id"`
	Method     string      `json:"method"`
	Path       string      `json:"path"`
	Header     http.Header `json:"header"`
	BodySHA256 string      `json:"body_sha256"`
	Executed   bool        `json:"executed"`
}

// ServiceRecords holds what a plain service recorded.
type ServiceRecords struct {
	// Received counts the calls whose body was read without an error.
	Received int `json:"received"`
	// Executed counts executions.
	Executed int `json:"executed"`
	// ByRequestID counts executions per X-Request-Id.
	ByRequestID map[string]int `json:"by_request_id"`
	// ByBody counts executions per SHA-256 digest of the body.
	ByBody map[string]int `json:"by_body"`
	// MostPerBody is the largest count of ByBody.
	MostPerBody int `json:"most_per_body"`
	// Calls lists the first 50,000 calls.
	Calls []ServiceCall `json:"calls"`
}

// ServiceAnswer is the body of a plain service's answer.
type ServiceAnswer struct {
	Service    string `json:"service"`
	RequestID  string `json:"request_id"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodySHA256 string `json:"body_sha256"`
	Execution  int    `json:"execution"`
}

// Service is the stand-in for a plain service: it executes every call that it
// receives, repeated ones included, and counts executions.
type Service struct {
	options ServiceOptions

	mu      sync.Mutex
	faults  ServiceFaults
	records ServiceRecords
}

// NewService returns a plain service.
func NewService(o ServiceOptions) *Service {
	if o.Name == "" {
		o.Name = defaultServiceName
	}
	s := &Service{options: o}
	s.records.ByRequestID = make(map[string]int)
	s.records.ByBody = make(map[string]int)
	return s
}

// Faults returns a copy of the *ServiceFaults in force.
func (s *Service) Faults() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	return &f
}

// SetFaults puts a *ServiceFaults in force; nil clears them.
func (s *Service) SetFaults(v any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = ServiceFaults{}
	if f, ok := v.(*ServiceFaults); ok && f != nil {
		s.faults = *f
	}
}

// Records returns a copy of the ServiceRecords.
func (s *Service) Records() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records
	r.ByRequestID = copyCounts(r.ByRequestID)
	r.ByBody = copyCounts(r.ByBody)
	r.Calls = append([]ServiceCall(nil), r.Calls...)
	return r
}

// Close does nothing: a plain service has no background work.
func (s *Service) Close() {}

// ServeHTTP executes one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	fault := s.consumeFault()
	pause(r, time.Duration(fault.SlowMS)*time.Millisecond+s.options.Latency)
	sum := sha256.Sum256(body)
	answer := s.recordCall(r, hex.EncodeToString(sum[:]), fault.CloseBeforeRun+fault.SilentBeforeRun == 0)
	pause(r, time.Duration(fault.LateMS)*time.Millisecond)
	switch {
	case fault.CloseBeforeRun+fault.CloseAfterRun > 0:
		abort(r)
	case fault.SilentBeforeRun+fault.SilentAfterRun > 0:
		silence(r)
		<-r.Context().Done()
	case fault.Truncate > 0:
		s.truncate(w, r, answer)
	case fault.ServerErrors > 0:
		w.Header().Set(requestIDHeader, answer.RequestID)
		writeJSON(w, http.StatusInternalServerError, answer)
	default:
		if fault.Misrouted > 0 {
			answer.RequestID, answer.BodySHA256 = otherRequestID, otherRequestID
		}
		w.Header().Set(requestIDHeader, answer.RequestID)
		writeJSON(w, http.StatusOK, answer)
	}
}

func (s *Service) truncate(w http.ResponseWriter, r *http.Request, answer ServiceAnswer) {
	w.Header().Set(requestIDHeader, answer.RequestID)
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, `{"service":"`+answer.Service)
	_ = http.NewResponseController(w).Flush()
	abort(r)
}

// consumeFault returns the faults that apply to this call: the delays, and at
// most one counted fault, whose count it decrements.
func (s *Service) consumeFault() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.Received++
	hit := ServiceFaults{SlowMS: s.faults.SlowMS, LateMS: s.faults.LateMS}
	counters := []*int{
		&s.faults.CloseBeforeRun, &s.faults.CloseAfterRun, &s.faults.SilentBeforeRun,
		&s.faults.SilentAfterRun, &s.faults.Truncate, &s.faults.Misrouted, &s.faults.ServerErrors,
	}
	hits := []*int{
		&hit.CloseBeforeRun, &hit.CloseAfterRun, &hit.SilentBeforeRun,
		&hit.SilentAfterRun, &hit.Truncate, &hit.Misrouted, &hit.ServerErrors,
	}
	for i := range counters {
		if *counters[i] > 0 {
			*counters[i]--
			*hits[i] = 1
			return hit
		}
	}
	return hit
}

func (s *Service) recordCall(r *http.Request, digest string, execute bool) ServiceAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get(requestIDHeader)
	call := ServiceCall{
		Time: time.Now(), RequestID: id, Method: r.Method, Path: r.URL.Path,
		Header: r.Header.Clone(), BodySHA256: digest, Executed: execute,
	}
	if len(s.records.Calls) < maxRecordedCalls {
		s.records.Calls = append(s.records.Calls, call)
	}
	if execute {
		s.records.Executed++
		s.records.ByRequestID[id]++
		s.records.ByBody[digest]++
		s.records.MostPerBody = max(s.records.MostPerBody, s.records.ByBody[digest])
	}
	return ServiceAnswer{
		Service: s.options.Name, RequestID: id, Method: r.Method, Path: r.URL.Path,
		BodySHA256: digest, Execution: s.records.ByBody[digest],
	}
}

// pause waits for d, or until the request ends if that is earlier.
func pause(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

func copyCounts(m map[string]int) map[string]int {
	c := make(map[string]int, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}
