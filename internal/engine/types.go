package engine

import "time"

// ItemState is the state of a model or adapter in an engine's memory.
type ItemState string

// The states of a resident item. Only a ready item serves requests, but items in
// every state occupy memory.
const (
	ItemLoading   ItemState = "loading"
	ItemReady     ItemState = "ready"
	ItemUnloading ItemState = "unloading"
)

// Item identifies weights: a base model if Adapter is empty, otherwise an adapter of
// that model.
type Item struct {
	// Model is the base model's name.
	Model string `json:"model"`
	// Adapter is empty for the base model itself.
	Adapter string `json:"adapter"`
	// Version is the version of the model, or of the adapter if there is one.
	Version string `json:"version"`
}

// Resident is an item in an engine's memory.
type Resident struct {
	Item
	// State is the state of the item.
	State ItemState `json:"state"`
}

// Load is an engine's load report. A report may arrive late: Time is when the engine
// created it, by the engine's clock, and Sequence grows with every report of an
// incarnation.
type Load struct {
	// Engine is the engine's name.
	Engine string `json:"engine"`
	// Incarnation changes each time the engine restarts with empty memory.
	Incarnation string `json:"incarnation"`
	// Sequence counts the reports of this incarnation from 1.
	Sequence int64 `json:"sequence"`
	// Time is when the report was created, by the engine's clock.
	Time time.Time `json:"time"`
	// Draining means that the engine is leaving and takes no new work.
	Draining bool `json:"draining"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Waiting is the number of requests queued in the engine.
	Waiting int `json:"waiting"`
	// KVCacheUsed and KVCacheTotal are the used and total size of the KV cache in
	// bytes.
	KVCacheUsed  int64 `json:"kv_cache_used"`
	KVCacheTotal int64 `json:"kv_cache_total"`
	// Resident lists the items in memory.
	Resident []Resident `json:"resident"`
	// MemoryUsed is the memory of all resident items in bytes.
	MemoryUsed int64 `json:"memory_used"`
}

// OrderKind is the operation that an order requests.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order requests that an engine load or unload an item, or change its role. Orders are
// idempotent by their OrderID.
type Order struct {
	// OrderID is never reused.
	OrderID string `json:"order_id"`
	// Fence is the fencing token. The token of a later leader is larger.
	Fence int64 `json:"fence"`
	// Kind is the requested operation.
	Kind OrderKind `json:"kind"`
	// Item is the item to load or unload.
	Item Item `json:"item"`
	// Memory is the item's size in bytes.
	Memory int64 `json:"memory"`
	// Role is the new role for OrderRole: "mixed", "prefill" or "decode".
	Role string `json:"role,omitempty"`
}

// OrderState is the progress of an order at an engine.
type OrderState string

// The states of an order. Every state except running is final.
const (
	OrderRunning OrderState = "running"
	OrderDone    OrderState = "done"
	OrderFailed  OrderState = "failed"
	OrderRefused OrderState = "refused"
)

// OrderStatus is an engine's answer to an order.
type OrderStatus struct {
	// OrderID is the ID of the order.
	OrderID string `json:"order_id"`
	// State is the progress of the order.
	State OrderState `json:"state"`
	// Incarnation is the engine's incarnation at the time of the answer.
	Incarnation string `json:"incarnation"`
	// Reason explains a failure or refusal.
	Reason string `json:"reason,omitempty"`
}
