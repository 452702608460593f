package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// ErrUnavailable means that the list could not be read from the platform.
var ErrUnavailable = errors.New("vmlist: list unavailable")

const (
	// callTimeout bounds how long a read waits without receiving a byte, both for
	// the answer to start and within it.
	callTimeout = 2 * time.Second
	// maxListBytes bounds the size of a list: 12,000 upstreams at some hundred bytes
	// each.
	maxListBytes = 8 << 20
)

// Client reads the list from the platform. It is safe for concurrent use.
type Client struct {
	// URL is the base address, "http://IP:port".
	URL string
	// HTTP makes the calls.
	HTTP *http.Client
}

// Read returns the platform's list. Errors wrap ErrUnavailable.
func (c *Client) Read(ctx context.Context) (*List, error) {
	ctx, idle := transport.WithIdleTimeout(ctx, callTimeout, callTimeout)
	defer idle.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+"/v1/vms", nil)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	answer, err := c.HTTP.Do(request)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "platform answered status %d, expected 200", answer.StatusCode)
	}
	list := &List{}
	if err := json.NewDecoder(idle.Reader(io.LimitReader(answer.Body, maxListBytes))).Decode(list); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	return list, nil
}

// Poller periodically reads the list and keeps the newest one. One goroutine calls Run;
// any goroutine may call Leaving.
type Poller struct {
	client   *Client
	interval time.Duration
	log      zerolog.Logger
	leaving  atomic.Pointer[map[string]struct{}]
}

// NewPoller returns a poller with an empty list.
func NewPoller(c *Client, interval time.Duration, log zerolog.Logger) *Poller {
	p := &Poller{client: c, interval: interval, log: log}
	p.leaving.Store(&map[string]struct{}{})
	return p
}

// Leaving reports whether the list contains an address, "IP:port", as leaving. An
// address that is not listed does not count as leaving: the list lags, and a new
// VM is missing from it.
func (p *Poller) Leaving(address string) bool {
	_, leaving := (*p.leaving.Load())[address]
	return leaving
}

// Run reads the list at every interval until ctx ends, and then returns nil. While
// the list is unavailable, the last one stays in use.
func (p *Poller) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *Poller) read(ctx context.Context) {
	list, err := p.client.Read(ctx)
	if err != nil {
		p.log.Debug().Err(err).Msg("reading the VM list failed; the last list stays in use")
		return
	}
	leaving := make(map[string]struct{})
	for _, vm := range list.VMs {
		if vm.State == Leaving {
			leaving[vm.Address] = struct{}{}
		}
	}
	p.leaving.Store(&leaving)
}
