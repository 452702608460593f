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
	// ErrNoAddress means that no entry VM said which address to use.
	ErrNoAddress = errors.New("load: no address")
)

const (
	addressTimeout = 2 * time.Second
	maxAnswerBytes = 8 << 20
)

// addresses is the answer to a caller's question which entry VM to use.
type addresses struct {
	Addresses []struct {
		URL string `json:"url"`
	} `json:"addresses"`
	TTLMS int64 `json:"ttl_ms"`
}

// caller is one caller. It keeps an address answer for its lifetime and uses
// the first address of it, the next one after a failure.
type caller struct {
	client  *http.Client
	entries []string

	mu      sync.Mutex
	asked   int
	answer  addresses
	expires time.Time
	using   int
}

// base returns the address to use now.
func (c *caller) base(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) {
		if err := c.ask(ctx); err != nil {
			return "", err
		}
	}
	return c.answer.Addresses[c.using%len(c.answer.Addresses)].URL, nil
}

// failed makes the caller leave an address that did not work.
func (c *caller) failed(base string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answer.Addresses) == 0 || c.answer.Addresses[c.using%len(c.answer.Addresses)].URL != base {
		return
	}
	c.using++
	if c.using >= len(c.answer.Addresses) {
		c.expires = time.Time{}
	}
}

// ask asks the entry VMs in turn until one answers.
func (c *caller) ask(ctx context.Context) error {
	last := ErrNoAddress
	for range c.entries {
		entry := c.entries[c.asked%len(c.entries)]
		answer, err := c.askOne(ctx, entry)
		if err == nil {
			c.answer, c.using = answer, 0
			c.expires = time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
			return nil
		}
		last = err
		c.asked++
	}
	return errors.WithMessage(last, ErrNoAddress.Error())
}

func (c *caller) askOne(ctx context.Context, entry string) (addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var answer addresses
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/v1/addresses", nil)
	if err != nil {
		return answer, errors.WithStack(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer)
	if err != nil {
		return answer, errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK || len(answer.Addresses) == 0 {
		return answer, errors.Wrap(ErrNoAddress, response.Status)
	}
	return answer, nil
}
