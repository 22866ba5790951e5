package place

import "poplarbend.example/poplar"

// spillHomes is the number of homes of a part that are told apart: the one at which it is
// cached, and the next one, which takes its requests while the first is busy. Caching a
// part at two homes at all times prefilled each part twice, see platform.md.
const spillHomes = 2

// topHomes are the highest rendezvous weights of usable upstreams, by length class.
type topHomes [2][spillHomes]uint64

// add adds the weight of a usable upstream and returns whether it is among the highest.
func (t *topHomes) add(class int, weight uint64) bool {
	top := &t[class]
	if weight <= top[spillHomes-1] {
		return false
	}
	for n := range top {
		top[n], weight = max(top[n], weight), min(top[n], weight)
	}
	return true
}

// rank returns the number of homes that precede an upstream with the given weight.
func (t *topHomes) rank(class int, weight uint64) int {
	rank := 0
	for _, w := range t[class] {
		if w > weight {
			rank++
		}
	}
	return rank
}

// rankHomes sets the rendezvous weights of the candidates for the part and returns those of
// its homes. Long and short prompts have separate homes. It runs for every request.
func rankHomes(part string, list []Candidate) topHomes {
	var homes topHomes
	prefix := hash(part)
	for i := range list {
		c := &list[i]
		if c.Hash == 0 {
			c.Hash = HashUpstream(c.Upstream)
		}
		c.weight = weigh(prefix, c.Hash)
		if c.Usable {
			homes.add(c.lengthClass(), c.weight)
		}
	}
	return homes
}

func (c *Candidate) lengthClass() int { return lengthClass(c.LongPrompts) }

func lengthClass(longPrompts bool) int {
	if longPrompts {
		return 1
	}
	return 0
}

// RendezvousWeight returns the weight of an upstream for a prompt part. By
// rendezvous hashing all routers prefer the same few upstreams for a part
// without coordination.
func RendezvousWeight(part string, upstream poplar.Upstream) uint64 {
	return weigh(hash(part), HashUpstream(upstream))
}

// HashUpstream returns the hash of a name, from which weights are made without reading the
// name again: a choice weighs all upstreams of a service.
func HashUpstream(name poplar.Upstream) uint64 { return hash(string(name)) }

const hashPrime = 1099511628211

// hash returns a hash whose bits all depend on all of the text.
func hash(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * hashPrime
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}

// weigh returns the weight of an upstream for a part, by their hashes. Weights are compared,
// so the high bits matter, to which a multiplication brings all others.
func weigh(part, upstream uint64) uint64 {
	h := part ^ upstream
	return (h ^ h>>32) * 0xc4ceb9fe1a85ec53
}
