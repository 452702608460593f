package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNoAddress means that no entry VM returned an address to use.
	ErrNoAddress = errors.New("load: no address")
)

const (
	addressTimeout   = 2 * time.Second
	maxResponseBytes = 8 << 20
)

// addressAnswer is the response to GET /v1/addresses: the entry VMs to use, in
// order of preference, and how long the caller keeps them.
type addressAnswer struct {
	Addresses []struct {
		URL string `json:"url"`
	} `json:"addresses"`
	TTLMS int64 `json:"ttl_ms"`
}

// caller is one caller of the system. It caches an address answer for the
// answer's lifetime. It uses the first address and moves to the next one after
// a failure.
type caller struct {
	client  *http.Client
	entries []string

	mu           sync.Mutex
	entryIndex   int
	answer       addressAnswer
	expiresAt    time.Time
	addressIndex int
}

// baseURL returns the base URL of the entry VM to use now. It requests new
// addresses if the cached ones have expired.
func (c *caller) baseURL(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expiresAt) {
		if err := c.refreshAddresses(ctx); err != nil {
			return "", err
		}
	}
	return c.answer.Addresses[c.addressIndex%len(c.answer.Addresses)].URL, nil
}

// markFailed moves the caller from a failed address to the next one. After the
// last one, the cached answer expires.
func (c *caller) markFailed(base string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answer.Addresses) == 0 || c.answer.Addresses[c.addressIndex%len(c.answer.Addresses)].URL != base {
		return
	}
	c.addressIndex++
	if c.addressIndex >= len(c.answer.Addresses) {
		c.expiresAt = time.Time{}
	}
}

// refreshAddresses queries the entry VMs in turn until one returns addresses.
func (c *caller) refreshAddresses(ctx context.Context) error {
	lastErr := ErrNoAddress
	for range c.entries {
		entry := c.entries[c.entryIndex%len(c.entries)]
		answer, err := c.fetchAddresses(ctx, entry)
		if err == nil {
			c.answer, c.addressIndex = answer, 0
			c.expiresAt = time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
			return nil
		}
		lastErr = err
		c.entryIndex++
	}
	return errors.WithMessage(lastErr, ErrNoAddress.Error())
}

func (c *caller) fetchAddresses(ctx context.Context, entry string) (addressAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var answer addressAnswer
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/v1/addresses", nil)
	if err != nil {
		return answer, errors.WithStack(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&answer)
	if err != nil {
		return answer, errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK || len(answer.Addresses) == 0 {
		return answer, errors.Wrap(ErrNoAddress, response.Status)
	}
	return answer, nil
}
