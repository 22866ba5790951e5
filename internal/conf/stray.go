package conf

import (
	"fmt"
	"sort"
	"strings"
)

// This file holds the strays: what is wrong in a file, and where.

// mostStrays bounds the strays that one check reports.
const mostStrays = 100

// Stray is one mistake in a file.
type Stray struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Column counts bytes from 1.
	Column int `json:"column"`
	// Field is the path of names from the root, joined by dots, or "" for the
	// file as a whole.
	Field string `json:"field,omitempty"`
	Text  string `json:"text"`
}

// String returns "file:line:column: field: text".
func (s Stray) String() string {
	where := fmt.Sprintf("%s:%d:%d: ", s.File, s.Line, s.Column)
	if s.Field != "" {
		where += s.Field + ": "
	}
	return where + s.Text
}

// Strays is the error of a check: all strays in the order of files and lines.
type Strays []Stray

// Error implements error with one stray a line.
func (s Strays) Error() string {
	lines := make([]string, len(s))
	for i, stray := range s {
		lines[i] = stray.String()
	}
	return strings.Join(lines, "\n")
}

// sheet collects strays.
type sheet struct {
	found Strays
	more  int // invariant: strays seen after mostStrays
}

// add notes a stray at offset in src.
func (s *sheet) add(src *source, offset int, field, format string, args ...any) {
	if len(s.found) == mostStrays {
		s.more++
		return
	}
	line, column := src.position(offset)
	text := fmt.Sprintf(format, args...)
	s.found = append(s.found, Stray{File: src.name, Line: line, Column: column, Field: field, Text: text})
}

// err returns the strays as an error, or nil when there are none.
func (s *sheet) err() error {
	if len(s.found) == 0 {
		return nil
	}
	sort.SliceStable(s.found, func(i, j int) bool {
		a, b := s.found[i], s.found[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	if s.more > 0 {
		last := s.found[len(s.found)-1]
		last.Field, last.Text = "", fmt.Sprintf("and %d more", s.more)
		s.found = append(s.found, last)
	}
	return s.found
}

// source is one file.
type source struct {
	name string
	text string
}

// position returns the line and column of offset, both from 1.
func (s *source) position(offset int) (line, column int) {
	before := s.text[:min(max(offset, 0), len(s.text))]
	line = 1 + strings.Count(before, "\n")
	column = len(before) - strings.LastIndexByte(before, '\n')
	return line, column
}

// path is the way from the root to a field; it is rendered for strays only.
type path struct {
	up   *path // invariant: nil at the root
	name string
}

// to returns the path of the field name below p.
func (p *path) to(name string) *path { return &path{up: p, name: name} }

// String returns the names from the root, joined by dots.
func (p *path) String() string {
	if p == nil {
		return ""
	}
	if p.up == nil {
		return p.name
	}
	return p.up.String() + "." + p.name
}
