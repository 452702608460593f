package assign

import "maps"

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

// reported takes what the leader knows.
func (c *contents) reported(orders int64, items []string) {
	next := setOf(items)
	if orders == c.ledOrders && maps.Equal(next, c.led) {
		return
	}
	c.led, c.ledOrders = next, orders
	clear(c.added)
	clear(c.missing)
	c.merge()
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
