// Package meter holds the measurements of the fleet. Each measurement drives
// real parts with small fakes, uses a fixed seed and ends in bounded time.
package meter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
)

// This file holds the sheet that measurements write to and their register.

// Figure is one measured value, printed as one JSON line.
type Figure struct {
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Target string  `json:"target"`
	// Held is true when the value meets the target or has none.
	Held bool `json:"held"`
}

// Sheet collects the figures of one measurement. It is safe for concurrent
// use.
type Sheet struct {
	mu     sync.Mutex
	out    *json.Encoder // invariant: guarded by mu
	missed int           // invariant: figures written with held false
}

// NewSheet returns a sheet that prints each figure to w as it arrives.
func NewSheet(w io.Writer) *Sheet {
	return &Sheet{out: json.NewEncoder(w)}
}

// Note writes a figure that has no target.
func (s *Sheet) Note(name string, value float64, unit string) {
	s.write(Figure{Name: name, Value: value, Unit: unit, Held: true})
}

// AtMost writes a figure whose target is a value of at most bound.
func (s *Sheet) AtMost(name string, value float64, unit string, bound float64) {
	target := fmt.Sprintf("<= %g", bound)
	s.write(Figure{Name: name, Value: value, Unit: unit, Target: target, Held: value <= bound})
}

// AtLeast writes a figure whose target is a value of at least bound.
func (s *Sheet) AtLeast(name string, value float64, unit string, bound float64) {
	target := fmt.Sprintf(">= %g", bound)
	s.write(Figure{Name: name, Value: value, Unit: unit, Target: target, Held: value >= bound})
}

// Missed returns the number of figures that missed their target.
func (s *Sheet) Missed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missed
}

func (s *Sheet) write(f Figure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f.Held {
		s.missed++
	}
	// The sheet is a report to a terminal: a failed write has nobody to tell.
	_ = s.out.Encode(f)
}

// Measurement is one named measurement.
type Measurement func(ctx context.Context, out *Sheet) error

// register maps each measurement's name to its code.
var register = map[string]Measurement{}

// Add registers m under name. A file of this package calls it in a variable
// declaration, before main starts.
func Add(name string, m Measurement) bool {
	register[name] = m
	return true
}

// Names returns the names of all measurements in order.
func Names() []string {
	names := make([]string, 0, len(register))
	for name := range register {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Run runs the named measurement and returns an error when it is unknown, when
// it fails, or when a target is missed.
func Run(ctx context.Context, name string, out *Sheet) error {
	m, ok := register[name]
	if !ok {
		return fmt.Errorf("measurement %q is unknown; the names are %v", name, Names())
	}
	if err := m(ctx, out); err != nil {
		return fmt.Errorf("measure %s: %w", name, err)
	}
	if n := out.Missed(); n > 0 {
		return fmt.Errorf("measure %s: %d targets are missed", name, n)
	}
	return nil
}
