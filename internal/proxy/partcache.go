package proxy

import (
	"poplarbend.example/poplar"
)

// maxParts is the maximum number of prompt parts that are stored per upstream,
// in two generations of half that size.
const maxParts = 512

// partCache estimates which prompt parts an upstream has cached: it stores the
// parts that were recently sent there. It is not safe for concurrent use.
type partCache struct {
	recent, older map[string]struct{}
}

func newPartCache() partCache {
	return partCache{recent: map[string]struct{}{}, older: map[string]struct{}{}}
}

// cachedTokens returns the number of tokens in the leading parts that are
// likely to be cached.
func (c *partCache) cachedTokens(parts []poplar.Part) poplar.Tokens {
	sum := poplar.Tokens(0)
	for _, p := range parts {
		if !c.has(p.Name) {
			break
		}
		sum += p.Tokens
	}
	return sum
}

func (c *partCache) has(name string) bool {
	if _, ok := c.recent[name]; ok {
		return true
	}
	_, ok := c.older[name]
	return ok
}

// add stores the parts. When the recent generation is full, it replaces the
// older one.
func (c *partCache) add(parts []poplar.Part) {
	for _, p := range parts {
		if len(c.recent) >= maxParts/2 {
			c.older, c.recent = c.recent, map[string]struct{}{}
		}
		c.recent[p.Name] = struct{}{}
	}
}
