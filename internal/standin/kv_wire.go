package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// int64String is a 64-bit number of the gateway's JSON: encoded as a string,
// decoded from a string or a number.
type int64String int64

// MarshalJSON encodes the number as a string.
func (n int64String) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(strconv.FormatInt(int64(n), 10))), nil
}

// UnmarshalJSON decodes a string or a number.
func (n *int64String) UnmarshalJSON(data []byte) error {
	text := string(data)
	if unquoted, err := strconv.Unquote(text); err == nil {
		text = unquoted
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return &json.UnmarshalTypeError{Value: text}
	}
	*n = int64String(v)
	return nil
}

type kvHeader struct {
	ClusterID int64String `json:"cluster_id"`
	MemberID  int64String `json:"member_id"`
	Revision  int64String `json:"revision"`
	RaftTerm  int64String `json:"raft_term"`
}

type kvPair struct {
	Key            []byte      `json:"key"`
	CreateRevision int64String `json:"create_revision,omitempty"`
	ModRevision    int64String `json:"mod_revision,omitempty"`
	Version        int64String `json:"version,omitempty"`
	Value          []byte      `json:"value,omitempty"`
	Lease          int64String `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key          []byte `json:"key"`
	Serializable bool   `json:"serializable"`
	KeysOnly     bool   `json:"keys_only"`
}

type rangeResponse struct {
	Header *kvHeader   `json:"header,omitempty"`
	Kvs    []kvPair    `json:"kvs,omitempty"`
	Count  int64String `json:"count,omitempty"`
}

type compare struct {
	Result         string       `json:"result"`
	Target         string       `json:"target"`
	Key            []byte       `json:"key"`
	Version        *int64String `json:"version"`
	CreateRevision *int64String `json:"create_revision"`
	ModRevision    *int64String `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease int64String `json:"lease"`
}

type requestOp struct {
	RequestRange *rangeRequest `json:"request_range"`
	RequestPut   *putRequest   `json:"request_put"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type putResponse struct {
	Header kvHeader `json:"header"`
}

type responseOp struct {
	ResponseRange *rangeResponse `json:"response_range,omitempty"`
	ResponsePut   *putResponse   `json:"response_put,omitempty"`
}

type txnResponse struct {
	Header    kvHeader     `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []responseOp `json:"responses,omitempty"`
}

type leaseRequest struct {
	ID  int64String `json:"ID"`
	TTL int64String `json:"TTL"`
}

type leaseResponse struct {
	Header kvHeader    `json:"header"`
	ID     int64String `json:"ID,omitempty"`
	TTL    int64String `json:"TTL,omitempty"`
}

type watchRequest struct {
	CreateRequest *struct {
		Key            []byte      `json:"key"`
		StartRevision  int64String `json:"start_revision"`
		ProgressNotify bool        `json:"progress_notify"`
	} `json:"create_request"`
}

type watchEvent struct {
	Type string `json:"type,omitempty"`
	Kv   kvPair `json:"kv"`
}

type watchResponse struct {
	Header          kvHeader     `json:"header"`
	WatchID         int64String  `json:"watch_id,omitempty"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64String  `json:"compact_revision,omitempty"`
	Events          []watchEvent `json:"events,omitempty"`
}

// streamItem is one line of a streamed answer of the gateway.
type streamItem struct {
	Result any `json:"result"`
}

// gatewayError is an error of the gateway: a gRPC code and its message, sent
// with the HTTP status that the gateway maps the code to.
type gatewayError struct {
	status  int
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func newGatewayError(status, code int, message string) *gatewayError {
	return &gatewayError{status: status, Error: message, Code: code, Message: message}
}

// The errors that the stand-in answers with. The second argument is the gRPC
// code.
var (
	errInvalid         = newGatewayError(http.StatusBadRequest, 3, "etcdserver: request is not offered by this service")
	errTooLarge        = newGatewayError(http.StatusBadRequest, 3, "etcdserver: request is too large")
	errLeaseNotFound   = newGatewayError(http.StatusNotFound, 5, "etcdserver: requested lease not found")
	errTooManyRequests = newGatewayError(http.StatusTooManyRequests, 8, "etcdserver: too many requests")
	errUnavailable     = newGatewayError(http.StatusServiceUnavailable, 14, "etcdserver: no leader")
)

func (e *gatewayError) write(w http.ResponseWriter) { writeJSON(w, e.status, e) }
