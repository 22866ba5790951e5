package poison

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBreaksCountOnEvidence plays testdata/breaks.txt. It guards against a crash that nobody
// notices because the router has nothing else to send to the upstream.
func TestBreaksCountOnEvidence(t *testing.T) {
	file, err := os.Open("testdata/breaks.txt")
	assert.NilError(t, err)
	defer file.Close()
	breaks, number := NewBreaks(), uint64(0)
	lines := bufio.NewScanner(file)
	for line := 1; lines.Scan(); line++ {
		event, want, _ := strings.Cut(lines.Text(), "=")
		fields := strings.Fields(event)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		if fields[0] == "new" {
			number++
			continue
		}
		ms, err := strconv.Atoi(fields[0])
		assert.NilError(t, err, "line %d", line)
		got := breaks.play(t, number, ms, fields[1:])
		assert.Equal(t, got, strings.TrimSpace(want), "line %d", line)
	}
	assert.NilError(t, lines.Err())
	breaks.Sweep(at(60_000))
	assert.Equal(t, breaks.Len(), 0)
}

// play plays an event of testdata/breaks.txt and returns what comes of it.
func (b *Breaks) play(t *testing.T, number uint64, ms int, event []string) string {
	t.Helper()
	argument := 0
	if len(event) > 1 {
		var err error
		argument, err = strconv.Atoi(event[1])
		assert.NilError(t, err)
	}
	evidence := EvidenceRefused
	switch event[0] {
	case "break":
		crashed, probe := b.Add("u", number, Break{Fingerprint: Fingerprint(argument), At: at(ms)})
		switch {
		case crashed:
			return "counts"
		case probe:
			return "probe"
		}
		return "-"
	case "answer":
		b.NoteAnswer("u", number, at(argument))
		return ""
	case "restart":
		evidence = EvidenceRestart
	}
	var prints []string
	for _, br := range b.NoteEnd("u", number, evidence, at(ms)) {
		prints = append(prints, fmt.Sprint(br.Fingerprint))
	}
	return strings.Join(prints, " ")
}

// TestRoutersAreToldOfRecordsThatCount reports the requests that were in flight at two crashes to
// a control daemon. It guards against a fleet that is told of each stream at each crash.
func TestRoutersAreToldOfRecordsThatCount(t *testing.T) {
	control := NewRegistry(DefaultSettings())
	report := func(number uint64, breaks ...Break) int {
		router := NewRegistry(DefaultSettings())
		return len(control.MergeReports(router.RecordBreaks("u", number, breaks, at(int(number)))))
	}
	assert.Equal(t, report(1, Break{Fingerprint: 1, Begun: true}, Break{Fingerprint: 2, Begun: true}), 0, "only crash of begun streams")
	assert.Equal(t, report(1, Break{Fingerprint: 3}), 1, "a request without an answer")
	assert.Equal(t, report(2, Break{Fingerprint: 1, Begun: true}, Break{Fingerprint: 4, Begun: true}), 1, "a second crash")
	assert.Equal(t, report(2, Break{Fingerprint: 1, Begun: true}), 0, "nothing new")
	cleared := []Record{control.Release(2, at(9)), {Fingerprint: 1, Cleared: at(9)}}
	assert.Equal(t, len(control.MergeReports(cleared)), 1, "a clearing of what was told")
}
