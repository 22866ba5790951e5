package guard

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzHeadScanner reads a head in one piece and in two. The split must not matter, and a head
// ends with its first empty line after another one: a scanner that misses the end counts the
// body as a head, and one that finds it too early lets the rest of the head uncounted.
func FuzzHeadScanner(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nbody", "GET / HTTP/1.1\nHost: a\n\nbody", "\r\n\r\nGET /\r\n\r\n",
		"\n\n\n", "\r\r\n\r\n", "a\r\n\r", "a\n\r\r\n\n", "",
	} {
		f.Add([]byte(seed), len(seed)/2)
	}
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		split = max(0, min(split, len(data)))
		var whole, parts headScanner
		size, lines := whole.scan(data)
		first, firstLines := parts.scan(data[:split])
		second, secondLines := 0, 0
		if !parts.ended {
			second, secondLines = parts.scan(data[split:])
		}
		assert.Equal(t, first+second, size)
		assert.Equal(t, firstLines+secondLines, lines)
		assert.Equal(t, parts.ended, whole.ended)
		assert.Equal(t, lines, bytes.Count(data[:size], []byte("\n")))

		filled, end := false, -1
		rest := data
		for end < 0 {
			line, after, found := bytes.Cut(rest, []byte("\n"))
			if !found {
				break
			}
			rest = after
			empty := len(line) == 0 || string(line) == "\r"
			if empty && filled {
				end = len(data) - len(rest)
			}
			filled = filled || !empty
		}
		assert.Equal(t, whole.ended, end >= 0)
		if end >= 0 {
			assert.Equal(t, size, end)
		} else {
			assert.Equal(t, size, len(data))
		}
	})
}
