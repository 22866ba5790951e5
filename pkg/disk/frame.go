package disk

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math/bits"
)

// This file implements the frame, a checksummed batch of records and the unit of
// writing.
//
// A frame consists of the CRC-32C checksum (4 bytes), the length of the body (4),
// the sequence number (8) and the body, all little-endian. The checksum covers
// everything after it. One Sync writes exactly one frame, so a crash can damage
// only the last frame, in whatever order the pages reach the disk.

const (
	// frameHeader is the size of a frame without its body, in bytes.
	frameHeader = 16
	// MaxRecord is the size of the largest record, in bytes.
	MaxRecord = 16 << 20
	// maxBody is the size of the largest body of a frame, in bytes.
	maxBody = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errTruncated = errors.New("frame is truncated")
	errChecksum  = errors.New("checksum does not match")
	errOrder     = errors.New("sequence number is out of order")
	errLength    = errors.New("record length is out of range")
)

// appendFrame appends a frame with the given body to dst.
func appendFrame(dst []byte, seq uint64, body []byte) []byte {
	start := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(body)))
	dst = binary.LittleEndian.AppendUint64(dst, seq)
	dst = append(dst, body...)
	sum := crc32.Checksum(dst[start+4:], castagnoli)
	binary.LittleEndian.PutUint32(dst[start:], sum)
	return dst
}

// decodeFrame returns the body of the frame at the start of data and the size
// of the frame. The body aliases data.
func decodeFrame(data []byte, seq uint64) (body []byte, size int, err error) {
	if len(data) < frameHeader {
		return nil, 0, errTruncated
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if uint64(length) > uint64(len(data)-frameHeader) {
		return nil, 0, errTruncated
	}
	size = frameHeader + int(length)
	if crc32.Checksum(data[4:size], castagnoli) != binary.LittleEndian.Uint32(data) {
		return nil, size, errChecksum
	}
	if binary.LittleEndian.Uint64(data[8:]) != seq {
		return nil, size, errOrder
	}
	return data[frameHeader:size], size, nil
}

// appendRecord appends one record of a batch to a body.
func appendRecord(body, record []byte) []byte {
	body = binary.AppendUvarint(body, uint64(len(record)))
	return append(body, record...)
}

// decodeRecords appends the records of a body to records. They alias body.
func decodeRecords(records [][]byte, body []byte) ([][]byte, error) {
	for len(body) > 0 {
		length, n := binary.Uvarint(body)
		if n <= 0 || length > MaxRecord || length > uint64(len(body)-n) {
			return nil, errLength
		}
		end := n + int(length)
		records = append(records, body[n:end:end])
		body = body[end:]
	}
	return records, nil
}

// containsFrame reports whether a valid frame with a sequence number of at least
// seq starts anywhere in data.
func containsFrame(data []byte, seq uint64) bool {
	for len(data) >= frameHeader {
		candidate := binary.LittleEndian.Uint64(data[8:])
		if candidate >= seq && candidate-seq <= uint64(len(data)) {
			if _, _, err := decodeFrame(data, candidate); err == nil {
				return true
			}
		}
		data = data[1:]
	}
	return false
}

// hasSingleBitError reports whether data, the last frame, fails its checksum by a
// single flipped bit. A torn write loses whole sectors, so a single flipped bit is
// damage to a record that may have been acknowledged.
func hasSingleBitError(data []byte) bool {
	if len(data) < frameHeader {
		return false
	}
	stored := binary.LittleEndian.Uint32(data)
	syndrome := stored ^ crc32.Checksum(data[4:], castagnoli)
	if bits.OnesCount32(syndrome) == 1 {
		return true
	}
	lengthDiff := binary.LittleEndian.Uint32(data[4:]) ^ uint32(len(data)-frameHeader)
	if bits.OnesCount32(lengthDiff) > 1 {
		return false
	}
	// The checksum is linear: a flipped bit k places before the end changes it
	// by the value of a register that starts at 1 and is shifted k+1 times.
	shifted := uint32(1)
	for range 8 * (len(data) - 4) {
		low := shifted & 1
		shifted >>= 1
		if low == 1 {
			shifted ^= crc32.Castagnoli
		}
		if shifted == syndrome {
			return true
		}
	}
	return false
}
