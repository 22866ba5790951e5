package route

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"poplarbend.example/poplar"
)

const (
	// BlockBytes is the length of a prompt block in bytes. Only whole blocks
	// are hashed.
	BlockBytes = 256
	// BlockTokens is the typical number of tokens in a block.
	BlockTokens poplar.Tokens = 64
	// MaxBlocks bounds the number of hashed blocks of a prompt.
	MaxBlocks = 256
	// ways is the number of entries in a bucket. A bucket fills one CPU cache
	// line of 64 bytes.
	ways = 8
)

// HashBlocks returns the chained hashes of the prompt's whole blocks: hash i
// covers the salt and the blocks 0 to i. The salt separates models, and
// workspaces that must not learn about each other's prompts from response
// times.
func HashBlocks(salt string, prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, MaxBlocks)
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	chain := xxhash.Sum64String(salt)
	var buf [8 + BlockBytes]byte
	for i := range hashes {
		binary.LittleEndian.PutUint64(buf[:], chain)
		copy(buf[8:], prompt[i*BlockBytes:])
		chain = xxhash.Sum64(buf[:])
		hashes[i] = chain
	}
	return hashes
}

// PrefixIndex records which upstreams probably cache which prefix blocks. It is a
// fixed-size hash table that overwrites entries when a bucket is full, so its
// memory is bounded and its content is only a hint. It is safe for concurrent
// use and takes no locks.
//
// An entry consists of 40 bits of the hash, 16 bits of the upstream's slot and
// 8 bits of its generation, and is never 0.
type PrefixIndex struct {
	buckets    []bucket // invariant: the length is a power of two
	nextVictim atomic.Uint32
}

type bucket [ways]atomic.Uint64

// NewIndex returns an index with at least the given number of entries of 8
// bytes each.
func NewIndex(entries int) *PrefixIndex {
	n := 1
	for n*ways < entries {
		n *= 2
	}
	return &PrefixIndex{buckets: make([]bucket, n)}
}

// Add records that the upstream of s caches the blocks, as learned from a
// cache event or from a request that the router sent there.
func (x *PrefixIndex) Add(s *LocalState, blocks []uint64) {
	for _, hash := range blocks {
		x.add(hash, entry(hash, s))
	}
}

// Remove records that the upstream of s evicted the blocks.
func (x *PrefixIndex) Remove(s *LocalState, blocks []uint64) {
	for _, hash := range blocks {
		want := entry(hash, s)
		b := x.bucket(hash)
		for i := range b {
			b[i].CompareAndSwap(want, 0)
		}
	}
}

// Holds reports whether the upstream of s probably caches the block.
func (x *PrefixIndex) Holds(s *LocalState, hash uint64) bool {
	want := entry(hash, s)
	b := x.bucket(hash)
	for i := range b {
		if b[i].Load() == want {
			return true
		}
	}
	return false
}

func (x *PrefixIndex) add(hash, e uint64) {
	b := x.bucket(hash)
	for i := range b {
		if v := b[i].Load(); v == e || v == 0 && b[i].CompareAndSwap(0, e) {
			return
		}
	}
	b[x.nextVictim.Add(1)%ways].Store(e)
}

func (x *PrefixIndex) bucket(hash uint64) *bucket {
	return &x.buckets[hash&uint64(len(x.buckets)-1)]
}

// entry packs the upper 40 bits of hash with the slot and generation of s. The
// generation is in the range 1 to 255, so that no entry is 0.
func entry(hash uint64, s *LocalState) uint64 {
	generation := uint64(s.generation.Load()%255 + 1)
	return hash>>24<<24 | uint64(s.slot)<<8 | generation
}

// holders appends to found the slots of at most limit upstreams that have an
// entry for hash. It includes entries of old generations, which Holds rejects.
func (x *PrefixIndex) holders(hash uint64, found []uint16, limit int) []uint16 {
	b := x.bucket(hash)
	for i := range b {
		v := b[i].Load()
		if v != 0 && v>>24 == hash>>24 && limit > 0 {
			found = append(found, uint16(v>>8))
			limit--
		}
	}
	return found
}

// contains reports whether any upstream has an entry for hash.
func (x *PrefixIndex) contains(hash uint64) bool {
	b := x.bucket(hash)
	for i := range b {
		if v := b[i].Load(); v != 0 && v>>24 == hash>>24 {
			return true
		}
	}
	return false
}
