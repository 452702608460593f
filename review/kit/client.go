//go:build review

package kit

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one consumer attempt.
type Request struct {
	ID, Method, Path, Key, Body string
	// Model is empty for plain services.
	Model string
	// Tokens is the value of X-Chestnutarch-Token-Counts, empty if it is not sent.
	Tokens  string
	Timeout time.Duration
}

// Answer is what the consumer observes.
type Answer struct {
	// Status is 0 if no answer began.
	Status int
	Signed bool
	Body   string
	Err    error
}

// Client is a consumer with channels of its own.
type Client struct{ http *http.Client }

// NewClient returns a consumer that keeps its channels and repeats nothing by itself.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 16, IdleConnTimeout: 15 * time.Second, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// Send sends an attempt to the "front" address of a VM and reads the whole answer.
func (c *Client) Send(address string, q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout+500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return Answer{Err: err}
	}
	r.Host, r.GetBody = Host, nil
	r.Header.Set("X-Chestnutarch-Attempt-Id", q.ID)
	r.Header.Set("X-Chestnutarch-Deadline-Remaining-Ms", strconv.FormatInt(q.Timeout.Milliseconds(), 10))
	r.Header.Set("Authorization", "Token "+q.Key)
	if q.Model != "" {
		r.Header.Set("X-Chestnutarch-Model", q.Model)
		r.Header.Set("X-Chestnutarch-Prompt-Prefix", q.ID+":100")
	}
	if q.Tokens != "" {
		r.Header.Set("X-Chestnutarch-Token-Counts", q.Tokens)
	}
	response, err := c.http.Transport.RoundTrip(r)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Signed: response.Header.Get("X-Chestnutarch-Response-Signature") != "", Body: string(body), Err: err}
}
