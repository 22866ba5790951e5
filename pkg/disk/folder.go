package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"poplarbend.example/poplar"
)

// lockName is the file that a process locks while it uses the folder.
const lockName = "lock"

// Folder is a folder of the file system, locked by one process.
type Folder struct {
	path string
	lock *os.File // invariant: open and locked until Close
}

var _ poplar.Files = (*Folder)(nil)

// OpenFolder opens and locks the folder at path and creates it if missing. It fails with
// poplar.CodeConflict if another process, or another Folder in this process, has
// locked the folder.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, poplar.Fail(poplar.StepDisk, poplar.CodeDisk, err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, poplar.Fail(poplar.StepDisk, poplar.CodeDisk, err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, poplar.Failf(poplar.StepDisk, poplar.CodeConflict, "folder %s is locked by another process: %w", path, err)
	}
	f := &Folder{path: path, lock: lock}
	if err := syncFolder(filepath.Dir(path)); err != nil {
		lock.Close()
		return nil, poplar.Fail(poplar.StepDisk, poplar.CodeDisk, err)
	}
	return f, nil
}

// Path returns the path of the folder.
func (f *Folder) Path() string { return f.path }

// Close unlocks the folder.
func (f *Folder) Close() error { return f.lock.Close() }

// Create implements poplar.Files.
func (f *Folder) Create(name string) (poplar.File, error) {
	return f.open(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
}

// Append implements poplar.Files.
func (f *Folder) Append(name string) (poplar.File, error) {
	return f.open(name, os.O_APPEND|os.O_WRONLY)
}

// Open implements poplar.Files.
func (f *Folder) Open(name string) (poplar.File, error) {
	return f.open(name, os.O_RDONLY)
}

func (f *Folder) open(name string, flag int) (poplar.File, error) {
	path, err := f.join(name)
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, flag, 0o600)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename implements poplar.Files.
func (f *Folder) Rename(from, to string) error {
	source, err := f.join(from)
	if err != nil {
		return err
	}
	target, err := f.join(to)
	if err != nil {
		return err
	}
	return os.Rename(source, target)
}

// Remove implements poplar.Files.
func (f *Folder) Remove(name string) error {
	path, err := f.join(name)
	if err != nil {
		return err
	}
	return os.Remove(path)
}

// Truncate implements poplar.Files.
func (f *Folder) Truncate(name string, size int64) error {
	path, err := f.join(name)
	if err != nil {
		return err
	}
	return os.Truncate(path, size)
}

// List implements poplar.Files. The names are sorted and exclude the lock file.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// SyncDir implements poplar.Files.
func (f *Folder) SyncDir() error { return syncFolder(f.path) }

// join returns the path of name, which must be a plain file name.
func (f *Folder) join(name string) (string, error) {
	if name == lockName || name == "." || name == ".." || filepath.Base(name) != name {
		return "", fmt.Errorf("file name %q is not allowed", name)
	}
	return filepath.Join(f.path, name), nil
}

func syncFolder(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
