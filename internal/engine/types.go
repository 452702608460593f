package engine

import "time"

// ItemState is the state of a model or adapter in an engine's memory.
type ItemState string

// The states of a resident item. Only a ready item serves requests, but each
// of them occupies memory.
const (
	ItemLoading   ItemState = "loading"
	ItemReady     ItemState = "ready"
	ItemUnloading ItemState = "unloading"
)

// Item names weights: a base model if Adapter is empty, else an adapter on it.
type Item struct {
	// Model is the base model's name.
	Model string `json:"model"`
	// Adapter is empty for the base model itself.
	Adapter string `json:"adapter"`
	// Version is the version of the item that is named.
	Version string `json:"version"`
}

// Resident is an item in an engine's memory.
type Resident struct {
	Item
	// State says whether it can serve.
	State ItemState `json:"state"`
}

// Load is an engine's load report. Reports lag: Time is when the engine made
// it by its own clock, and Sequence grows with every report of an incarnation.
type Load struct {
	// Engine is the engine's name.
	Engine string `json:"engine"`
	// Incarnation changes whenever the engine restarts with empty memory.
	Incarnation string `json:"incarnation"`
	// Sequence counts the reports of this incarnation from 1.
	Sequence int64 `json:"sequence"`
	// Time is the engine's time of the report.
	Time time.Time `json:"time"`
	// Draining means that the engine is leaving and takes no new work.
	Draining bool `json:"draining"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Waiting is the number of requests queued in the engine.
	Waiting int `json:"waiting"`
	// KVCacheUsed and KVCacheTotal are in bytes.
	KVCacheUsed  int64 `json:"kv_cache_used"`
	KVCacheTotal int64 `json:"kv_cache_total"`
	// Resident lists the items in memory.
	Resident []Resident `json:"resident"`
	// MemoryUsed is the memory of all resident items in bytes.
	MemoryUsed int64 `json:"memory_used"`
}

// OrderKind says what an order asks for.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order asks an engine to change what it holds or does. Repeating an order
// with the same OrderID is idempotent.
type Order struct {
	// OrderID is unique for ever.
	OrderID string `json:"order_id"`
	// Fence is the fencing number; a later leader's is larger.
	Fence int64 `json:"fence"`
	// Kind says what is asked for.
	Kind OrderKind `json:"kind"`
	// Item is what to load or unload.
	Item Item `json:"item"`
	// Memory is the item's size in bytes.
	Memory int64 `json:"memory"`
	// Role is the new role, with OrderRole: "mixed", "prefill" or "decode".
	Role string `json:"role,omitempty"`
}

// OrderState is how far an engine has got with an order.
type OrderState string

// The states of an order. Every state but running is definite.
const (
	OrderRunning OrderState = "running"
	OrderDone    OrderState = "done"
	OrderFailed  OrderState = "failed"
	OrderRefused OrderState = "refused"
)

// OrderStatus is an engine's answer to an order.
type OrderStatus struct {
	// OrderID is the order's.
	OrderID string `json:"order_id"`
	// State is how far the engine has got.
	State OrderState `json:"state"`
	// Incarnation is the engine's at the time of the answer.
	Incarnation string `json:"incarnation"`
	// Reason explains a failure or refusal.
	Reason string `json:"reason,omitempty"`
}
