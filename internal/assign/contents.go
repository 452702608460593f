package assign

import (
	"maps"
	"strings"
)

// contents is what an engine holds, merged from three sources: the engine's own
// description, which comes with its heartbeats and lags behind orders by up to a
// second and more; what the leader learnt from answers to its orders; and what this
// VM saw itself. Items are named "model" and "model/adapter".
type contents struct {
	// own is what the engine described after ownOrders accepted orders.
	own       map[string]bool
	ownOrders int64
	// led is what the leader knew after ledOrders accepted orders.
	led       map[string]bool
	ledOrders int64
	// leaving are models that the leader has ordered the engine to unload. The unload
	// waits for the requests that run, and until then the engine goes on to name the
	// model, but it turns every new request for it away. Sent there all the same, a
	// request costs a round trip and a repeat out of the retry budget.
	leaving map[string]bool
	// added and missing are what this VM learnt since from the leader's answers and
	// from refusals.
	added, missing map[string]bool
	// items is the result.
	items map[string]bool
}

// described takes the engine's own description.
func (c *contents) described(orders int64, items []string) {
	next := setOf(items)
	if orders == c.ownOrders && maps.Equal(next, c.own) {
		return
	}
	c.own, c.ownOrders = next, orders
	clear(c.missing)
	c.merge()
}

// reported takes what the leader knows, and returns whether that is new.
func (c *contents) reported(k Contents) (changed bool) {
	next, leaving := setOf(k.Items), setOf(k.Leaving)
	if k.Orders == c.ledOrders && maps.Equal(next, c.led) && maps.Equal(leaving, c.leaving) {
		return false
	}
	c.led, c.ledOrders, c.leaving = next, k.Orders, leaving
	clear(c.added)
	clear(c.missing)
	c.merge()
	return true
}

func (c *contents) add(item string) {
	c.added[item] = true
	delete(c.missing, item)
	c.merge()
}

func (c *contents) miss(item string) {
	c.missing[item] = true
	delete(c.added, item)
	c.merge()
}

// merge believes whoever has seen more orders. At the same number of orders an item
// may have come since either of them looked, so both count.
func (c *contents) merge() {
	c.items = make(map[string]bool)
	if c.ownOrders >= c.ledOrders {
		maps.Copy(c.items, c.own)
	}
	if c.ledOrders >= c.ownOrders {
		maps.Copy(c.items, c.led)
	}
	maps.Copy(c.items, c.added)
	for item := range c.missing {
		delete(c.items, item)
	}
	if c.ownOrders <= c.ledOrders+1 {
		// The leader names a model as leaving before it orders the unload, so the engine's
		// own description may count that one order more. Two more, and the unload is done.
		c.removeLeaving()
	}
}

func (c *contents) removeLeaving() {
	for item := range c.items {
		model, _, _ := strings.Cut(item, "/")
		if c.leaving[model] {
			delete(c.items, item)
		}
	}
}

func setOf(items []string) map[string]bool {
	out := make(map[string]bool, len(items))
	for _, i := range items {
		out[i] = true
	}
	return out
}

// itemName is the name of a model or of one of its adapters.
func itemName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}
