package sched

import "container/list"

// maxCachedPrefixes is the maximum number of prefixes tracked per engine.
const maxCachedPrefixes = 2048

// prefixCache is an LRU estimate of the prompt prefixes that an engine has cached: those recently sent
// there, minus those that the engine reported as evicted. A wrong estimate costs unexpected prefill but
// never affects correctness.
type prefixCache struct {
	order    *list.List
	elements map[uint32]*list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), elements: map[uint32]*list.Element{}}
}

// add records that a prompt with these prefixes was sent.
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

// remove records an eviction.
func (c *prefixCache) remove(hash uint32) {
	if e, ok := c.elements[hash]; ok {
		c.order.Remove(e)
		delete(c.elements, hash)
	}
}

// matched returns the estimated number of cached prompt tokens. Prefix i has tokensPerBlock<<i tokens.
func (c *prefixCache) matched(hashes []uint32, promptTokens uint32) uint32 {
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := c.elements[hashes[i]]; ok {
			return min(promptTokens, uint32(tokensPerBlock)<<i)
		}
	}
	return 0
}
