package memory

// Buffer is a contiguous item that grows as it is read. It counts its whole capacity.
type Buffer struct {
	account *Account
	data    []byte // invariant: its capacity is the size of a block, or 0
}

// NewBuffer returns an empty buffer that counts against an account.
func NewBuffer(a *Account) *Buffer { return &Buffer{account: a} }

// Bytes returns the content, which is valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.data }

// Append adds data. It returns ErrFull if there is no memory for it.
func (b *Buffer) Append(data []byte) error {
	need := len(b.data) + len(data)
	if need <= cap(b.data) {
		b.data = append(b.data, data...)
		return nil
	}
	size := max(cap(b.data), smallestBlock)
	for size < need {
		size *= 2
	}
	if err := b.account.Grow(int64(size)); err != nil {
		return err
	}
	next := append(append(newBlock(size)[:0], b.data...), data...)
	b.Free()
	b.data = next
	return nil
}

// Reset empties the buffer. One that has grown beyond what does not count gives its memory
// back.
func (b *Buffer) Reset() {
	if cap(b.data) > Allowance {
		b.Free()
	}
	b.data = b.data[:0]
}

// Free empties the buffer and gives all of its memory back.
func (b *Buffer) Free() {
	b.account.Shrink(int64(cap(b.data)))
	freeBlock(b.data)
	b.data = nil
}
