package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// Options configures a client of the etcd v3 JSON gateway.
type Options struct {
	// URLs are the service's base addresses, "http://IP:port" or
	// "https://IP:port". At least one is needed. They name one service.
	URLs []string
	// Client makes the calls. Its transport carries the TLS settings. Its
	// Timeout must be zero, since a watch has no end. The default is a client
	// with its own transport.
	Client *http.Client
	// CallTimeout bounds how long every call but a watch waits without receiving a
	// byte, both for the start of the answer and within it. The default is 2s.
	CallTimeout time.Duration
	// Budget bounds the calls of this process.
	Budget Budget
	// Metrics receives the counters kv.calls.KIND. The default is a new registry
	// that only this client uses.
	Metrics metrics.Registry
}

// DefaultCallTimeout is the default of Options.CallTimeout.
const DefaultCallTimeout = 2 * time.Second

// maxAnswerBytes bounds the bytes that are read of one answer: a base64-encoded
// value and the message around it.
const maxAnswerBytes = 2*MaxValueBytes + 1<<16

// dialTimeout bounds connecting to the service, whose latency is some milliseconds.
const dialTimeout = time.Second

// maxErrorText is how many bytes of the service's error text are kept.
const maxErrorText = 200

// HTTP is a Store over the etcd v3 JSON gateway.
type HTTP struct {
	urls      []string
	preferred atomic.Int64
	client    *http.Client
	timeout   time.Duration
	budget    *budget
	metrics   metrics.Registry
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a client without making a call. It returns ErrOptions if there
// is no URL, or if one of them is invalid.
func NewHTTP(o Options) (*HTTP, error) {
	if len(o.URLs) == 0 {
		return nil, errors.Wrap(ErrOptions, "no URL given, at least one is required")
	}
	for _, raw := range o.URLs {
		u, err := url.Parse(raw)
		if err != nil || u.Host == "" {
			return nil, errors.Wrapf(ErrOptions, "invalid URL %q", raw)
		}
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Client == nil {
		o.Client = &http.Client{Transport: transport.New(transport.Limits{Connect: dialTimeout}, transport.Pool{}, nil)}
	}
	client := *o.Client
	// Following a redirect would send a write a second time, to an address that
	// is not configured.
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &HTTP{
		urls:    o.URLs,
		client:  &client,
		timeout: o.CallTimeout,
		budget:  newBudget(o.Budget),
		metrics: o.Metrics,
	}, nil
}

// call is a kind of call, as the platform counts them, with its path.
type call struct {
	kind string
	path string
}

var (
	callGet       = call{kind: "get", path: "/v3/kv/range"}
	callRevision  = call{kind: "revision", path: "/v3/kv/range"}
	callCAS       = call{kind: "cas", path: "/v3/kv/txn"}
	callGrant     = call{kind: "grant", path: "/v3/lease/grant"}
	callKeepAlive = call{kind: "keepalive", path: "/v3/lease/keepalive"}
	callRevoke    = call{kind: "revoke", path: "/v3/lease/revoke"}
	callWatch     = call{kind: "watch", path: "/v3/watch"}
)

// notSentError wraps a failure that occurred before any byte of the request
// could reach the service.
type notSentError struct{ cause error }

// Error returns the text of the cause with a prefix.
func (e *notSentError) Error() string { return "kv: not sent: " + e.cause.Error() }

// Unwrap returns ErrUnavailable.
func (e *notSentError) Unwrap() error { return ErrUnavailable }

// lostAnswerError wraps a failure after which the service may have executed the
// request.
type lostAnswerError struct{ cause error }

// Error returns the text of the cause with a prefix.
func (e *lostAnswerError) Error() string { return "kv: no answer: " + e.cause.Error() }

// Unwrap returns ErrUnavailable.
func (e *lostAnswerError) Unwrap() error { return ErrUnavailable }

// do makes one call and decodes its answer. The timeout bounds the time without received
// bytes, so a large value may take longer as long as it keeps arriving.
func (h *HTTP) do(ctx context.Context, c call, request, answer any) error {
	ctx, idle := transport.WithIdleTimeout(ctx, h.timeout, h.timeout)
	defer idle.Stop()
	response, err := h.send(ctx, c, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	idle.Received()
	body, err := io.ReadAll(idle.Reader(io.LimitReader(response.Body, maxAnswerBytes)))
	if err != nil {
		h.handleLostAnswer()
		return &lostAnswerError{cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return statusError(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return &lostAnswerError{cause: err}
	}
	return nil
}

// send makes one call at the first address that accepts a connection, starting
// with the preferred one. It never resends a request of which a byte may have
// been sent.
func (h *HTTP) send(ctx context.Context, c call, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &notSentError{cause: err}
	}
	first := h.preferred.Load()
	var lastErr error
	for i := range int64(len(h.urls)) {
		index := (first + i) % int64(len(h.urls))
		if err := h.budget.wait(ctx, PriorityOf(ctx)); err != nil {
			return nil, err
		}
		metrics.GetOrRegisterCounter("kv.calls."+c.kind, h.metrics).Inc(1)
		response, err := h.post(ctx, h.urls[index]+c.path, body)
		if err == nil {
			h.preferred.Store(index)
			return response, nil
		}
		lastErr = err
		var unsent *notSentError
		if !errors.As(err, &unsent) {
			h.preferred.Store((index + 1) % int64(len(h.urls)))
			return nil, err
		}
	}
	return nil, lastErr
}

func (h *HTTP) post(ctx context.Context, address string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return nil, &notSentError{cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if err == nil {
		return response, nil
	}
	if isDialError(err) {
		return nil, &notSentError{cause: err}
	}
	h.handleLostAnswer()
	return nil, &lostAnswerError{cause: err}
}

// handleLostAnswer counts a lost answer and closes the idle connections. A fault
// on the path that breaks one connection often breaks the others too, and each
// of them would cost a call its whole timeout.
func (h *HTTP) handleLostAnswer() {
	metrics.GetOrRegisterCounter("kv.lost_answers", h.metrics).Inc(1)
	h.client.CloseIdleConnections()
}

// isDialError reports whether connecting failed, in which case the service
// cannot have read anything.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func statusError(status int, body []byte) error {
	var w wireError
	text := strings.TrimSpace(string(body))
	if json.Unmarshal(body, &w) == nil && w.Message != "" {
		text = w.Message
	}
	if len(text) > maxErrorText {
		text = text[:maxErrorText]
	}
	return &StatusError{Status: status, Message: text}
}
