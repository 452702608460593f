package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/vmlist"
)

// VMListOptions are the parameters of the VM list.
type VMListOptions struct {
	// VMs is the initial list.
	VMs []ListedVM `yaml:"vms"`
	// Lag is the age of the list that callers receive. The default is 0.
	Lag time.Duration `yaml:"lag"`
}

// ListedVM is one VM of the list in a configuration file.
type ListedVM struct {
	// Address is "IP:port".
	Address string `yaml:"address"`
	// FailureDomain is the VM's failure domain.
	FailureDomain string `yaml:"failure_domain"`
	// State is "live" or "leaving". The default is "live".
	State vmlist.State `yaml:"state"`
}

// VMListFaults are the faults of the VM list.
type VMListFaults struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage"`
	// Hang leaves the calls that arrive while it is set without an answer.
	Hang bool `json:"hang"`
	// LagMS, if it is greater than zero, replaces the configured lag.
	LagMS int64 `json:"lag_ms"`
}

// VMListRecords holds what the VM list recorded.
type VMListRecords struct {
	// Calls counts reads of the list.
	Calls int `json:"calls"`
	// Current is the list without lag.
	Current vmlist.List `json:"truth"`
}

// VMList is the stand-in for the platform's lagging list of VMs. PUT
// /standin/vms or Set replaces the current list.
type VMList struct {
	lag time.Duration

	mu      sync.Mutex
	faults  VMListFaults
	history []vmlist.List
	calls   int
}

// NewVMList returns a list whose initial content callers receive immediately.
func NewVMList(o VMListOptions) *VMList {
	l := &VMList{lag: o.Lag}
	first := vmlist.List{AsOf: time.Now().Add(-o.Lag), VMs: make([]vmlist.VM, 0, len(o.VMs))}
	for _, v := range o.VMs {
		if v.State == "" {
			v.State = vmlist.Live
		}
		first.VMs = append(first.VMs, vmlist.VM(v))
	}
	l.history = []vmlist.List{first}
	return l
}

// Set replaces the current list; callers receive it after the lag.
func (l *VMList) Set(vms []vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, vmlist.List{AsOf: time.Now(), VMs: slices.Clone(vms)})
}

// Faults returns a copy of the *VMListFaults in force.
func (l *VMList) Faults() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults
	return &f
}

// SetFaults puts a *VMListFaults in force; nil clears them.
func (l *VMList) SetFaults(v any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = VMListFaults{}
	if f, ok := v.(*VMListFaults); ok && f != nil {
		l.faults = *f
	}
}

// Records returns the VMListRecords.
func (l *VMList) Records() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return VMListRecords{Calls: l.calls, Current: l.history[len(l.history)-1]}
}

// Close does nothing: the list has no background work.
func (l *VMList) Close() {}

// ServeHTTP answers GET /v1/vms, and PUT /standin/vms, which replaces the
// current list.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/vms":
		l.serveList(w, r)
	case "PUT /standin/vms":
		var vms []vmlist.VM
		if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(vms)
		w.WriteHeader(http.StatusNoContent)
	default:
		http.NotFound(w, r)
	}
}

func (l *VMList) serveList(w http.ResponseWriter, r *http.Request) {
	list, faults := l.laggedList()
	if faults.Hang {
		silence(r)
		<-r.Context().Done()
		return
	}
	if faults.Outage {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// laggedList counts a read and returns the list as it was one lag ago, with that
// time as AsOf, and the faults in force.
func (l *VMList) laggedList() (vmlist.List, VMListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	lag := l.lag
	if l.faults.LagMS > 0 {
		lag = time.Duration(l.faults.LagMS) * time.Millisecond
	}
	at := time.Now().Add(-lag)
	visible := l.history[0]
	for _, t := range l.history[1:] {
		if !t.AsOf.After(at) {
			visible = t
		}
	}
	visible.AsOf = at
	return visible, l.faults
}
