package sched

import "container/list"

// maxCachedPrefixes bounds what is believed of one engine's cache.
const maxCachedPrefixes = 2048

// prefixCache is a belief on which prompt prefixes an engine holds: what we sent there lately,
// least recently used first to go, corrected by the engine's cache events when they come. A wrong
// belief costs prefill that was not expected, never correctness.
type prefixCache struct {
	order    *list.List
	elements map[uint32]*list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), elements: map[uint32]*list.Element{}}
}

// add notes that a prompt with these prefixes was sent.
func (c *prefixCache) add(hashes []uint32) {
	for _, h := range hashes {
		if e, ok := c.elements[h]; ok {
			c.order.MoveToBack(e)
			continue
		}
		c.elements[h] = c.order.PushBack(h)
		if c.order.Len() > maxCachedPrefixes {
			c.remove(c.order.Front().Value.(uint32))
		}
	}
}

// remove notes an eviction.
func (c *prefixCache) remove(hash uint32) {
	if e, ok := c.elements[hash]; ok {
		c.order.Remove(e)
		delete(c.elements, hash)
	}
}

// matched is how many prompt tokens are believed cached. Prefix i is tokensPerBlock<<i tokens long.
func (c *prefixCache) matched(hashes []uint32, promptTokens uint32) uint32 {
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := c.elements[hashes[i]]; ok {
			return min(promptTokens, uint32(tokensPerBlock)<<i)
		}
	}
	return 0
}
