package state_test

import (
	"bufio"
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/state"
)

var digest = regexp.MustCompile(`[0-9a-f]{16}`)

// TestScripts applies the commands of each file and compares the replies. A
// second run restores the state from a snapshot before every command.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, name := range files {
		for _, restored := range []bool{false, true} {
			t.Run(name, func(t *testing.T) { runScript(t, name, restored) })
		}
	}
}

func runScript(t *testing.T, name string, restored bool) {
	text, err := os.ReadFile(name)
	assert.NilError(t, err)
	s := state.New()
	var reply []byte
	index, lines := poplar.Index(0), bufio.NewScanner(bytes.NewReader(text))
	for line := 1; lines.Scan(); line++ {
		sign, rest, _ := strings.Cut(lines.Text(), " ")
		switch sign {
		case ">":
			if restored {
				next := state.New()
				assert.NilError(t, next.Restore(s.Snapshot()))
				s = next
			}
			index++
			reply = s.Apply(index, []byte(rest))
		case "<":
			got := digest.ReplaceAllString(string(reply), "DIGEST")
			assert.Equal(t, got, rest, "%s:%d", name, line)
		}
	}
}

func TestAppliedIndexIsRefused(t *testing.T) {
	s := state.New()
	s.Apply(5, nil)
	reply, err := state.Decode[state.Reply](s.Apply(5, []byte(`{"member":{"name":"d","domain":"x","life":1}}`)))
	assert.NilError(t, err)
	assert.Equal(t, poplar.CodeOf(reply.Err()), poplar.CodeStale)
	assert.Equal(t, len(s.Members()), 0)
}
