package memory

import (
	"errors"
	"io"
)

// Blocks are the bytes of an item, in order. None is empty.
type Blocks [][]byte

// Sizes of blocks, in bytes. Each is twice as large as the one before.
const (
	firstBlock = 4 << 10
	lastBlock  = 256 << 10
)

// ErrTooLong means that an item is longer than allowed.
var ErrTooLong = errors.New("the data exceeds the size limit")

// Read reads r to its end and counts what it reads. length is the number of bytes that r
// is said to have, or negative if that is not known. More than most bytes are an error, at
// once where the length tells.
func (a *Account) Read(r io.Reader, length, most int64) (Blocks, error) {
	if length > most {
		return nil, ErrTooLong
	}
	if length == 0 {
		return nil, nil
	}
	var blocks Blocks
	total := int64(0)
	for size := int64(firstBlock); ; size = min(2*size, lastBlock) {
		if left := length - total; length >= 0 && left < size {
			size = left + 1 // room for a byte too many, and to see the end
		}
		if err := a.Grow(size); err != nil {
			blocks.Free()
			return nil, err
		}
		block, err := fill(r, newBlock(int(size)))
		if len(block) > 0 {
			blocks = append(blocks, block)
		} else {
			freeBlock(block)
			a.Shrink(size)
		}
		if total += int64(len(block)); total > most {
			err = ErrTooLong
		}
		switch {
		case errors.Is(err, io.EOF):
			return blocks, nil
		case err != nil:
			blocks.Free()
			return nil, err
		}
	}
}

// ReadReserved is Read for an item whose length is known, if it is: there is memory for all
// of it before any of it is read, or ErrFull.
func (a *Account) ReadReserved(r io.Reader, length, most int64) (Blocks, error) {
	if length < 0 || length > most {
		return a.Read(r, length, most)
	}
	if err := a.Grow(length); err != nil {
		return nil, err
	}
	return (*Account)(nil).Read(r, length, most)
}

// Join returns the bytes in one piece and frees the blocks. The account counts both until
// then.
func (a *Account) Join(b Blocks) ([]byte, error) {
	if len(b) == 1 {
		return b[0], nil
	}
	counted := int64(0)
	for _, block := range b {
		counted += int64(cap(block))
	}
	size := b.Size()
	if err := a.Grow(int64(size)); err != nil {
		b.Free()
		return nil, err
	}
	joined := make([]byte, 0, size)
	for _, block := range b {
		joined = append(joined, block...)
	}
	b.Free()
	a.Shrink(counted)
	return joined, nil
}

// fill reads until the block is full or r fails, and returns what was read.
func fill(r io.Reader, block []byte) ([]byte, error) {
	for n := 0; ; {
		k, err := r.Read(block[n:])
		if n += k; err != nil || n == len(block) {
			return block[:n], err
		}
	}
}

// Size returns the number of bytes.
func (b Blocks) Size() int {
	size := 0
	for _, block := range b {
		size += len(block)
	}
	return size
}

// Free lets later items use the memory, which must not be used any more.
func (b Blocks) Free() {
	for _, block := range b {
		freeBlock(block)
	}
}

// WriteTo implements io.WriterTo.
func (b Blocks) WriteTo(w io.Writer) (int64, error) {
	total := int64(0)
	for _, block := range b {
		n, err := w.Write(block)
		if total += int64(n); err != nil {
			return total, err
		}
	}
	return total, nil
}
