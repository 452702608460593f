package assign

import (
	"maps"
	"strings"
)

// contents is what an engine holds, merged from three sources: the engine's own
// description, which comes with its heartbeats and lags behind orders by up to a second and
// sometimes more; what the leader learnt from answers to its orders; and what this VM
// learnt itself. Items are named "model" and "model/adapter".
type contents struct {
	// engineItems are the items in the engine's own description, made after it had accepted
	// engineOrders orders.
	engineItems  map[string]bool
	engineOrders int64
	// leaderItems are the items in the leader's record, made after the engine had accepted
	// leaderOrders orders.
	leaderItems  map[string]bool
	leaderOrders int64
	// leaving are models that the leader has ordered the engine to unload. The unload waits
	// for running requests, and until then the engine still lists the model but rejects
	// every new request for it. A request that is sent there costs a round trip and a retry
	// from the retry budget.
	leaving map[string]bool
	// added and missing are corrections to these records: the items that the engine holds, or
	// does not hold, according to the leader's answers and to rejections since.
	added, missing map[string]bool
	// items is the merged result.
	items map[string]bool
}

// setEngineItems applies the engine's own description.
func (c *contents) setEngineItems(orders int64, items []string) {
	next := setOf(items)
	if orders == c.engineOrders && maps.Equal(next, c.engineItems) {
		return
	}
	c.engineItems, c.engineOrders = next, orders
	clear(c.missing)
	c.merge()
}

// setLeaderItems applies the leader's record and reports whether it differs from the
// previous one.
func (c *contents) setLeaderItems(record Contents) (changed bool) {
	next, leaving := setOf(record.Items), setOf(record.Leaving)
	if record.Orders == c.leaderOrders && maps.Equal(next, c.leaderItems) && maps.Equal(leaving, c.leaving) {
		return false
	}
	c.leaderItems, c.leaderOrders, c.leaving = next, record.Orders, leaving
	clear(c.added)
	clear(c.missing)
	c.merge()
	return true
}

func (c *contents) add(item string) {
	put(&c.added, item, true)
	delete(c.missing, item)
	c.merge()
}

func (c *contents) remove(item string) {
	put(&c.missing, item, true)
	delete(c.added, item)
	c.merge()
}

// merge uses the source that covers more orders. If both cover the same number, an item may
// have been added after either was made, so both count.
func (c *contents) merge() {
	if c.onlyEngineItems() {
		c.items = c.engineItems
		return
	}
	c.items = make(map[string]bool)
	if c.engineOrders >= c.leaderOrders {
		maps.Copy(c.items, c.engineItems)
	}
	if c.leaderOrders >= c.engineOrders {
		maps.Copy(c.items, c.leaderItems)
	}
	maps.Copy(c.items, c.added)
	for item := range c.missing {
		delete(c.items, item)
	}
	if c.engineOrders <= c.leaderOrders+1 {
		// The leader lists a model as leaving before it orders the unload, so the engine's
		// own description may count that one order more. If it counts two more, the unload
		// is done.
		c.removeLeaving()
	}
}

// onlyEngineItems reports whether nothing is known beside the engine's own description.
func (c *contents) onlyEngineItems() bool {
	return c.leaderOrders == 0 && len(c.leaderItems)+len(c.leaving)+len(c.added)+len(c.missing) == 0
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

// itemName returns the name of a model, or of one of its adapters.
func itemName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}
