// Package trial runs the property tests of a package with a fixed seed, so that
// every run reaches the same verdict.
package trial

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// This file holds the defaults of the property tests.

// defaults are the flags of package rapid that a run has unless its command
// line sets them: another seed or more checks, for a longer run.
var defaults = map[string]string{
	"rapid.seed":       "1",
	"rapid.nofailfile": "true",
}

// Run sets the defaults, runs the tests of m and returns the exit status for
// TestMain. The package under test must import rapid in its tests.
func Run(m *testing.M) int {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range defaults {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, "trial:", err)
			return 1
		}
	}
	return m.Run()
}
