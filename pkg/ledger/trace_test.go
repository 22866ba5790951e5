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

// This file replays traces of models/claims.pml, from testdata/claims, on the
// ledger. The traces run-N are random runs of the model, in which the ledger must
// allow every dispatch. The traces without-RULE are the shortest runs in which the model fails
// when it lacks that rule; the ledger must refuse at least one of their steps.

// homeMember is a member of the home domain's pair.
type homeMember struct {
	copy          *ledger.Replica
	feed          ledger.Feed
	primary       bool
	epoch         poplar.Epoch
	unsentReplies map[requestSlot]claim.Reply // replies that wait for the backup
}

// requestSlot identifies one reservation request of a domain.
type requestSlot struct{ domain, number int }

// askingDomain is the ledger of a domain that requests claims.
type askingDomain struct {
	machine       *ledger.Machine
	journal       [][]byte
	durable       int
	claimRequests []claim.Request // by number of the reservation request, from 1
	state         string
	attempt       poplar.Attempt
}

// traceRun is the state of the ledgers during a trace.
type traceRun struct {
	t        *testing.T
	askers   [2]*askingDomain
	homes    [2]*homeMember
	granted  map[requestSlot]claim.Reply
	epoch    poplar.Epoch
	primary  int
	noBackup bool
	runs     int
	now      time.Time
}

func newTraceRun(t *testing.T) *traceRun {
	x := &traceRun{t: t, granted: map[requestSlot]claim.Reply{}, epoch: 1, now: time.UnixMilli(1_700_000_000_000)}
	for i := range 2 {
		m := ledger.New(poplar.Domain(fmt.Sprint("d", i)), limits)
		a := &askingDomain{machine: m}
		x.askers[i] = a
		x.apply(a, m.SetPair(1, "a", "", m.NextRun(1)))
		x.apply(a, m.Issue([]ledger.Share{{Budget: "b", Serial: 1, Issued: 1000}}))
		a.durable = len(a.journal)
		x.homes[i] = &homeMember{copy: ledger.NewReplica(ledger.New("h", limits), limits, 0), unsentReplies: map[requestSlot]claim.Reply{}}
		x.learnPair(i)
	}
	return x
}

func (x *traceRun) apply(a *askingDomain, records []ledger.Record) {
	for i := range records {
		a.journal = append(a.journal, records[i].Append(nil))
		assert.NilError(x.t, a.machine.Apply(&records[i]))
	}
}

func (x *traceRun) applyAtHome(m int, records []ledger.Record) {
	h := x.homes[m]
	for i := range records {
		data := records[i].Append(nil)
		assert.NilError(x.t, h.copy.Machine().Apply(&records[i]))
		h.feed.Add(h.copy.Machine().Seq(), data)
	}
}

func (x *traceRun) learnPair(m int) {
	h := x.homes[m]
	h.copy.RaiseEpoch(x.epoch)
	h.epoch, h.primary, h.feed = x.epoch, m == x.primary, ledger.Feed{}
	if !h.primary {
		return
	}
	h.copy.Detach()
	names := [2]poplar.Daemon{"h0", "h1"}
	backup := names[1-m]
	if x.noBackup {
		backup = ""
	}
	machine := h.copy.Machine()
	run := machine.NextRun(x.epoch)
	h.feed = ledger.NewFeed(x.epoch, run, names[m], backup, 0, 0)
	x.applyAtHome(m, machine.SetPair(x.epoch, names[m], backup, run))
}

func testRequest() poplar.Request { return poplar.NewRequest("w", "k") }

// step performs one step of the model if the ledger allows it, and reports
// whether the ledger did what the model did.
func (x *traceRun) step(name string, n []int) bool {
	switch name {
	case "ask", "sync", "dispatch", "undo", "crash", "settle", "expire":
		return x.stepDomain(name, n[0], x.askers[n[0]])
	case "name":
		x.epoch++
		x.primary, x.noBackup = n[0], n[1] == 1
	case "hear":
		x.learnPair(n[0])
	default:
		return x.stepHome(name, n)
	}
	return true
}

func (x *traceRun) stepDomain(name string, d int, a *askingDomain) bool {
	record := a.machine.Claims().Record(testRequest())
	settle := poplar.Settlement{Workspace: "w", Key: "k", Attempt: a.attempt}
	switch name {
	case "ask":
		decision := a.machine.Reserve(nonIdempotent("k"), []poplar.Domain{"h"}, x.now)
		if decision.Err != nil || decision.Grant.Verdict != poplar.VerdictRun {
			return false
		}
		x.apply(a, decision.Records)
		a.claimRequests = append(a.claimRequests, *decision.ClaimRequest)
		a.state, a.attempt = "claiming", decision.Grant.Attempt
	case "sync":
		a.durable = len(a.journal)
	case "dispatch":
		last := requestSlot{d, len(a.claimRequests)}
		reply, answered := x.granted[last]
		if a.state != "claiming" || a.durable < len(a.journal) || !answered || reply.Nonce != a.claimRequests[last.number-1].Nonce {
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
		assert.Assert(x.t, a.machine.Claims().Record(testRequest()) == nil)
	}
	return true
}

func (x *traceRun) crash(a *askingDomain) {
	machine := ledger.New(a.machine.Domain(), limits)
	a.journal = a.journal[:a.durable:a.durable]
	for _, data := range a.journal {
		r, err := ledger.Decode(data)
		assert.NilError(x.t, err)
		assert.NilError(x.t, machine.Apply(&r))
	}
	a.machine, a.state = machine, ""
	x.apply(a, machine.SetPair(1, "a", "", machine.NextRun(1)))
	a.durable = len(a.journal)
	x.apply(a, machine.OrphanRequests("r", x.now))
}

func (x *traceRun) stepHome(name string, n []int) bool {
	m := n[0]
	h := x.homes[m]
	if !h.primary {
		return false
	}
	machine := h.copy.Machine()
	if name == "copy" {
		return x.copyToBackup(m)
	}
	if name == "forget" {
		x.now = x.now.Add(2 * limits.Window)
		x.applyAtHome(m, machine.Expire(x.now))
		return machine.Claims().Claim(testRequest()) == nil
	}
	a := x.askers[n[1]]
	if name == "merge" {
		req := a.claimRequests[len(a.claimRequests)-1]
		req.Op = claim.OpSettle
		records, _ := machine.DecideClaim(req, x.now)
		x.applyAtHome(m, records)
		return true
	}
	if n[2] > len(a.claimRequests) {
		return false
	}
	req := a.claimRequests[n[2]-1]
	if name == "release" {
		req.Op = claim.OpRelease
	}
	records, reply := machine.DecideClaim(req, x.now)
	x.applyAtHome(m, records)
	if name == "claim" && reply.Decision == claim.DecisionGranted {
		h.unsentReplies[requestSlot{n[1], n[2]}] = reply
	}
	return true
}

// copyToBackup sends the records of the member to the other member, and then
// releases the replies that were waiting for the acknowledgement.
func (x *traceRun) copyToBackup(m int) bool {
	h, other := x.homes[m], x.homes[1-m]
	last := h.copy.Machine().Seq()
	for h.feed.Backup() != "" && h.feed.Acknowledged() < last {
		request, ok := h.feed.Next(h.copy.Machine(), last)
		if !ok {
			return false
		}
		if other.primary && request.Epoch > other.epoch {
			other.primary, other.feed = false, ledger.Feed{}
		}
		_, reply, err := other.copy.Receive(request)
		assert.NilError(x.t, err)
		if other.primary || reply.Stale {
			h.primary, h.feed = false, ledger.Feed{}
			clear(h.unsentReplies)
			return false
		}
		h.feed.HandleReply(request, reply, last)
	}
	for s, reply := range h.unsentReplies {
		x.granted[s] = reply
	}
	clear(h.unsentReplies)
	return true
}

// nonIdempotent returns a reservation of a non-idempotent request.
func nonIdempotent(key poplar.Key) poplar.ReserveRequest {
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
		x := newTraceRun(t)
		dispatched, followed := 0, true
		for i, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
			fields := strings.Fields(line)
			var numbers []int
			for _, word := range fields[1:] {
				numbers = append(numbers, int(word[0]-'0'))
			}
			ok := x.step(fields[0], numbers)
			followed = followed && ok
			if fields[0] == "dispatch" {
				dispatched++
			}
			assert.Assert(t, x.runs <= 1, "%s:%d: P5: the request ran twice", file, i+1)
			if strings.HasPrefix(filepath.Base(file), "run-") && fields[0] == "dispatch" {
				assert.Assert(t, ok, "%s:%d: the ledger refuses a step of the model", file, i+1)
			}
		}
		if strings.HasPrefix(filepath.Base(file), "run-") {
			assert.Equal(t, x.runs, dispatched, file)
		} else {
			assert.Assert(t, !followed, "%s: the ledger follows the model that lacks a rule", file)
		}
	}
}
