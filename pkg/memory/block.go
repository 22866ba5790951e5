package memory

import (
	"math/bits"
	"sync"
)

// Blocks of memory are used again. Otherwise a source that sends much makes garbage faster
// than the runtime collects it, and that counts for the process as well.

// Sizes of the blocks that are used again, in bytes. All are powers of two.
const (
	smallestBlock = 512
	largestBlock  = 1 << 20
)

// freeBlocks holds the blocks that are not in use, by the logarithm of their size.
var freeBlocks [21]sync.Pool

// newBlock returns a block of the given size.
func newBlock(size int) []byte {
	if pool := poolOf(size); pool != nil {
		if block, ok := pool.Get().(*[]byte); ok {
			return *block
		}
	}
	return make([]byte, size)
}

// freeBlock gives a block back, of which any part may be passed that begins with it.
func freeBlock(block []byte) {
	if pool := poolOf(cap(block)); pool != nil {
		block = block[:cap(block)]
		pool.Put(&block)
	}
}

// poolOf returns the pool of blocks of a size, or nil if they are not used again.
func poolOf(size int) *sync.Pool {
	if size < smallestBlock || size > largestBlock || size&(size-1) != 0 {
		return nil
	}
	return &freeBlocks[bits.Len(uint(size))-1]
}
