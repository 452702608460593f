package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is how many tokens of a prompt are cached as one.
const blockTokens = 16

// prefixCache remembers the leading blocks of prompts, the least recently used
// ones going first when its memory is full.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// use returns how many leading tokens of a prompt are cached, and caches all
// its whole blocks.
func (c *prefixCache) use(model, prompt string) int {
	const blockBytes = blockTokens * bytesPerToken
	cached := 0
	unbroken := true
	d := xxhash.New()
	_, _ = d.WriteString(model + "\x00")
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = d.WriteString(prompt[end-blockBytes : end])
		hash := d.Sum64()
		found, ok := c.blocks[hash]
		unbroken = unbroken && ok
		if ok {
			c.order.MoveToFront(found)
		} else {
			c.insert(hash)
		}
		if unbroken {
			cached += blockTokens
		}
	}
	return cached
}

func (c *prefixCache) insert(hash uint64) {
	if c.capacity <= 0 {
		return
	}
	for len(c.blocks) >= c.capacity {
		last := c.order.Back()
		delete(c.blocks, last.Value.(uint64))
		c.order.Remove(last)
	}
	c.blocks[hash] = c.order.PushFront(hash)
}
