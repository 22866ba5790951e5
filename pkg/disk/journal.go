package disk

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"poplarbend.example/poplar"
)

// This file implements appending, syncing and compacting of a journal.
//
// Generation G of the journal NAME consists of two files: NAME.G.snap stores the
// snapshot and NAME.G.log the records after it. The snapshot is written as
// NAME.G.temp and renamed. Compact makes the files of
// generation G+1 durable, the snapshot last, before it removes those of G.
// Therefore the snapshot of the highest generation is current, and its log
// exists.

// errClosed is the cause of errors after Close.
var errClosed = errors.New("journal is closed")

// Journal implements poplar.Journal over a poplar.Files. It is safe for
// concurrent use.
type Journal struct {
	mu          sync.Mutex
	files       poplar.Files
	name        string
	generation  uint64
	log         poplar.File // invariant: open for appending unless err is set
	seq         uint64      // invariant: sequence number of the last frame written
	size        int64       // invariant: size of the frames since the snapshot, in bytes
	firstOffset int64       // invariant: offset of the first frame after the snapshot
	body        []byte      // invariant: records appended since the last Sync
	frame       []byte      // invariant: buffer that sync reuses
	err         error       // invariant: once set, every call returns it
}

var _ poplar.Journal = (*Journal)(nil)

// Append implements poplar.Journal. The next Sync writes the records to the
// file as one frame. A record larger than MaxRecord is refused with
// poplar.CodeLarge, and the journal stays usable.
func (j *Journal) Append(records ...[]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err != nil {
		return j.err
	}
	added := 0
	for _, r := range records {
		if len(r) > MaxRecord {
			return poplar.Failf(poplar.StepDisk, poplar.CodeLarge, "record of %d bytes is too large", len(r))
		}
		added += len(r)
	}
	if len(j.body)+added > maxBody {
		return poplar.Failf(poplar.StepDisk, poplar.CodeLarge, "batch of %d bytes is too large", len(j.body)+added)
	}
	for _, r := range records {
		j.body = appendRecord(j.body, r)
	}
	return nil
}

// Sync implements poplar.Journal.
func (j *Journal) Sync() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sync()
}

func (j *Journal) sync() error {
	if j.err != nil || len(j.body) == 0 {
		return j.err
	}
	j.frame = appendFrame(j.frame[:0], j.seq+1, j.body)
	if err := writeAll(j.log, j.frame); err != nil {
		return j.fail("write", err)
	}
	if err := j.log.Sync(); err != nil {
		return j.fail("sync", err)
	}
	j.seq++
	j.size += int64(len(j.frame))
	j.body = j.body[:0]
	return nil
}

// Compact implements poplar.Journal. The snapshot must cover all appended records,
// including those not yet synced, which are dropped. An error before the new
// snapshot is renamed into place leaves the journal unchanged and usable. After a
// later error it is unknown which generation a restart finds, so every later call
// fails.
func (j *Journal) Compact(snapshot []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err != nil {
		return j.err
	}
	if len(snapshot) > maxBody {
		return poplar.Failf(poplar.StepDisk, poplar.CodeLarge, "snapshot of %d bytes is too large", len(snapshot))
	}
	next := j.generation + 1
	log, err := prepareGeneration(j.files, j.name, next, j.seq, snapshot)
	if err != nil {
		return poplar.Fail(poplar.StepDisk, poplar.CodeDisk, fmt.Errorf("compact %s: %w", j.name, err))
	}
	if err := installGeneration(j.files, j.name, next); err != nil {
		log.Close()
		return j.fail("compact", err)
	}
	old := j.generation
	j.log.Close()
	j.log = log
	j.generation = next
	j.size = 0
	j.firstOffset = frameHeader
	j.body = j.body[:0]
	// Remaining files of the old generation are harmless: Open removes them.
	_ = j.files.Remove(logName(j.name, old))
	_ = j.files.Remove(snapName(j.name, old))
	return nil
}

// Size implements poplar.Journal. It includes records that are appended but not
// yet synced.
func (j *Journal) Size() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.size + int64(len(j.body))
}

// Close implements poplar.Journal. It does not sync.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if errors.Is(j.err, errClosed) {
		return nil
	}
	j.err = poplar.Fail(poplar.StepDisk, poplar.CodeDisk, errClosed)
	return j.log.Close()
}

// fail makes every later call fail, since the content of the log is unknown.
// After a failed sync the page cache can show data that is not on disk, so the
// log is truncated to the acknowledged frames.
func (j *Journal) fail(operation string, cause error) error {
	_ = j.files.Truncate(logName(j.name, j.generation), j.firstOffset+j.size)
	j.err = poplar.Fail(poplar.StepDisk, poplar.CodeDisk, fmt.Errorf("%s %s: %w", operation, logName(j.name, j.generation), cause))
	return j.err
}

// prepareGeneration makes the files of a generation durable, with the snapshot
// under its temporary name, and returns the log open for appending.
func prepareGeneration(files poplar.Files, name string, generation, seq uint64, snapshot []byte) (poplar.File, error) {
	if err := writeFile(files, tempName(name, generation), appendFrame(nil, seq, snapshot)); err != nil {
		return nil, err
	}
	if err := writeFile(files, logName(name, generation), appendFrame(nil, seq, nil)); err != nil {
		return nil, err
	}
	log, err := files.Append(logName(name, generation))
	if err != nil {
		return nil, err
	}
	if err := files.SyncDir(); err != nil {
		log.Close()
		return nil, err
	}
	return log, nil
}

// installGeneration makes a prepared generation current by renaming its snapshot.
func installGeneration(files poplar.Files, name string, generation uint64) error {
	if err := files.Rename(tempName(name, generation), snapName(name, generation)); err != nil {
		return err
	}
	return files.SyncDir()
}

// writeFile creates a file with the given data and syncs it.
func writeFile(files poplar.Files, name string, data []byte) error {
	file, err := files.Create(name)
	if err != nil {
		return err
	}
	if err := writeAll(file, data); err != nil {
		file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

func writeAll(file poplar.File, data []byte) error {
	n, err := file.Write(data)
	if err != nil {
		return err
	}
	if n < len(data) {
		return io.ErrShortWrite
	}
	return nil
}

func logName(name string, generation uint64) string {
	return fmt.Sprintf("%s.%d.log", name, generation)
}

func snapName(name string, generation uint64) string {
	return fmt.Sprintf("%s.%d.snap", name, generation)
}

func tempName(name string, generation uint64) string {
	return fmt.Sprintf("%s.%d.temp", name, generation)
}
