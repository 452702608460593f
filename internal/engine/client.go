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
	// maxErrorBody bounds how many bytes of an error answer's body are kept.
	maxErrorBody = 4 << 10
	// maxReportBytes bounds the size of a load report.
	maxReportBytes = 1 << 20
)

// ClientOptions configures a Client. The zero value takes every default.
type ClientOptions struct {
	// Limits bounds how long a connection may be silent before it is closed.
	Limits transport.Limits
	// Pool bounds the idle connections.
	Pool transport.Pool
	// TLS is used for engines with an https address.
	TLS transport.TLS
	// IdleLimit is the idle timeout of a stream: how long it may deliver no event,
	// and how long the header of the answer may take. The default is 5s.
	IdleLimit time.Duration
	// ResumeLimit is how long the header of the answer may take when a stream is
	// resumed. Its default is shorter than that of IdleLimit because an engine that
	// has the stream answers at once. The default is 2s.
	ResumeLimit time.Duration
	// CallTimeout bounds the calls other than streams: load reports and
	// cancellations. The default is 2s.
	CallTimeout time.Duration
}

// Client talks to model engines. It is safe for concurrent use.
type Client struct {
	rt          http.RoundTripper
	hosts       *transport.PerHostTransport
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
	hosts := transport.NewPerHostTransport(o.Limits, o.Pool, o.TLS)
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
	// RequestID is never reused. The engine echoes it and uses it as the ID of the
	// stream.
	RequestID string
	// Priority is higher for requests that are to run first.
	Priority int
	// Body is the JSON body. Its "stream" field must be true.
	Body []byte
	// AfterID is the ID of the last event already received, if another engine has
	// started the generation. It is 0 for a new generation.
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
	return c.open(ctx, openRequest{
		method: http.MethodPost, target: r.BaseURL + r.Path, header: header, body: r.Body,
		requestID: r.RequestID, afterID: r.AfterID, headerTimeout: c.idleLimit,
	})
}

// Resume returns the rest of a stream, after the event afterID, over any idle or new
// connection. Errors are those of Complete, and ErrUnknownStream.
func (c *Client) Resume(ctx context.Context, baseURL, requestID string, afterID int64) (*Stream, error) {
	header := http.Header{}
	header.Set("Accept", "text/event-stream")
	header.Set(headerRequestID, requestID)
	header.Set(headerLastEventID, strconv.FormatInt(afterID, 10))
	s, err := c.open(ctx, openRequest{
		method: http.MethodGet, target: streamURL(baseURL, requestID), header: header,
		requestID: requestID, afterID: afterID, headerTimeout: c.resumeLimit,
	})
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, errors.Wrap(ErrUnknownStream, requestID)
	}
	return s, err
}

// Cancel stops the generation of a stream. The error wraps ErrUnknownStream if the
// engine has no such stream.
func (c *Client) Cancel(ctx context.Context, baseURL, requestID string) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	header := http.Header{headerRequestID: {requestID}}
	resp, x, err := c.exchange(ctx, http.MethodPost, streamURL(baseURL, requestID)+"/cancel", header, nil)
	if err != nil {
		return err
	}
	defer x.drain(resp)
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
	defer x.drain(resp)
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

// exchange is one request with the connection that it was sent on.
type exchange struct {
	mu   sync.Mutex
	conn net.Conn
}

// gotConn is called when the request is assigned a connection. Before that, no byte of
// the request can have been written.
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

// abandon closes the connection. An abandoned exchange may still be answered; if its
// connection were returned to the pool, the late answer would be read as the answer to
// the next request.
func (x *exchange) abandon() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// drain ends an exchange. It reads the rest of a small body, so that the connection can
// be reused.
func (x *exchange) drain(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBody)
	_ = resp.Body.Close()
}

// exchange sends a request and returns the answer with its body unread. The engine
// receives only the given headers and the trace context; no header of a caller is
// forwarded implicitly.
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
