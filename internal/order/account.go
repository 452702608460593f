package order

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

var (
	// ErrNoRoom means that an item does not fit into the engine's memory together
	// with everything that the engine could hold.
	ErrNoRoom = errors.New("order: item does not fit into the engine's memory beside everything that the engine could hold")
	// ErrBusy means that an order for the item has no definite answer yet, that the
	// item of a load order already has an entry, or that the item of an unload order
	// has none.
	ErrBusy = errors.New("order: an order for the item is unsettled")
	// ErrCorrupt means that a stored record cannot be decoded.
	ErrCorrupt = errors.New("order: corrupt record")
)

// Account is the memory account of one engine, as stored in the key-value service. An
// Account is immutable: its methods return changed copies.
type Account struct {
	// Engine is the engine's name.
	Engine string `json:"engine"`
	// Incarnation is the incarnation of the engine that the entries describe.
	Incarnation string `json:"incarnation"`
	// Fence is the fencing token of the leader that last wrote the record.
	Fence int64 `json:"fence"`
	// Nonce is unique to each write, so that a writer that did not receive the
	// outcome can recognise its own write.
	Nonce string `json:"nonce"`
	// Entries lists every item that the engine could hold.
	Entries []Entry `json:"entries"`
}

// Entry is an item that the engine could hold.
type Entry struct {
	// Item is what the engine could hold.
	Item placement.Item `json:"item"`
	// Memory is the item's memory in bytes.
	Memory int64 `json:"memory"`
	// Load is the ID of a load order without a definite answer, or empty.
	Load string `json:"load,omitempty"`
	// Unload is the ID of an unload order without a definite answer, or empty.
	Unload string `json:"unload,omitempty"`
}

// Settled reports whether every order for the item has a definite answer.
func (e Entry) Settled() bool {
	return e.Load == "" && e.Unload == ""
}

// Used returns the memory of everything that the engine could hold, in bytes.
func (a Account) Used() int64 {
	var used int64
	for _, e := range a.Entries {
		used += e.Memory
	}
	return used
}

// Find returns the index of an item's entry, or -1.
func (a Account) Find(item placement.Item) int {
	return slices.IndexFunc(a.Entries, func(e Entry) bool { return e.Item == item })
}

// WithLoad adds an item with an unsettled load order. It returns ErrBusy if the item
// already has an entry, and ErrNoRoom if all entries together would exceed capacity
// bytes.
func (a Account) WithLoad(item placement.Item, memory, capacity int64, orderID string) (Account, error) {
	if a.Find(item) >= 0 {
		return a, errors.WithStack(ErrBusy)
	}
	if a.Used()+memory > capacity {
		return a, errors.WithStack(ErrNoRoom)
	}
	a.Entries = append(slices.Clone(a.Entries), Entry{Item: item, Memory: memory, Load: orderID})
	return a, nil
}

// WithUnload records an unload order for an item. It returns ErrBusy if the item has no
// entry or an order for it is unsettled: a load order could arrive after the unload was
// confirmed, and occupy memory that is counted as free.
func (a Account) WithUnload(item placement.Item, orderID string) (Account, error) {
	at := a.Find(item)
	if at < 0 || !a.Entries[at].Settled() {
		return a, errors.WithStack(ErrBusy)
	}
	a.Entries = slices.Clone(a.Entries)
	a.Entries[at].Unload = orderID
	return a, nil
}

// Answer is an engine's answer to an order.
type Answer int

// The answers to an order. All but Running are definite.
const (
	Running Answer = iota
	Done
	Failed
	Refused
)

// Settle applies a definite answer from the account's incarnation. A failed load
// occupies no memory; after a failed unload the item is still held. Refused counts as
// Failed. Running, or an order that no entry has, changes nothing.
func (a Account) Settle(orderID string, answer Answer) Account {
	at := slices.IndexFunc(a.Entries, func(e Entry) bool { return e.Load == orderID || e.Unload == orderID })
	if at < 0 || answer == Running {
		return a
	}
	a.Entries = slices.Clone(a.Entries)
	isLoad := a.Entries[at].Load == orderID
	switch {
	case isLoad && answer == Done:
		a.Entries[at].Load = ""
	case isLoad != (answer == Done):
		// A load that failed or an unload that is done: the engine does not hold the
		// item.
		a.Entries = slices.Delete(a.Entries, at, at+1)
	default:
		a.Entries[at].Unload = ""
	}
	return a
}

// Reset starts the account of a new incarnation with the items that the engine holds
// after its start. Entries whose orders have no definite answer are kept: such an order
// is repeated to the new incarnation under the same ID, so that a delayed duplicate of
// it finds the ID already answered.
func (a Account) Reset(incarnation string, resident []Entry) Account {
	entries := slices.Clone(resident)
	for _, e := range a.Entries {
		if e.Settled() {
			continue
		}
		at := slices.IndexFunc(entries, func(r Entry) bool { return r.Item == e.Item })
		if at >= 0 {
			entries[at] = e
			continue
		}
		entries = append(entries, e)
	}
	a.Incarnation = incarnation
	a.Entries = entries
	return a
}

// Encode returns the stored form, as JSON.
func (a Account) Encode() []byte {
	// A struct of strings and integers always marshals.
	data, _ := json.Marshal(a)
	return data
}

// DecodeAccount decodes the stored form. Errors wrap ErrCorrupt.
func DecodeAccount(data []byte) (Account, error) {
	var a Account
	if err := json.Unmarshal(data, &a); err != nil {
		return Account{}, errors.Wrap(ErrCorrupt, err.Error())
	}
	return a, nil
}

// Index lists every engine that has an account. The key-value service has no reads by
// prefix, so a new leader needs the index to find the accounts of engines that its own
// document does not list.
type Index struct {
	Fence   int64    `json:"fence"`
	Nonce   string   `json:"nonce"`
	Engines []string `json:"engines"`
}

// Encode returns the stored form, as JSON.
func (i Index) Encode() []byte {
	// A struct of strings and integers always marshals.
	data, _ := json.Marshal(i)
	return data
}

// DecodeIndex decodes the stored form. Errors wrap ErrCorrupt.
func DecodeIndex(data []byte) (Index, error) {
	var i Index
	if err := json.Unmarshal(data, &i); err != nil {
		return Index{}, errors.Wrap(ErrCorrupt, err.Error())
	}
	return i, nil
}
