package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is how many tokens of a prompt form one cached block.
const blockTokens = 16

// prefixCache holds the hashes of prompt prefixes, in whole blocks. It evicts
// the least recently used block when it holds capacity blocks.
type prefixCache struct {
	capacity int
	lru      *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

// matchAndInsert returns how many leading tokens of a prompt are cached, and
// caches all its whole blocks.
func (c *prefixCache) matchAndInsert(model, prompt string) int {
	const blockBytes = blockTokens * bytesPerToken
	cached := 0
	contiguous := true
	d := xxhash.New()
	_, _ = d.WriteString(model + "\x00")
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = d.WriteString(prompt[end-blockBytes : end])
		hash := d.Sum64()
		found, ok := c.blocks[hash]
		contiguous = contiguous && ok
		if ok {
			c.lru.MoveToFront(found)
		} else {
			c.insert(hash)
		}
		if contiguous {
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
		last := c.lru.Back()
		delete(c.blocks, last.Value.(uint64))
		c.lru.Remove(last)
	}
	c.blocks[hash] = c.lru.PushFront(hash)
}
