package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrUnavailable means that the list could not be read.
	ErrUnavailable = errors.New("vmlist: list not available")
)

const (
	// DefaultInterval is the default of Options.Interval.
	DefaultInterval = 2 * time.Second
	// readTimeout bounds one read.
	readTimeout = 2 * time.Second
	// maxListBytes bounds the list.
	maxListBytes = 8 << 20
)

// Options configures a Watcher.
type Options struct {
	// URL is the base address of the list.
	URL string
	// Client makes the calls.
	Client *http.Client
	// Interval is the time between two reads. The default is 2s.
	Interval time.Duration
}

// Watcher reads the list again and again. Its snapshots may be read from any
// goroutine.
type Watcher struct {
	options Options
	state   atomic.Pointer[snapshot]
}

// snapshot is a list with an index.
type snapshot struct {
	list    List
	leaving map[string]bool
}

// NewWatcher returns a watcher that knows of no VM.
func NewWatcher(o Options) *Watcher {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	w := &Watcher{options: o}
	w.state.Store(&snapshot{})
	return w
}

// List returns the newest list.
func (w *Watcher) List() List {
	return w.state.Load().list
}

// Leaving reports whether the list says that the VM with the address "IP:port" is
// leaving. It lags, so false proves nothing.
func (w *Watcher) Leaving(address string) bool {
	return w.state.Load().leaving[address]
}

// Run reads until ctx ends, and returns its error. While the list cannot be read,
// the last one stands.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.options.Interval)
	defer ticker.Stop()
	for {
		if list, err := w.read(ctx); err == nil {
			w.take(list)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// take publishes a list unless an older one has overtaken it: the platform
// answers from several copies that lag by different times.
func (w *Watcher) take(l List) {
	if l.AsOf.Before(w.state.Load().list.AsOf) {
		return
	}
	s := &snapshot{list: l, leaving: make(map[string]bool)}
	for _, vm := range l.VMs {
		if vm.State == Leaving {
			s.leaving[vm.Address] = true
		}
	}
	w.state.Store(s)
}

func (w *Watcher) read(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, w.options.URL+"/v1/vms", nil)
	if err != nil {
		return List{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	resp, err := w.options.Client.Do(req)
	if err != nil {
		return List{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, errors.Wrap(ErrUnavailable, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return List{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	var l List
	if err := json.Unmarshal(body, &l); err != nil {
		return List{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return l, nil
}
