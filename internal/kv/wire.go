package kv

// The messages of the etcd v3 JSON gateway that this client uses. Byte fields
// are base64-encoded and 64-bit numbers are strings. Source: the etcd API
// reference, rpc.proto and kv.proto.

type wireHeader struct {
	Revision int64 `json:"revision,string"`
}

type wireKeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

type rangeResponse struct {
	KVs []wireKeyValue `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte  `json:"key"`
	Value []byte  `json:"value"`
	Lease LeaseID `json:"lease,string"`
}

type requestOp struct {
	RequestPut   *putRequest   `json:"request_put,omitempty"`
	RequestRange *rangeRequest `json:"request_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type responseOp struct {
	ResponseRange *rangeResponse `json:"response_range,omitempty"`
}

type txnResponse struct {
	Header    *wireHeader  `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []responseOp `json:"responses"`
}

type leaseGrantRequest struct {
	TTL int64   `json:"TTL,string"`
	ID  LeaseID `json:"ID,string"`
}

type leaseGrantResponse struct {
	ID LeaseID `json:"ID,string"`
}

type leaseRequest struct {
	ID LeaseID `json:"ID,string"`
}

type keepAliveResponse struct {
	Result struct {
		TTL int64 `json:"TTL,string"`
	} `json:"result"`
}

type watchRequest struct {
	CreateRequest watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchResponse struct {
	Result struct {
		Created  bool        `json:"created"`
		Canceled bool        `json:"canceled"`
		Events   []wireEvent `json:"events"`
	} `json:"result"`
}

type wireEvent struct {
	Type string       `json:"type"`
	KV   wireKeyValue `json:"kv"`
}

type wireError struct {
	Message string `json:"message"`
	Error   string `json:"error"`
	Code    int    `json:"code"`
}
