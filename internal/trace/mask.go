package trace

import (
	"io"
	"regexp"
	"strings"
	"unicode/utf8"
)

// This file holds the mask that keeps credentials out of logs and spans.

// credential finds bearer credentials, as in RFC 6750, section 2.1, and keys
// with the usual prefixes of issued keys.
var credential = regexp.MustCompile(`(?i)\b(bearer(?:\s|%20|\+)+|(?:sk|pbk)-)[A-Za-z0-9._~+/=-]+`)

// replacement keeps the kind of a credential and drops the rest.
const replacement = "${1}[redacted]"

// Mask returns text with credentials replaced.
func Mask(text string) string {
	return credential.ReplaceAllString(text, replacement)
}

// masker is a writer that masks each write. A logger writes whole lines, so no
// credential is split over two writes.
type masker struct {
	out io.Writer
}

// mayHold reports whether the text may hold a credential. It is much faster than the
// expression, whose letters also match some characters beyond ASCII.
func mayHold(p []byte) bool {
	for i, c := range p {
		switch {
		case c >= utf8.RuneSelf:
			return true
		case c == '-' && i > 0 && p[i-1]|' ' == 'k':
			return true
		case c|' ' == 'b' && len(p)-i >= len(bearer) && strings.EqualFold(string(p[i:i+len(bearer)]), bearer):
			return true
		}
	}
	return false
}

const bearer = "bearer"

// Write implements io.Writer. It reports the length of p, not of what it wrote.
func (m masker) Write(p []byte) (int, error) {
	if mayHold(p) && credential.Match(p) {
		if _, err := m.out.Write(credential.ReplaceAll(p, []byte(replacement))); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	return m.out.Write(p)
}
