// Package disk implements a write-ahead log with snapshots, called a journal,
// over a small file interface.
//
// OpenFolder opens a folder of the file system and locks it against other processes.
// NewMemory returns a folder in memory that models the data loss of a crash, for
// tests and for daemons without a disk. Open opens a Journal in either. A Group
// lets many goroutines share one sync.
//
// Records that Sync has acknowledged survive a crash at any operation. Content
// that fails its checksum is refused with an error that names the file and the
// offset, and is never skipped or repaired. Only the remains of the last,
// unacknowledged write are dropped.
package disk
