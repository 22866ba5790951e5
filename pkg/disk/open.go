package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"poplarbend.example/poplar"
)

// This file opens a journal: it finds the current files, checks them and reads
// their valid content.

// Recovered is the content of a journal at the time it was opened.
type Recovered struct {
	snapshot []byte
	records  [][]byte
	torn     int64
	fresh    bool
}

// Snapshot returns the last snapshot, which is empty before the first Compact.
func (r Recovered) Snapshot() []byte { return r.snapshot }

// Records returns the records since the snapshot, in order.
func (r Recovered) Records() [][]byte { return r.records }

// TornBytes returns the size in bytes of a last write that a crash interrupted. It was
// never acknowledged and is dropped.
func (r Recovered) TornBytes() int64 { return r.torn }

// Fresh reports whether Open created the journal.
func (r Recovered) Fresh() bool { return r.fresh }

// Damage is the location of durable content that fails a check. Errors with
// poplar.CodeCorrupt wrap it.
type Damage struct {
	file   string
	offset int64
	reason error
}

// File returns the name of the damaged file.
func (d *Damage) File() string { return d.file }

// Offset returns the position of the damaged frame in the file, in bytes.
func (d *Damage) Offset() int64 { return d.offset }

// Unwrap returns the failed check.
func (d *Damage) Unwrap() error { return d.reason }

// Error implements error.
func (d *Damage) Error() string {
	return fmt.Sprintf("file %s is damaged at offset %d: %v", d.file, d.offset, d.reason)
}

func corruptError(file string, offset int, reason error) error {
	return poplar.Fail(poplar.StepDisk, poplar.CodeCorrupt, &Damage{file: file, offset: int64(offset), reason: reason})
}

var (
	errNoLog      = errors.New("log of the snapshot is missing")
	errNoSnapshot = errors.New("snapshot of the log is missing")
	errTrailing   = errors.New("unexpected data after the snapshot")
	errBitFlip    = errors.New("last frame has a single-bit error")
)

// Open opens the journal with the given name in files and creates it if missing.
// The name must not contain a dot or a separator. Open fails with
// poplar.CodeCorrupt if acknowledged content is possibly damaged, and with
// poplar.CodeDisk if the folder cannot be read or written.
func Open(files poplar.Files, name string) (*Journal, Recovered, error) {
	j, recovered, err := open(files, name)
	var e *poplar.Error
	if err != nil && !errors.As(err, &e) {
		err = poplar.Fail(poplar.StepDisk, poplar.CodeDisk, fmt.Errorf("open journal %s: %w", name, err))
	}
	return j, recovered, err
}

func open(files poplar.Files, name string) (*Journal, Recovered, error) {
	if name == "" || strings.ContainsAny(name, "./\\") {
		return nil, Recovered{}, fmt.Errorf("journal name %q is empty or has a dot or a separator", name)
	}
	found, err := findFiles(files, name)
	if err != nil {
		return nil, Recovered{}, err
	}
	if found.generation == 0 {
		return create(files, name, found)
	}
	// A rename can be visible before it is durable. It must be durable before
	// later writes depend on it.
	if err := files.SyncDir(); err != nil {
		return nil, Recovered{}, err
	}
	j := &Journal{files: files, name: name, generation: found.generation}
	recovered, err := j.load()
	if err != nil {
		return nil, Recovered{}, err
	}
	if j.log, err = files.Append(logName(name, j.generation)); err != nil {
		return nil, Recovered{}, err
	}
	// A process that ends between write and sync leaves a frame that is readable
	// but not durable.
	if err := j.log.Sync(); err != nil {
		j.log.Close()
		return nil, Recovered{}, err
	}
	for _, file := range found.obsolete {
		_ = files.Remove(file)
	}
	return j, recovered, nil
}

// journalFiles lists the files of one journal in a folder.
type journalFiles struct {
	generation uint64   // invariant: highest generation with a snapshot, or 0
	obsolete   []string // invariant: files of other generations, and unfinished ones
	logs       []string // invariant: all logs
}

func findFiles(files poplar.Files, name string) (journalFiles, error) {
	var found journalFiles
	names, err := files.List()
	if err != nil {
		return found, err
	}
	for _, n := range names {
		generation, kind, ok := parseName(n, name)
		if ok && kind == "snap" && generation > found.generation {
			found.generation = generation
		}
	}
	for _, n := range names {
		generation, kind, ok := parseName(n, name)
		if !ok {
			continue
		}
		if kind == "log" {
			found.logs = append(found.logs, n)
		}
		if generation != found.generation || kind == "temp" {
			found.obsolete = append(found.obsolete, n)
		}
	}
	return found, nil
}

// parseName splits a file name into generation and kind. It reports false for
// files that do not belong to the journal.
func parseName(file, journal string) (generation uint64, kind string, ok bool) {
	parts := strings.Split(file, ".")
	if len(parts) != 3 || parts[0] != journal {
		return 0, "", false
	}
	generation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil || generation == 0 {
		return 0, "", false
	}
	return generation, parts[2], true
}

// create creates the first generation. If a log has records but no snapshot
// exists, the journal is not new but has lost its snapshot.
func create(files poplar.Files, name string, found journalFiles) (*Journal, Recovered, error) {
	for _, n := range found.logs {
		data, err := readFile(files, n)
		if err != nil {
			return nil, Recovered{}, err
		}
		if len(data) > frameHeader {
			return nil, Recovered{}, corruptError(n, 0, errNoSnapshot)
		}
	}
	j := &Journal{files: files, name: name, generation: 1, firstOffset: frameHeader}
	log, err := prepareGeneration(files, name, j.generation, 0, nil)
	if err != nil {
		return nil, Recovered{}, err
	}
	j.log = log
	if err := installGeneration(files, name, j.generation); err != nil {
		log.Close()
		return nil, Recovered{}, err
	}
	return j, Recovered{fresh: true}, nil
}

// load reads the snapshot and the records and truncates a torn last frame.
func (j *Journal) load() (Recovered, error) {
	snap, log := snapName(j.name, j.generation), logName(j.name, j.generation)
	var recovered Recovered
	data, err := readFile(j.files, snap)
	if err != nil {
		return recovered, err
	}
	if recovered.snapshot, j.seq, err = decodeSnapshot(snap, data); err != nil {
		return recovered, err
	}
	if data, err = readFile(j.files, log); err != nil {
		return recovered, missingLogError(log, err)
	}
	end, err := j.replay(log, data, &recovered)
	if err != nil {
		return recovered, err
	}
	if end < len(data) {
		recovered.torn = int64(len(data) - end)
		if err := j.files.Truncate(log, int64(end)); err != nil {
			return recovered, err
		}
	}
	return recovered, nil
}

func missingLogError(file string, err error) error {
	if errors.Is(err, errNotExist) {
		return corruptError(file, 0, errNoLog)
	}
	return err
}

// replay decodes the log and returns the offset at which its valid part ends.
func (j *Journal) replay(file string, data []byte, recovered *Recovered) (int, error) {
	// The first frame was synced before the snapshot became current.
	_, offset, err := decodeFrame(data, j.seq)
	if err != nil {
		return 0, corruptError(file, 0, err)
	}
	j.firstOffset = int64(offset)
	for offset < len(data) {
		body, size, err := decodeFrame(data[offset:], j.seq+1)
		if err != nil {
			if containsFrame(data[offset:], j.seq+1) {
				return 0, corruptError(file, offset, err)
			}
			if hasSingleBitError(data[offset:]) {
				return 0, corruptError(file, offset, errBitFlip)
			}
			break
		}
		if recovered.records, err = decodeRecords(recovered.records, body); err != nil {
			return 0, corruptError(file, offset, err)
		}
		j.seq++
		offset += size
	}
	j.size = int64(offset) - j.firstOffset
	return offset, nil
}

func readFile(files poplar.Files, name string) ([]byte, error) {
	file, err := files.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return data, nil
}

// decodeSnapshot returns the snapshot and the sequence number of the last frame
// that it covers.
func decodeSnapshot(file string, data []byte) ([]byte, uint64, error) {
	if len(data) < frameHeader {
		return nil, 0, corruptError(file, 0, errTruncated)
	}
	seq := binary.LittleEndian.Uint64(data[8:])
	body, size, err := decodeFrame(data, seq)
	if err != nil {
		return nil, 0, corruptError(file, 0, err)
	}
	if size != len(data) {
		return nil, 0, corruptError(file, size, errTrailing)
	}
	return body, seq, nil
}
