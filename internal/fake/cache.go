package fake

import "container/list"

// This file holds the engine's prefix cache: a bounded set of block hashes,
// the least recently used evicted first.

// cache is not safe for concurrent use.
type cache struct {
	limit int
	byKey map[uint64]*list.Element // invariant: one entry for each element of order
	order *list.List               // invariant: most recently used first, at most limit
}

func newCache(limit int) *cache {
	return &cache{limit: limit, byKey: map[uint64]*list.Element{}, order: list.New()}
}

// take stores chain and returns how many of its first blocks were present,
// what was stored and what was evicted.
func (c *cache) take(chain []uint64) (hit int, stored, evicted []uint64) {
	for hit < len(chain) && c.byKey[chain[hit]] != nil {
		hit++
	}
	for _, key := range chain {
		if e := c.byKey[key]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.byKey[key] = c.order.PushFront(key)
		stored = append(stored, key)
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		key, _ := c.order.Remove(last).(uint64)
		delete(c.byKey, key)
		evicted = append(evicted, key)
	}
	return hit, stored, evicted
}

func (c *cache) free() int { return c.limit - c.order.Len() }
