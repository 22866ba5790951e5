package disk

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"sort"
	"sync"
	"syscall"

	"poplarbend.example/poplar"
)

// This file implements the folder in memory and its model of a crash.

// errNotExist is the error of a folder for a missing file.
var errNotExist = fs.ErrNotExist

// sectorSize is the unit in which a crash keeps or loses unsynced data, in
// bytes.
const sectorSize = 512

// Memory is a folder in memory. It implements poplar.Files for daemons without
// a disk and for tests: Crash discards a random part of the unsynced data, and
// FailAt makes an operation fail. It is safe for concurrent use.
type Memory struct {
	mu          sync.Mutex
	live        map[string]*inode // invariant: files that the process sees
	durable     map[string]*inode // invariant: files that SyncDir has made durable
	pending     []folderChange    // invariant: folder operations since SyncDir
	incarnation int               // invariant: number of crashes and restarts; older handles fail
	operations  int               // invariant: operations since NewMemory
	failAt      int               // invariant: number of the operation that fails, or 0
	fault       Fault
	stopped     bool // invariant: set from FaultStop until Crash or Restart
}

var _ poplar.Files = (*Memory)(nil)

// inode is the content of one file.
type inode struct {
	data           []byte
	synced         int    // invariant: data[:synced] survives a crash
	beforeTruncate []byte // invariant: synced content before an unsynced Truncate, or nil
	lost           []span // invariant: ranges that a failed Sync did not write to the disk
}

// span is a range of bytes in a file.
type span struct{ from, to int }

// folderChange is one folder operation. A removal has neither inode nor target; a
// creation has no source.
type folderChange struct {
	from, to string
	node     *inode
}

// Fault is the way in which an operation fails.
type Fault uint8

// The faults that FailAt injects.
const (
	// FaultIO fails one operation with EIO.
	FaultIO Fault = iota + 1
	// FaultFull fails one operation with ENOSPC.
	FaultFull
	// FaultStop fails the operation and every later one until Crash or Restart,
	// like a power failure.
	FaultStop
)

// NewMemory returns an empty folder.
func NewMemory() *Memory {
	return &Memory{live: map[string]*inode{}, durable: map[string]*inode{}}
}

// Operations returns the number of operations so far that change or sync
// something. Opening, reading and listing do not count.
func (m *Memory) Operations() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.operations
}

// FailAt makes the n-th operation from now fail. The next operation is number 1.
func (m *Memory) FailAt(n int, fault Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failAt, m.fault = m.operations+n, fault
}

// Crash simulates a crash of the machine and makes every open file fail. Each
// folder operation since SyncDir and each sector of unsynced data is kept or lost
// at random, as determined by seed.
func (m *Memory) Crash(seed uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rng := rand.New(rand.NewPCG(seed, 0))
	for _, c := range m.pending {
		if rng.IntN(2) == 0 {
			applyChange(m.durable, c)
		}
	}
	m.live = map[string]*inode{}
	for _, name := range sortedNames(m.durable) {
		node := m.durable[name]
		node.crash(rng)
		m.live[name] = node
	}
	m.pending = nil
	m.incarnation++
	m.stopped = false
	m.failAt = 0
}

// Restart simulates a restart of the process on a running machine. It makes every
// open file fail and loses no data.
func (m *Memory) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnation++
	m.stopped = false
	m.failAt = 0
}

// crash keeps a random part of the unsynced data. An unsynced Truncate can be undone,
// sectors can be zeroed, and ranges that a failed Sync lost always are.
func (n *inode) crash(rng *rand.Rand) {
	if n.beforeTruncate != nil && rng.IntN(2) == 0 {
		n.data = n.beforeTruncate
		n.synced = len(n.data)
	}
	n.beforeTruncate = nil
	if n.synced < len(n.data) {
		n.data = n.data[:n.synced+rng.IntN(len(n.data)-n.synced+1)]
	}
	for at := n.synced; at < len(n.data); at = (at/sectorSize + 1) * sectorSize {
		if rng.IntN(3) == 0 {
			clear(n.data[at:min(len(n.data), (at/sectorSize+1)*sectorSize)])
		}
	}
	for _, s := range n.lost {
		clear(n.data[min(s.from, len(n.data)):min(s.to, len(n.data))])
	}
	n.lost = nil
	n.synced = len(n.data)
}

// Flip flips one bit of a file, to simulate disk corruption.
func (m *Memory) Flip(name string, bit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data := m.live[name].data
	data[bit/8] ^= 1 << (bit % 8)
}

// countOperation counts one operation and returns its injected error, if any.
func (m *Memory) countOperation() error {
	if m.stopped {
		return syscall.EIO
	}
	m.operations++
	if m.operations != m.failAt {
		return nil
	}
	switch m.fault {
	case FaultFull:
		return syscall.ENOSPC
	case FaultStop:
		m.stopped = true
	}
	return syscall.EIO
}

// Create implements poplar.Files.
func (m *Memory) Create(name string) (poplar.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	node := &inode{}
	m.changeFolder(folderChange{to: name, node: node})
	return &handle{folder: m, node: node, incarnation: m.incarnation}, nil
}

// Append implements poplar.Files.
func (m *Memory) Append(name string) (poplar.File, error) { return m.Open(name) }

// Open implements poplar.Files.
func (m *Memory) Open(name string) (poplar.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, ok := m.live[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: errNotExist}
	}
	return &handle{folder: m, node: node, incarnation: m.incarnation}, nil
}

// Rename implements poplar.Files.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countOperation(); err != nil {
		return err
	}
	node, ok := m.live[from]
	if !ok {
		return &fs.PathError{Op: "rename", Path: from, Err: errNotExist}
	}
	m.changeFolder(folderChange{from: from, to: to, node: node})
	return nil
}

// Remove implements poplar.Files.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countOperation(); err != nil {
		return err
	}
	if _, ok := m.live[name]; !ok {
		return &fs.PathError{Op: "remove", Path: name, Err: errNotExist}
	}
	m.changeFolder(folderChange{from: name})
	return nil
}

// Truncate implements poplar.Files.
func (m *Memory) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countOperation(); err != nil {
		return err
	}
	node, ok := m.live[name]
	if !ok {
		return &fs.PathError{Op: "truncate", Path: name, Err: errNotExist}
	}
	if int(size) < node.synced {
		node.beforeTruncate = append([]byte{}, node.data[:node.synced]...)
	}
	node.data = node.data[:size]
	node.synced = min(node.synced, int(size))
	lost := node.lost[:0]
	for _, s := range node.lost {
		if s.from < int(size) {
			lost = append(lost, span{s.from, min(s.to, int(size))})
		}
	}
	node.lost = lost
	return nil
}

// List implements poplar.Files. The names are sorted.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sortedNames(m.live), nil
}

// SyncDir implements poplar.Files.
func (m *Memory) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countOperation(); err != nil {
		return err
	}
	for _, c := range m.pending {
		applyChange(m.durable, c)
	}
	m.pending = nil
	return nil
}

// changeFolder performs a folder operation, which is durable after SyncDir.
func (m *Memory) changeFolder(c folderChange) {
	applyChange(m.live, c)
	m.pending = append(m.pending, c)
}

func applyChange(folder map[string]*inode, c folderChange) {
	if c.from != "" {
		if folder[c.from] == nil {
			return
		}
		delete(folder, c.from)
	}
	if c.to != "" {
		folder[c.to] = c.node
	}
}

func sortedNames(folder map[string]*inode) []string {
	names := make([]string, 0, len(folder))
	for name := range folder {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// handle is one open file of a Memory.
type handle struct {
	folder      *Memory
	node        *inode
	incarnation int
	offset      int // invariant: position of the next Read
	closed      bool
}

// Read implements io.Reader.
func (h *handle) Read(p []byte) (int, error) {
	h.folder.mu.Lock()
	defer h.folder.mu.Unlock()
	if err := h.checkOpen(); err != nil {
		return 0, err
	}
	if h.offset >= len(h.node.data) {
		return 0, io.EOF
	}
	n := copy(p, h.node.data[h.offset:])
	h.offset += n
	return n, nil
}

// Write implements io.Writer. It appends to the file. After an injected failure
// the file contains the first half of p.
func (h *handle) Write(p []byte) (int, error) {
	h.folder.mu.Lock()
	defer h.folder.mu.Unlock()
	if err := h.checkOpen(); err != nil {
		return 0, err
	}
	if err := h.folder.countOperation(); err != nil {
		n := len(p) / 2
		h.node.data = append(h.node.data, p[:n]...)
		return n, err
	}
	h.node.data = append(h.node.data, p...)
	return len(p), nil
}

// Sync implements poplar.File. After an injected failure the data stays
// readable but is lost at the next Crash, even if a later Sync succeeds. This
// models a kernel that marks the pages clean after a failed sync.
func (h *handle) Sync() error {
	h.folder.mu.Lock()
	defer h.folder.mu.Unlock()
	if err := h.checkOpen(); err != nil {
		return err
	}
	if err := h.folder.countOperation(); err != nil {
		if !h.folder.stopped {
			h.node.lost = append(h.node.lost, span{h.node.synced, len(h.node.data)})
		}
		return err
	}
	h.node.synced = len(h.node.data)
	h.node.beforeTruncate = nil
	return nil
}

// Close implements io.Closer.
func (h *handle) Close() error {
	h.folder.mu.Lock()
	defer h.folder.mu.Unlock()
	h.closed = true
	return nil
}

func (h *handle) checkOpen() error {
	if h.closed || h.incarnation != h.folder.incarnation {
		return fs.ErrClosed
	}
	return nil
}
