package guard

import "bytes"

// This file finds the end of a head.

// headScanner follows the lines of one head, up to the empty line that ends it. The zero
// value is at the start of a head. Empty lines before the first other line belong to the head,
// since net/http skips some after a POST.
type headScanner struct {
	length int  // bytes of the line so far
	last   byte // last byte of the line so far
	filled bool // true once a line was not empty
	ended  bool // true once the head is whole
}

// scan returns the number of bytes of data that belong to the head, and of lines that end in
// them.
func (s *headScanner) scan(data []byte) (size, lines int) {
	for size < len(data) && !s.ended {
		end := bytes.IndexByte(data[size:], '\n')
		if end < 0 {
			s.extend(data[size:])
			return len(data), lines
		}
		s.extend(data[size : size+end])
		size += end + 1
		lines++
		if s.length == 0 || s.length == 1 && s.last == '\r' {
			s.ended = s.filled
		} else {
			s.filled = true
		}
		s.length = 0
	}
	return size, lines
}

// extend adds bytes to the current line.
func (s *headScanner) extend(part []byte) {
	if len(part) > 0 {
		s.length += len(part)
		s.last = part[len(part)-1]
	}
}
