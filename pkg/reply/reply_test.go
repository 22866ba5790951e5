package reply

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// rule is a line of testdata/answers.txt. A cell of "*" matches everything.
type rule struct {
	low, high                           int // of the status
	stated, seal, kinds, attempts, body []string
	verdict                             string
	caller                              [2]string // by whether an earlier attempt may have run
}

// cell is one combination of an answer and a request.
type cell struct {
	status                             int
	stated, seal, kind, attempts, body string
	later                              bool // an earlier attempt may have run
}

var (
	yesNo  = []string{"no", "yes"}
	kinds  = []string{"safe", "unsafe", "stream", "resumable"}
	bodies = []string{"whole", "cut", "empty"}
)

func (r rule) matches(c cell) bool {
	has := func(list []string, value string) bool { return list[0] == "*" || slices.Contains(list, value) }
	return c.status >= r.low && c.status <= r.high && has(r.stated, c.stated) && has(r.seal, c.seal) &&
		has(r.kinds, c.kind) && has(r.attempts, c.attempts) && has(r.body, c.body)
}

func readRules(t *testing.T) []rule {
	t.Helper()
	file, err := os.Open("testdata/answers.txt")
	assert.NilError(t, err)
	defer file.Close()
	var rules []rule
	for lines := bufio.NewScanner(file); lines.Scan(); {
		f := strings.Fields(lines.Text())
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		assert.Equal(t, len(f), 9, "%q", f)
		list := func(i int) []string { return strings.Split(f[i], ",") }
		r := rule{stated: list(1), seal: list(2), kinds: list(3), attempts: list(4), body: list(5), verdict: f[6], caller: [2]string{f[7], f[8]}}
		low, high, isRange := strings.Cut(f[0], "-")
		if !isRange {
			high = low
		}
		if f[0] == "*" {
			low, high = "200", "599"
		}
		r.low, err = strconv.Atoi(low)
		assert.NilError(t, err)
		r.high, err = strconv.Atoi(high)
		assert.NilError(t, err)
		rules = append(rules, r)
	}
	return rules
}

// allCells returns every combination.
func allCells() []cell {
	var list []cell
	for status := http.StatusOK; status < 600; status++ {
		for _, stated := range yesNo {
			for _, seal := range yesNo {
				for _, kind := range kinds {
					for _, attempts := range []string{"more", "last"} {
						for _, body := range bodies {
							for _, later := range []bool{false, true} {
								list = append(list, cell{status, stated, seal, kind, attempts, body, later})
							}
						}
					}
				}
			}
		}
	}
	return list
}

// outcome returns the verdict on a cell, and the status that the caller gets if nothing else
// is sent.
func outcome(c cell) (Verdict, string) {
	r := Request{
		Repeatable: c.kind == "safe" || c.kind == "resumable", Streams: c.kind == "stream" || c.kind == "resumable", MayRepeat: c.attempts == "more",
	}
	v := Decide(Answer{Status: c.status, Unrun: c.stated == "yes", Sealed: c.seal == "yes"}, r)
	if v.NeedsBody() && c.body == "cut" {
		v = Broken
	}
	switch v {
	case Streamed:
		return v, "none"
	case Delivered, Repeated:
		return v, "same"
	}
	return v, strconv.Itoa(Failure(v == Refused && !c.later, false))
}

// TestAnswers checks every combination of an answer and a request against
// testdata/answers.txt. It guards against a status of an upstream that tells the caller of a
// request which has run that it has not.
func TestAnswers(t *testing.T) {
	rules := readRules(t)
	for _, c := range allCells() {
		i := slices.IndexFunc(rules, func(r rule) bool { return r.matches(c) })
		assert.Assert(t, i >= 0, "no rule for %+v", c)
		want := rules[i].caller[0]
		if c.later {
			want = rules[i].caller[1]
		}
		verdict, caller := outcome(c)
		assert.Equal(t, fmt.Sprint(verdict, " ", caller), rules[i].verdict+" "+want, "%+v", c)
	}
}

// TestOnlyTrueStatementsPromise checks for every combination that the caller of a request which
// may run once gets a status that promises only if the upstream stated that it did not run it
// and no earlier attempt may have.
func TestOnlyTrueStatementsPromise(t *testing.T) {
	for _, c := range allCells() {
		verdict, caller := outcome(c)
		status := c.status
		if caller != "same" && caller != "none" {
			status, _ = strconv.Atoi(caller)
		}
		repeatable := c.kind == "safe" || c.kind == "resumable"
		stated := (c.stated == "yes" || c.status == http.StatusMisdirectedRequest) && !c.later
		assert.Assert(t, repeatable || !Promises(status) || stated, "%+v: %s, %d", c, verdict, status)
	}
}

// TestStatementNeedsOwnAnswer checks which answers count as that to a request: a statement in a
// late answer to another request says nothing about this one.
func TestStatementNeedsOwnAnswer(t *testing.T) {
	assert.Assert(t, Answers("a", "a", false) && Answers("a", "a", true))
	assert.Assert(t, Answers("", "a", false) && !Answers("", "a", true))
	assert.Assert(t, !Answers("b", "a", false) && !Answers("b", "a", true))
}

// TestRestOfStream checks that nothing but events is taken for the rest of a stream that was
// begun, and that a refusal to go on is not held against the request.
func TestRestOfStream(t *testing.T) {
	r := Request{Repeatable: true, Streams: true, MayRepeat: true, Begun: true}
	for status := http.StatusOK; status < 600; status++ {
		want := Broken
		switch {
		case status < http.StatusMultipleChoices:
			want = Streamed
		case status == http.StatusMisdirectedRequest:
			want = Refused
		}
		assert.Equal(t, Decide(Answer{Status: status, Sealed: true}, r), want, "%d", status)
		assert.Equal(t, Decide(Answer{Status: status, Sealed: true, Unrun: true}, r), Refused, "%d", status)
	}
}
