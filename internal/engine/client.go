package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// The headers of the engine protocol.
const (
	headerRequestID   = "X-Request-Id"
	headerPriority    = "X-Priority"
	headerLastEventID = "Last-Event-ID"
)

const (
	// DefaultIdleLimit is the default of ClientOptions.IdleLimit.
	DefaultIdleLimit = 5 * time.Second
	// DefaultResumeLimit is the default of ClientOptions.ResumeLimit.
	DefaultResumeLimit = 2 * time.Second
	// DefaultCallTimeout is the default of ClientOptions.CallTimeout.
	DefaultCallTimeout = 2 * time.Second
	// maxErrorBody bounds how much of a failed answer is kept.
	maxErrorBody = 4 << 10
	// maxReportBytes bounds a load report.
	maxReportBytes = 1 << 20
)

// ClientOptions configures a Client. The zero value takes every default.
type ClientOptions struct {
	// Limits says how soon a silent connection is given up.
	Limits transport.Limits
	// Pool bounds the idle connections.
	Pool transport.Pool
	// TLS is used for engines with an https address.
	TLS transport.TLS
	// IdleLimit is how long a stream may bring nothing, and how long its
	// answer's header may take, before it counts as silent. The default is 5s.
	IdleLimit time.Duration
	// ResumeLimit is how long the answer's header may take when a stream is
	// resumed. It is shorter than IdleLimit, since an engine that has the stream
	// answers at once. The default is 2s.
	ResumeLimit time.Duration
	// CallTimeout bounds the short calls: load reports and cancels. The default
	// is 2s.
	CallTimeout time.Duration
}

// Client talks to model engines. It is safe for concurrent use.
type Client struct {
	rt          http.RoundTripper
	hosts       *transport.Hosts
	streams     *streams
	idleLimit   time.Duration
	resumeLimit time.Duration
	callTimeout time.Duration
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	if o.IdleLimit == 0 {
		o.IdleLimit = DefaultIdleLimit
	}
	if o.ResumeLimit == 0 {
		o.ResumeLimit = DefaultResumeLimit
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	hosts := transport.NewHosts(o.Limits, o.Pool, o.TLS)
	return &Client{
		rt:          otelhttp.NewTransport(hosts),
		hosts:       hosts,
		streams:     newStreams(),
		idleLimit:   o.IdleLimit,
		resumeLimit: o.ResumeLimit,
		callTimeout: o.CallTimeout,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.hosts.Close()
}

// Request is one completion.
type Request struct {
	// BaseURL is the engine's address, "http://IP:port".
	BaseURL string
	// Path is "/v1/chat/completions" or "/v1/completions".
	Path string
	// RequestID is unique for ever. The engine echoes it, and names the stream
	// by it.
	RequestID string
	// Priority is larger for what is to run first.
	Priority int
	// Body is the JSON body. Its "stream" field must be true.
	Body []byte
	// AfterID is the last event that is already known, of a generation that
	// another engine began. It is 0 for a new one.
	AfterID int64
}

// Complete starts a completion and returns its stream, which the caller must
// close. Errors wrap ErrNotSent, ErrBroken or ErrMismatch, or are a *StatusError.
func (c *Client) Complete(ctx context.Context, r Request) (*Stream, error) {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set(headerRequestID, r.RequestID)
	header.Set(headerPriority, strconv.Itoa(r.Priority))
	if r.AfterID > 0 {
		header.Set(headerLastEventID, strconv.FormatInt(r.AfterID, 10))
	}
	return c.open(ctx, opening{
		method: http.MethodPost, target: r.BaseURL + r.Path, header: header, body: r.Body,
		requestID: r.RequestID, afterID: r.AfterID, limit: c.idleLimit,
	})
}

// Resume returns the rest of a stream, after the event afterID, on whatever
// connection is free. Errors are those of Complete, and ErrUnknownStream.
func (c *Client) Resume(ctx context.Context, baseURL, requestID string, afterID int64) (*Stream, error) {
	header := http.Header{}
	header.Set("Accept", "text/event-stream")
	header.Set(headerRequestID, requestID)
	header.Set(headerLastEventID, strconv.FormatInt(afterID, 10))
	s, err := c.open(ctx, opening{
		method: http.MethodGet, target: streamURL(baseURL, requestID), header: header,
		requestID: requestID, afterID: afterID, limit: c.resumeLimit,
	})
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, errors.Wrap(ErrUnknownStream, requestID)
	}
	return s, err
}

// Cancel stops a stream's generation. It returns ErrUnknownStream if the engine
// knows of none.
func (c *Client) Cancel(ctx context.Context, baseURL, requestID string) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	header := http.Header{headerRequestID: {requestID}}
	resp, x, err := c.exchange(ctx, http.MethodPost, streamURL(baseURL, requestID)+"/cancel", header, nil)
	if err != nil {
		return err
	}
	defer x.end(resp)
	if resp.StatusCode == http.StatusNotFound {
		return errors.Wrap(ErrUnknownStream, requestID)
	}
	if resp.StatusCode/100 != 2 {
		return statusError(resp)
	}
	return nil
}

// Load reads an engine's load report.
func (c *Client) Load(ctx context.Context, baseURL string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	resp, x, err := c.exchange(ctx, http.MethodGet, baseURL+"/v1/load", http.Header{}, nil)
	if err != nil {
		return Load{}, err
	}
	defer x.end(resp)
	if resp.StatusCode != http.StatusOK {
		return Load{}, statusError(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return Load{}, broken(err)
	}
	var load Load
	if err := json.Unmarshal(body, &load); err != nil {
		return Load{}, broken(err)
	}
	return load, nil
}

func streamURL(baseURL, requestID string) string {
	return baseURL + "/v1/streams/" + url.PathEscape(requestID)
}

func broken(err error) error {
	return errors.Wrap(ErrBroken, err.Error())
}

func statusError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	return &StatusError{Status: resp.StatusCode, Body: body}
}

// exchange is one request with the connection that it went out on.
type exchange struct {
	mu   sync.Mutex
	conn net.Conn
}

// gotConn is called when a connection is given to the request. Before that no
// byte of the request can have been written.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = info.Conn
}

func (x *exchange) sent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conn != nil
}

// abandon closes the connection. An exchange that was given up may still be
// answered; on a connection that goes back to the pool, that late answer would
// be read as the answer to the next request.
func (x *exchange) abandon() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// end finishes a short exchange. What is left of a small body is read, so that
// the connection can be used again.
func (x *exchange) end(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBody)
	_ = resp.Body.Close()
}

// exchange sends a request and returns the answer's header. The headers given
// are all that the engine sees, besides the trace context: nothing of what a
// caller sent passes by itself.
func (c *Client) exchange(ctx context.Context, method, target string, header http.Header, body []byte) (*http.Response, *exchange, error) {
	x := &exchange{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, nil, errors.Wrap(ErrNotSent, err.Error())
	}
	req.Header = header
	resp, err := c.rt.RoundTrip(req)
	if err != nil && !x.sent() {
		return nil, nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if err != nil {
		return nil, nil, broken(err)
	}
	return resp, x, nil
}
