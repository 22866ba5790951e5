package ledger_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

// This file drives the aggregates along traces of models/claims.pml, from
// testdata/claims. The traces run-N are random runs of the model; the traces
// without-RULE are the shortest ways in which the model breaks without a rule,
// on which the code must not follow.

// home is a member of the home domain's pair.
type home struct {
	copy    *ledger.Copy
	feed    ledger.Feed
	primary bool
	epoch   poplar.Epoch
	due     map[slot]claim.Reply // answers that wait for the copy
}

// slot is one ask of a domain.
type slot struct{ domain, no int }

// asker is the ledger of an asking domain.
type asker struct {
	machine *ledger.Machine
	journal [][]byte
	durable int
	pleas   []claim.Request // by number of the ask
	state   string
	attempt poplar.Attempt
}

type trace struct {
	t      *testing.T
	asks   [2]*asker
	homes  [2]*home
	yours  map[slot]claim.Reply
	epoch  poplar.Epoch
	leader int
	solo   bool
	runs   int
	now    time.Time
}

func newTrace(t *testing.T) *trace {
	x := &trace{t: t, yours: map[slot]claim.Reply{}, epoch: 1, now: time.UnixMilli(1_700_000_000_000)}
	for i := range 2 {
		m := ledger.New(poplar.Domain(fmt.Sprint("d", i)), limits)
		a := &asker{machine: m}
		x.asks[i] = a
		x.apply(a, m.Name(1, "a", "", m.NextRun(1)))
		x.apply(a, m.Issue([]ledger.Share{{Budget: "b", Serial: 1, Issued: 1000}}))
		a.durable = len(a.journal)
		x.homes[i] = &home{copy: ledger.NewCopy(ledger.New("h", limits), limits, 0), due: map[slot]claim.Reply{}}
		x.hear(i)
	}
	return x
}

func (x *trace) apply(a *asker, records []ledger.Record) {
	for i := range records {
		a.journal = append(a.journal, records[i].Append(nil))
		assert.NilError(x.t, a.machine.Apply(&records[i]))
	}
}

func (x *trace) change(m int, records []ledger.Record) {
	h := x.homes[m]
	for i := range records {
		data := records[i].Append(nil)
		assert.NilError(x.t, h.copy.Machine().Apply(&records[i]))
		h.feed.Add(h.copy.Machine().Seq(), data)
	}
}

func (x *trace) hear(m int) {
	h := x.homes[m]
	h.copy.Hear(x.epoch)
	h.epoch, h.primary, h.feed = x.epoch, m == x.leader, ledger.Feed{}
	if !h.primary {
		return
	}
	h.copy.Detach()
	names := [2]poplar.Daemon{"h0", "h1"}
	backup := names[1-m]
	if x.solo {
		backup = ""
	}
	machine := h.copy.Machine()
	run := machine.NextRun(x.epoch)
	h.feed = ledger.NewFeed(x.epoch, run, names[m], backup, 0, 0)
	x.change(m, machine.Name(x.epoch, names[m], backup, run))
}

func key9() poplar.Request { return poplar.NewRequest("w", "k") }

// step does one step of the model as far as the code allows it. It reports
// whether the code did what the model did.
func (x *trace) step(name string, n []int) bool {
	switch name {
	case "ask", "sync", "dispatch", "undo", "crash", "settle", "expire":
		return x.domain(name, n[0], x.asks[n[0]])
	case "name":
		x.epoch++
		x.leader, x.solo = n[0], n[1] == 1
	case "hear":
		x.hear(n[0])
	default:
		return x.home(name, n)
	}
	return true
}

func (x *trace) domain(name string, d int, a *asker) bool {
	record := a.machine.Claims().Record(key9())
	settle := poplar.Settlement{Workspace: "w", Key: "k", Attempt: a.attempt}
	switch name {
	case "ask":
		decision := a.machine.Reserve(once("k"), []poplar.Domain{"h"}, x.now)
		if decision.Err != nil || decision.Grant.Verdict != poplar.VerdictRun {
			return false
		}
		x.apply(a, decision.Records)
		a.pleas = append(a.pleas, *decision.Plea)
		a.state, a.attempt = "claiming", decision.Grant.Attempt
	case "sync":
		a.durable = len(a.journal)
	case "dispatch":
		last := slot{d, len(a.pleas)}
		reply, answered := x.yours[last]
		if a.state != "claiming" || a.durable < len(a.journal) || !answered || reply.Nonce != a.pleas[last.no-1].Nonce {
			return false
		}
		x.runs++
		a.state = "running"
	case "undo":
		settle.Outcome = poplar.OutcomeNotRun
		x.apply(a, a.machine.Settle(settle, []poplar.Domain{"h"}, x.now).Records)
		a.state = ""
	case "crash":
		x.crash(a)
	case "settle":
		settle.Outcome, settle.Spent = poplar.OutcomeDone, 1
		if a.state != "running" {
			return false
		}
		x.apply(a, a.machine.Settle(settle, []poplar.Domain{"h"}, x.now).Records)
		a.state = "done"
	case "expire":
		if record == nil || record.State() != claim.Settled {
			return false
		}
		x.apply(a, []ledger.Record{{Kind: ledger.KindConfirm, Workspace: "w", Key: "k"}})
		x.now = x.now.Add(2 * limits.Window)
		x.apply(a, a.machine.Expire(x.now))
		assert.Assert(x.t, a.machine.Claims().Record(key9()) == nil)
	}
	return true
}

func (x *trace) crash(a *asker) {
	machine := ledger.New(a.machine.Domain(), limits)
	a.journal = a.journal[:a.durable:a.durable]
	for _, data := range a.journal {
		r, err := ledger.Decode(data)
		assert.NilError(x.t, err)
		assert.NilError(x.t, machine.Apply(&r))
	}
	a.machine, a.state = machine, ""
	x.apply(a, machine.Name(1, "a", "", machine.NextRun(1)))
	a.durable = len(a.journal)
	x.apply(a, machine.RouterGone("r", x.now))
}

func (x *trace) home(name string, n []int) bool {
	m := n[0]
	h := x.homes[m]
	if !h.primary {
		return false
	}
	machine := h.copy.Machine()
	if name == "copy" {
		return x.copy(m)
	}
	if name == "forget" {
		x.now = x.now.Add(2 * limits.Window)
		x.change(m, machine.Expire(x.now))
		return machine.Claims().Claim(key9()) == nil
	}
	a := x.asks[n[1]]
	if name == "merge" {
		plea := a.pleas[len(a.pleas)-1]
		plea.Op = claim.OpSettle
		records, _ := machine.Plead(plea, x.now)
		x.change(m, records)
		return true
	}
	if n[2] > len(a.pleas) {
		return false
	}
	plea := a.pleas[n[2]-1]
	if name == "release" {
		plea.Op = claim.OpRelease
	}
	records, reply := machine.Plead(plea, x.now)
	x.change(m, records)
	if name == "claim" && reply.Decision == claim.DecisionGranted {
		h.due[slot{n[1], n[2]}] = reply
	}
	return true
}

// copy sends what the member decided to the other one; what is acknowledged is
// answered.
func (x *trace) copy(m int) bool {
	h, other := x.homes[m], x.homes[1-m]
	last := h.copy.Machine().Seq()
	for h.feed.Backup() != "" && h.feed.Copied() < last {
		request, some := h.feed.Next(h.copy.Machine(), last)
		if !some {
			return false
		}
		if other.primary && request.Epoch > other.epoch {
			other.primary, other.feed = false, ledger.Feed{}
		}
		_, reply, err := other.copy.Take(request)
		assert.NilError(x.t, err)
		if other.primary || reply.Stale {
			h.primary, h.feed = false, ledger.Feed{}
			clear(h.due)
			return false
		}
		h.feed.Take(request, reply, last)
	}
	for s, reply := range h.due {
		x.yours[s] = reply
	}
	clear(h.due)
	return true
}

// once returns a non-idempotent ask.
func once(key poplar.Key) poplar.ReserveRequest {
	return poplar.ReserveRequest{
		Workspace: "w", Budget: "b", Key: key, Keyed: true, Digest: 1, MaxTokens: 1, Router: "r", Upstream: "u",
	}
}

func TestModelTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/claims/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 10)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		x := newTrace(t)
		dispatched, followed := 0, true
		for i, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
			words := strings.Fields(line)
			var numbers []int
			for _, word := range words[1:] {
				numbers = append(numbers, int(word[0]-'0'))
			}
			ok := x.step(words[0], numbers)
			followed = followed && ok
			if words[0] == "dispatch" {
				dispatched++
			}
			assert.Assert(t, x.runs <= 1, "%s:%d: P5: the request ran twice", file, i+1)
			if strings.HasPrefix(filepath.Base(file), "run-") && words[0] == "dispatch" {
				assert.Assert(t, ok, "%s:%d: the code refuses what the model does", file, i+1)
			}
		}
		if strings.HasPrefix(filepath.Base(file), "run-") {
			assert.Equal(t, x.runs, dispatched, file)
		} else {
			assert.Assert(t, !followed, "%s: the code follows a model without the rule", file)
		}
	}
}
