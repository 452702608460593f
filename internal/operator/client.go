package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
)

// Client calls the operators' API of one VM.
type Client struct {
	// Server is the base address, "http://IP:port" or "https://IP:port".
	Server string
	// Key is the operator's key, empty with a client certificate.
	Key string
	// HTTP makes the calls.
	HTTP *http.Client
}

// Config returns the accepted configuration.
func (c *Client) Config(ctx context.Context) (*Config, error) {
	return get[*Config](ctx, c, pathConfig)
}

// Apply submits a document as a change.
func (c *Client) Apply(ctx context.Context, request *ApplyRequest) (*ChangeAnswer, error) {
	return post[*ChangeAnswer](ctx, c, pathConfig, request)
}

// History returns up to limit accepted versions without their documents, newest
// first.
func (c *Client) History(ctx context.Context, limit int) ([]*Config, error) {
	return get[[]*Config](ctx, c, pathHistory+"?limit="+strconv.Itoa(limit))
}

// Version returns one accepted version.
func (c *Client) Version(ctx context.Context, version int64) (*Config, error) {
	return get[*Config](ctx, c, pathHistory+"/"+strconv.FormatInt(version, 10))
}

// Change returns the outcome of a change that was sent earlier.
func (c *Client) Change(ctx context.Context, change ChangeRequest) (*ChangeAnswer, error) {
	query := url.Values{"nonce": {change.Nonce}, "base_version": {strconv.FormatInt(change.BaseVersion, 10)}}
	return get[*ChangeAnswer](ctx, c, pathChanges+"/"+url.PathEscape(change.ChangeID)+"?"+query.Encode())
}

// InForce returns what the VM has in force.
func (c *Client) InForce(ctx context.Context) (*InForce, error) {
	return get[*InForce](ctx, c, pathInForce)
}

// Withdraw withdraws keys.
func (c *Client) Withdraw(ctx context.Context, request *WithdrawRequest) (*WithdrawAnswer, error) {
	return post[*WithdrawAnswer](ctx, c, pathWithdrawals, request)
}

// Proof returns the document in force at the VM with that VM's evidence.
func (c *Client) Proof(ctx context.Context) (*Proof, error) {
	return get[*Proof](ctx, c, pathProof)
}

// Promote submits a release with its evidence from another environment.
func (c *Client) Promote(ctx context.Context, request *PromoteRequest) (*ChangeAnswer, error) {
	return post[*ChangeAnswer](ctx, c, pathPromotions, request)
}

// Status returns the state of the environment as seen by the VM.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	return get[*Status](ctx, c, pathStatus)
}

// Plan returns the planner's current plan.
func (c *Client) Plan(ctx context.Context) (*Plan, error) {
	return get[*Plan](ctx, c, pathPlan)
}

// Drain takes an upstream or the VM out of service, or back into service.
func (c *Client) Drain(ctx context.Context, request *DrainRequest) (*DrainAnswer, error) {
	return post[*DrainAnswer](ctx, c, pathDrain, request)
}

// ExplainRoute returns where a request would go now, as a VM of the platform sees it. It changes nothing.
func (c *Client) ExplainRoute(ctx context.Context, question *RouteQuestion) (*RouteExplanation, error) {
	return ask[*RouteExplanation](ctx, c, PathExplainRoute, question)
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var answer T
	err := c.do(ctx, http.MethodGet, path, nil, false, &answer)
	return answer, err
}

// post makes a call that may change something.
func post[T any](ctx context.Context, c *Client, path string, request any) (T, error) {
	return send[T](ctx, c, path, request, true)
}

// ask makes a call that changes nothing and has too many parameters for a query.
func ask[T any](ctx context.Context, c *Client, path string, request any) (T, error) {
	return send[T](ctx, c, path, request, false)
}

func send[T any](ctx context.Context, c *Client, path string, request any, change bool) (T, error) {
	var answer T
	body, err := json.Marshal(request)
	if err != nil {
		return answer, &TransportError{Server: c.Server, Cause: err}
	}
	err = c.do(ctx, http.MethodPost, path, body, change, &answer)
	return answer, err
}

// do makes one call. If a change may have reached the VM but got no usable
// answer, the error says that its outcome is unknown, not that it failed.
func (c *Client) do(ctx context.Context, method, path string, body []byte, change bool, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.Server+path, bytes.NewReader(body))
	if err != nil {
		return &TransportError{Server: c.Server, Cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return &TransportError{Server: c.Server, Cause: err, MayHaveChanged: change && !neverConnected(err)}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxRequestBytes))
	if err != nil {
		return &TransportError{Server: c.Server, Cause: err, MayHaveChanged: change}
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, answer); err != nil {
			return &TransportError{Server: c.Server, Cause: err, MayHaveChanged: change}
		}
		return nil
	}
	var failure errorBody
	if json.Unmarshal(data, &failure) == nil && failure.Error != nil {
		return failure.Error
	}
	return &TransportError{Server: c.Server, Cause: statusError(response.StatusCode), MayHaveChanged: change && response.StatusCode >= http.StatusInternalServerError}
}

// statusError is an unexpected HTTP status without an error of the API.
type statusError int

// Error returns the status code as text.
func (e statusError) Error() string { return "status " + strconv.Itoa(int(e)) }

func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
