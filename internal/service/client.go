package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/transport"
)

const headerRequestID = "X-Request-Id"

const (
	// MaxAnswerBytes bounds the size of an answer's body.
	MaxAnswerBytes = 4 << 20
	// DefaultTimeout is the default of Call.Timeout.
	DefaultTimeout = 30 * time.Second
)

// requestHeaders are the headers that are forwarded from a caller to a service. All
// others are dropped, because any of them could contain a key. Idempotency-Key is not
// forwarded because net/http treats it as permission to resend the request.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type", "If-Match", "If-None-Match",
}

// responseHeaders are the headers that are forwarded from a service to a caller.
var responseHeaders = []string{
	"Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Type", "Etag", "Last-Modified", "Location", "Retry-After", "Vary",
}

// ClientOptions configures a Client. The zero value takes every default.
type ClientOptions struct {
	// Limits bounds how long a connection may be silent before it is closed.
	Limits transport.Limits
	// Pool bounds the idle connections that are kept for calls that may be repeated.
	Pool transport.Pool
	// TLS is used for services with an https address.
	TLS transport.TLS
}

// Client calls plain HTTP services. It is safe for concurrent use.
type Client struct {
	singleUse http.RoundTripper
	pooled    http.RoundTripper
	pool      *http.Transport
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	pool := transport.New(o.Limits, o.Pool, o.TLS)
	return &Client{
		singleUse: otelhttp.NewTransport(transport.NewSingleUse(o.Limits, o.TLS)),
		pooled:    otelhttp.NewTransport(pool),
		pool:      pool,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pool.CloseIdleConnections()
}

// Call is one call of a service.
type Call struct {
	// BaseURL is the replica's address, "http://IP:port".
	BaseURL string
	// Method is the HTTP method.
	Method string
	// Path is the path at the service.
	Path string
	// RawQuery is the query without its question mark.
	RawQuery string
	// Header is the caller's header. Only the fields in requestHeaders are forwarded.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// RequestID is never reused. The service must echo it.
	RequestID string
	// Repeat determines whether the call may be sent more than once.
	Repeat document.Repeat
	// Timeout bounds the call. The default is 30s.
	Timeout time.Duration
}

// Answer is a complete answer.
type Answer struct {
	// Status is the HTTP status code, of any class.
	Status int
	// Header holds the fields that may be forwarded to the caller.
	Header http.Header
	// Body is the complete body.
	Body []byte
}

// Call sends a call to one replica and returns the complete answer. A call that may not
// be repeated is sent at most once. Errors are *CallError.
func (c *Client) Call(ctx context.Context, call Call) (*Answer, error) {
	if call.Timeout == 0 {
		call.Timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := newRequest(ctx, call)
	if err != nil {
		return nil, &CallError{Outcome: NotRun, Cause: err}
	}
	resp, err := c.transport(call.Repeat).RoundTrip(req)
	if err != nil && !sent.Load() {
		return nil, &CallError{Outcome: NotRun, Cause: err}
	}
	if err != nil {
		return nil, &CallError{Outcome: Unknown, Cause: err}
	}
	defer resp.Body.Close()
	return readAnswer(resp, call.RequestID)
}

// transport returns the transport for a call. A call that is not known to be safe to
// repeat is sent on a new connection of its own.
func (c *Client) transport(r document.Repeat) http.RoundTripper {
	if r == document.RepeatSafe {
		return c.pooled
	}
	return c.singleUse
}

// singleReadBody hides the type of the body's reader. http.NewRequest recognises the
// standard readers and sets GetBody for them, and with GetBody the transport may send
// the body a second time.
type singleReadBody struct {
	io.Reader
}

// Close does nothing: the body is in memory.
func (singleReadBody) Close() error { return nil }

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, call.BaseURL+call.Path, nil)
	if err != nil {
		return nil, err
	}
	req.URL.RawQuery = call.RawQuery
	for _, name := range requestHeaders {
		if values := call.Header.Values(name); len(values) > 0 {
			req.Header[name] = values
		}
	}
	req.Header.Set(headerRequestID, call.RequestID)
	if len(call.Body) > 0 {
		req.Body = singleReadBody{bytes.NewReader(call.Body)}
		req.ContentLength = int64(len(call.Body))
	}
	return req, nil
}

func readAnswer(resp *http.Response, requestID string) (*Answer, error) {
	if resp.Header.Get(headerRequestID) != requestID {
		return nil, &CallError{Outcome: Unknown, Cause: errors.WithStack(ErrMismatch)}
	}
	if !transport.IsStatus(resp.StatusCode) {
		return nil, &CallError{Outcome: Unknown, Cause: errors.Wrapf(ErrStatus, "%q", resp.Status)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, &CallError{Outcome: Unknown, Cause: err}
	}
	if len(body) > MaxAnswerBytes {
		return nil, &CallError{Outcome: Unknown, Cause: errors.WithStack(ErrAnswerTooLarge)}
	}
	header := http.Header{}
	for _, name := range responseHeaders {
		if values := resp.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	return &Answer{Status: resp.StatusCode, Header: header, Body: body}, nil
}
