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
	// VMs is the list at the start.
	VMs []ListedVM `yaml:"vms"`
	// Lag is how old the list is that callers see. The default is none.
	Lag time.Duration `yaml:"lag"`
}

// ListedVM is one line of the list in a configuration file.
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
	// Hang gives no answer while it is set.
	Hang bool `json:"hang"`
	// LagMS, if it is not zero, replaces the configured lag.
	LagMS int64 `json:"lag_ms"`
}

// VMListRecords is what the VM list saw.
type VMListRecords struct {
	// Calls counts reads of the list.
	Calls int `json:"calls"`
	// Truth is the list without lag.
	Truth vmlist.List `json:"truth"`
}

// VMList is the stand-in of the platform's lagging list of VMs. The true list
// is replaced by PUT /standin/vms or Set.
type VMList struct {
	lag time.Duration

	mu     sync.Mutex
	faults VMListFaults
	truths []vmlist.List
	calls  int
}

// NewVMList makes a list whose first content is seen at once.
func NewVMList(o VMListOptions) *VMList {
	l := &VMList{lag: o.Lag}
	first := vmlist.List{AsOf: time.Now().Add(-o.Lag), VMs: make([]vmlist.VM, 0, len(o.VMs))}
	for _, v := range o.VMs {
		if v.State == "" {
			v.State = vmlist.Live
		}
		first.VMs = append(first.VMs, vmlist.VM(v))
	}
	l.truths = []vmlist.List{first}
	return l
}

// Set replaces the true list; callers see it after the lag.
func (l *VMList) Set(vms []vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.truths = append(l.truths, vmlist.List{AsOf: time.Now(), VMs: slices.Clone(vms)})
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
	return VMListRecords{Calls: l.calls, Truth: l.truths[len(l.truths)-1]}
}

// Close does nothing: the list has no background work.
func (l *VMList) Close() {}

// ServeHTTP answers GET /v1/vms, and PUT /standin/vms with a new true list.
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
	list, faults := l.seen()
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

// seen returns the list as it was one lag ago, with the time of that view.
func (l *VMList) seen() (vmlist.List, VMListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	lag := l.lag
	if l.faults.LagMS > 0 {
		lag = time.Duration(l.faults.LagMS) * time.Millisecond
	}
	at := time.Now().Add(-lag)
	seen := l.truths[0]
	for _, t := range l.truths[1:] {
		if !t.AsOf.After(at) {
			seen = t
		}
	}
	seen.AsOf = at
	return seen, l.faults
}
