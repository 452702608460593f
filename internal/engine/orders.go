package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/transport"
)

var (
	// ErrIncarnationMismatch means that the engine is not in the incarnation that the
	// order was created for. The order was not sent.
	ErrIncarnationMismatch = errors.New("engine: incarnation mismatch")
	// ErrNoAnswer means that the engine could not be reached or gave no valid answer.
	// After Send it is unknown whether the engine has received the order.
	ErrNoAnswer = errors.New("engine: no valid answer")
	// ErrUnknownOrder means that the engine has no record of the order: it has not
	// received it, or has restarted since. The order may still arrive.
	ErrUnknownOrder = errors.New("engine: unknown order")
)

// Limits of one exchange about an order.
const (
	// DefaultOrderTimeout is the default of OrderClient.Timeout.
	DefaultOrderTimeout = 2 * time.Second
	// maxOrderAnswerBytes bounds the size of an answer.
	maxOrderAnswerBytes = 4 << 20
)

// OrderClient sends orders to engines. The zero value is ready for use.
type OrderClient struct {
	// Timeout bounds one exchange. The default is DefaultOrderTimeout, 2s.
	Timeout time.Duration
	// TLS is used for engines with an https address.
	TLS transport.TLS
}

// Send sends an order to the engine at base if it is in the given incarnation.
//
// An engine loses its record of received orders when it restarts. If a paused planner
// sent an order again after the restart, the engine would execute it a second time, and
// the item would occupy memory that is accounted as free. The order is therefore sent on a
// connection on which the engine has just reported its incarnation: the connection ends
// with the engine's process, so the order reaches this incarnation or none.
//
// Errors wrap ErrIncarnationMismatch if the engine reports another incarnation, in which
// case the order was not sent, and ErrNoAnswer otherwise, in which case it may have been.
func (c *OrderClient) Send(ctx context.Context, base, incarnation string, order Order) (OrderStatus, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	conn, err := c.dialOnce(ctx, base)
	if err != nil {
		return OrderStatus{}, errors.Wrap(ErrNoAnswer, err.Error())
	}
	defer conn.close()
	var load Load
	if _, err := conn.get(ctx, base+"/v1/load", &load); err != nil {
		return OrderStatus{}, err
	}
	if load.Incarnation != incarnation {
		return OrderStatus{}, errors.Wrapf(ErrIncarnationMismatch, "order %s was not sent: the engine reports incarnation %q", order.OrderID, load.Incarnation)
	}
	body, err := json.Marshal(order)
	if err != nil {
		return OrderStatus{}, errors.Wrap(ErrNoAnswer, err.Error())
	}
	return conn.post(ctx, base+"/v1/orders", body, order.OrderID)
}

// Status requests the status of an order. Errors wrap ErrUnknownOrder or
// ErrNoAnswer.
func (c *OrderClient) Status(ctx context.Context, base, orderID string) (OrderStatus, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	conn, err := c.dialOnce(ctx, base)
	if err != nil {
		return OrderStatus{}, errors.Wrap(ErrNoAnswer, err.Error())
	}
	defer conn.close()
	var status OrderStatus
	code, err := conn.get(ctx, base+"/v1/orders/"+url.PathEscape(orderID), &status)
	if code == http.StatusNotFound {
		return OrderStatus{}, errors.Wrap(ErrUnknownOrder, orderID)
	}
	return status, err
}

// Report reads the engine's load report on a new connection. Errors wrap ErrNoAnswer.
func (c *OrderClient) Report(ctx context.Context, base string) (Load, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	conn, err := c.dialOnce(ctx, base)
	if err != nil {
		return Load{}, errors.Wrap(ErrNoAnswer, err.Error())
	}
	defer conn.close()
	var load Load
	_, err = conn.get(ctx, base+"/v1/load", &load)
	return load, err
}

func (c *OrderClient) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = DefaultOrderTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

// connection is an HTTP client that has exactly one connection. By default,
// http.Transport dials again when a kept connection turns out to be closed, which
// could deliver an order to the engine's next incarnation.
type connection struct {
	client    *http.Client
	transport *http.Transport
	conn      net.Conn
}

// errDialedTwice is the error of every dial of the transport after the first, so that it
// uses only the connection that dialOnce has opened.
var errDialedTwice = errors.New("engine: the only connection for this exchange was already used")

func (c *OrderClient) dialOnce(ctx context.Context, base string) (*connection, error) {
	target, err := url.Parse(base)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", target.Host)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var used atomic.Bool
	single := &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used.Swap(true) {
				return nil, errDialedTwice
			}
			return conn, nil
		},
	}
	if c.TLS != nil {
		single.TLSClientConfig = c.TLS()
	}
	return &connection{client: &http.Client{Transport: single}, transport: single, conn: conn}, nil
}

func (c *connection) close() {
	c.transport.CloseIdleConnections()
	_ = c.conn.Close()
}

func (c *connection) get(ctx context.Context, target string, into any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, errors.Wrap(ErrNoAnswer, err.Error())
	}
	return c.exchange(request, into)
}

func (c *connection) post(ctx context.Context, target string, body []byte, orderID string) (OrderStatus, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return OrderStatus{}, errors.Wrap(ErrNoAnswer, err.Error())
	}
	// Without GetBody, net/http cannot send the body a second time, neither to retry the
	// request nor to follow a redirect.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	var status OrderStatus
	code, err := c.exchange(request, &status)
	if err != nil && code != http.StatusConflict {
		return OrderStatus{}, err
	}
	// Status 409 is a refusal of the order. If its body states no state of the order, the
	// refusal counts as one for an old fencing number.
	if code == http.StatusConflict && status.State == "" {
		status = OrderStatus{OrderID: orderID, State: OrderRefused, Reason: "old fencing number"}
	}
	if status.OrderID != orderID {
		return OrderStatus{}, errors.Wrapf(ErrNoAnswer, "requested order %q, but the engine answered for order %q", orderID, status.OrderID)
	}
	return status, nil
}

// exchange sends a request and decodes its answer. The status code is returned
// even if the answer is an error. It is 0 if no complete answer was received.
func (c *connection) exchange(request *http.Request, into any) (int, error) {
	response, err := c.client.Do(request)
	if err != nil {
		return 0, errors.Wrap(ErrNoAnswer, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxOrderAnswerBytes))
	if err != nil {
		return 0, errors.Wrap(ErrNoAnswer, err.Error())
	}
	decodeErr := json.Unmarshal(data, into)
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, errors.Wrapf(ErrNoAnswer, "the engine answered with status %d", response.StatusCode)
	}
	if decodeErr != nil {
		return response.StatusCode, errors.Wrap(ErrNoAnswer, decodeErr.Error())
	}
	return response.StatusCode, nil
}
