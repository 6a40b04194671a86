package standin

import "container/list"

// blockCache is a set of prefix blocks with least-recently-used eviction.
type blockCache struct {
	limit  int
	blocks map[uint64]*list.Element
	// order lists the blocks from the most to the least recently used.
	order list.List
}

// peek returns the number of leading blocks that are cached.
func (c *blockCache) peek(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}

	return len(blocks)
}

// match returns the same number as peek and marks the cached blocks as used. Later blocks are moved first, so that a prefix is
// evicted after the blocks that follow it.
func (c *blockCache) match(blocks []uint64) int {
	hit := c.peek(blocks)
	for i := hit - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[blocks[i]])
	}

	return hit
}

func (c *blockCache) store(blocks []uint64) (stored, evicted []uint64) {
	if c.limit == 0 {
		return nil, nil
	}

	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}

	blocks = blocks[:min(len(blocks), c.limit)]
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, ok := c.blocks[blocks[i]]; ok {
			c.order.MoveToFront(element)
			continue
		}

		c.blocks[blocks[i]] = c.order.PushFront(blocks[i])
		stored = append(stored, blocks[i])
	}

	for len(c.blocks) > c.limit {
		block := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, block)
		evicted = append(evicted, block)
	}

	return stored, evicted
}
