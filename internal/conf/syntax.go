package conf

import (
	"bytes"
	"fmt"
	"strings"
)

// This file holds what is decided about the bytes of a file around the codec:
// the depth before it runs and the position in its error.

// deepAt returns the offset of the first bracket that nests deeper than
// mostDepth. Brackets in strings and comments do not count.
func deepAt(data []byte) (int, bool) {
	depth := 0
	for at := 0; at < len(data); at++ {
		switch data[at] {
		case '"':
			at = skipText(data, at)
		case '/':
			at = skipComment(data, at)
		case '{', '[':
			depth++
			if depth > mostDepth {
				return at, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipText returns the offset of the quote that ends the string at at.
func skipText(data []byte, at int) int {
	for at++; at < len(data) && data[at] != '"'; at++ {
		if data[at] == '\\' {
			at++
		}
	}
	return at
}

// skipComment returns the offset of the last byte of the comment at at, or at
// when there is none.
func skipComment(data []byte, at int) int {
	rest := data[at:]
	end, tail := []byte("\n"), 0
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
	case bytes.HasPrefix(rest, []byte("/*")):
		end, tail = []byte("*/"), 1
	default:
		return at
	}
	length := bytes.Index(rest[2:], end)
	if length < 0 {
		return len(data)
	}
	return at + 2 + length + tail
}

// syntax returns the offset and the text of a codec's error, which opens with
// "hujson: line L, column C: ".
func syntax(src *source, err error) (int, string) {
	text := err.Error()
	var line, column int
	if _, failed := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); failed != nil {
		return 0, text
	}
	_, text, _ = strings.Cut(text, ": ")
	_, text, _ = strings.Cut(text, ": ")
	offset := 0
	for ; line > 1; line-- {
		offset += strings.IndexByte(src.text[offset:], '\n') + 1
	}
	return offset + column - 1, text
}
