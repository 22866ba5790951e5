package ledger_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/ledger"
)

// This file tests the replication of a ledger pair with random operations: every
// daemon that may become primary has every acknowledged record.

// member is one daemon of the pair, with its disk.
type member struct {
	name        poplar.Daemon
	copy        *ledger.Replica
	snapshot    []byte
	journal     [][]byte
	durable     int // invariant: journal[:durable] survives a crash
	snapshotSeq uint64
	primary     bool
	epoch       poplar.Epoch
	run         uint64
	feed        ledger.Feed
	written     map[string]uint64 // record number by budget name, in this run as primary
}

func (m *member) machine() *ledger.Machine { return m.copy.Machine() }

// synced is the number of the last durable record.
func (m *member) synced() uint64 { return m.snapshotSeq + uint64(m.durable) }

// pairSim simulates a pair, the log that sets it and the network between the
// members.
type pairSim struct {
	members  [2]*member
	epoch    poplar.Epoch // epoch in the log
	primary  int
	noBackup bool
	upToDate [2]bool
	messages []func()
	budgets  int
	acked    map[string]bool
}

func newPairSim(t *rapid.T) *pairSim {
	d := &pairSim{acked: map[string]bool{}}
	for i, name := range []poplar.Daemon{"a", "b"} {
		d.members[i] = &member{name: name, copy: ledger.NewReplica(ledger.New("d", limits), limits, 0)}
	}
	d.primary, d.upToDate = 0, [2]bool{true, false}
	d.setPair(t, 0, false)
	return d
}

// setPair sets the next pair in the log. Only an up-to-date member may become
// primary.
func (d *pairSim) setPair(t *rapid.T, primary int, noBackup bool) {
	if !d.upToDate[primary] {
		t.Skip()
	}
	d.epoch++
	d.primary, d.noBackup = primary, noBackup
	d.upToDate[1-primary] = d.upToDate[1-primary] && !noBackup
}

// learnPair gives a member the pair in force, as internal/holder does for a
// running ledger.
func (d *pairSim) learnPair(t *rapid.T, i int) {
	m := d.members[i]
	if m.epoch == d.epoch {
		return
	}
	m.epoch = d.epoch
	m.copy.RaiseEpoch(d.epoch)
	if i != d.primary {
		m.primary, m.feed = false, ledger.Feed{}
		return
	}
	d.becomePrimary(t, m)
}

func (d *pairSim) becomePrimary(t *rapid.T, m *member) {
	m.copy.Detach()
	if !m.primary || m.run == 0 {
		m.run = m.machine().NextRun(m.epoch)
		m.written = map[string]uint64{}
	}
	m.primary = true
	backup := poplar.Daemon("")
	if !d.noBackup {
		backup = d.members[1-d.primary].name
	}
	m.feed = ledger.NewFeed(m.epoch, m.run, m.name, backup, 0, m.machine().Seq()+1)
	d.apply(t, m, m.machine().SetPair(m.epoch, m.name, backup, m.run))
}

func (d *pairSim) apply(t *rapid.T, m *member, records []ledger.Record) {
	for i := range records {
		data := records[i].Append(nil)
		must(t, m.machine().Apply(&records[i]))
		m.journal = append(m.journal, data)
		m.feed.Add(m.machine().Seq(), data)
	}
}

func (d *pairSim) write(t *rapid.T, m *member) {
	if !m.primary {
		t.Skip()
	}
	d.budgets++
	name := fmt.Sprintf("b%d", d.budgets)
	d.apply(t, m, m.machine().Issue([]ledger.Share{{Budget: poplar.Budget(name), Serial: 1, Issued: 1}}))
	m.written[name] = m.machine().Seq()
}

// acknowledge marks the budgets whose records are durable at a primary and its
// backup.
func (d *pairSim) acknowledge(t *rapid.T, m *member) {
	if !m.primary {
		return
	}
	durable := m.synced()
	if m.feed.Backup() != "" {
		durable = min(durable, m.feed.Acknowledged())
	}
	for name, seq := range m.written {
		if seq <= durable {
			d.acked[name] = true
		}
	}
	if m.epoch == d.epoch && m.feed.Ready() && !d.noBackup {
		d.upToDate[1-d.primary] = true
	}
}

func (d *pairSim) send(t *rapid.T, m *member) {
	request, ok := m.feed.Next(m.machine(), m.synced())
	if !ok {
		t.Skip()
	}
	to := d.members[1]
	if m == to {
		to = d.members[0]
	}
	d.messages = append(d.messages, func() {
		if to.primary && request.Epoch > to.epoch {
			to.primary, to.feed = false, ledger.Feed{}
		}
		if to.primary {
			return
		}
		change, reply, err := to.copy.Receive(request)
		must(t, err)
		to.store(change)
		d.messages = append(d.messages, func() {
			if m.primary {
				m.feed.HandleReply(request, reply, m.machine().Seq())
			}
		})
	})
	d.messages = append(d.messages, func() { m.feed.HandleLoss(request) })
}

func (m *member) store(change ledger.Change) {
	if change.Snapshot != nil {
		m.snapshot, m.journal = change.Snapshot, nil
		m.snapshotSeq = m.machine().Seq()
	}
	m.journal = append(m.journal, change.Records...)
	m.durable = len(m.journal)
}

func (d *pairSim) crash(t *rapid.T, m *member) {
	machine, err := ledger.Restore("d", limits, m.snapshot)
	must(t, err)
	m.journal = m.journal[:m.durable:m.durable]
	for _, data := range m.journal {
		r, err := ledger.Decode(data)
		must(t, err)
		must(t, machine.Apply(&r))
	}
	m.copy, m.primary, m.feed, m.run = ledger.NewReplica(machine, limits, 0), false, ledger.Feed{}, 0
	m.epoch = 0
}

func (d *pairSim) check(t *rapid.T) {
	for _, m := range d.members {
		d.acknowledge(t, m)
	}
	for i, m := range d.members {
		if !d.upToDate[i] {
			continue
		}
		for name := range d.acked {
			if _, ok := m.machine().Budgets().Account(poplar.Budget(name)); !ok {
				t.Fatalf("epoch %d: acknowledged %s is missing at %s, which may become primary", d.epoch, name, m.name)
			}
		}
	}
}

func TestAcknowledgedRecordsSurviveTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newPairSim(t)
		anyMember := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "member") }
		t.Repeat(map[string]func(*rapid.T){
			"":      d.check,
			"write": func(t *rapid.T) { d.write(t, d.members[anyMember(t)]) },
			"sync": func(t *rapid.T) {
				m := d.members[anyMember(t)]
				m.durable = len(m.journal)
			},
			"send": func(t *rapid.T) { d.send(t, d.members[anyMember(t)]) },
			"deliver": func(t *rapid.T) {
				m, i := pick(t, d.messages, "message")
				if !rapid.Bool().Draw(t, "double") {
					d.messages = append(d.messages[:i:i], d.messages[i+1:]...)
				}
				m()
			},
			"crash": func(t *rapid.T) { d.crash(t, d.members[anyMember(t)]) },
			"hear":  func(t *rapid.T) { d.learnPair(t, anyMember(t)) },
			"name":  func(t *rapid.T) { d.setPair(t, anyMember(t), rapid.Bool().Draw(t, "alone")) },
			"compact": func(t *rapid.T) {
				m := d.members[anyMember(t)]
				m.snapshot, m.journal, m.durable = m.machine().Snapshot(), nil, 0
				m.snapshotSeq = m.machine().Seq()
			},
		})
	})
}

func TestCopyRefuses(t *testing.T) {
	source := ledger.New("d", limits)
	for _, r := range source.SetPair(3, "a", "b", 2) {
		assert.NilError(t, source.Apply(&r))
	}
	valid := ledger.CopyRequest{Domain: "d", From: "a", Epoch: 3, Run: 2, Snapshot: source.Snapshot()}
	for _, test := range []struct {
		name  string
		alter func(*ledger.CopyRequest)
		stale bool
		reset bool
	}{
		{"good", func(*ledger.CopyRequest) {}, false, false},
		{"other domain", func(r *ledger.CopyRequest) { r.Domain = "e" }, true, false},
		{"other disk", func(r *ledger.CopyRequest) { r.Disk = 8 }, true, false},
		{"the same disk", func(r *ledger.CopyRequest) { r.Disk = 9 }, false, false},
		{"old epoch", func(r *ledger.CopyRequest) { r.Epoch = 1 }, true, false},
		{"no snapshot", func(r *ledger.CopyRequest) { r.Snapshot, r.First = nil, 2 }, false, true},
	} {
		backup := ledger.NewReplica(ledger.New("d", limits), limits, 9)
		backup.RaiseEpoch(2)
		request := valid
		test.alter(&request)
		change, reply, err := backup.Receive(request)
		assert.NilError(t, err, test.name)
		assert.Equal(t, reply.Stale, test.stale, test.name)
		assert.Equal(t, reply.Reset, test.reset, test.name)
		assert.Equal(t, change.Snapshot != nil, !test.stale && !test.reset, test.name)
	}
}

func TestUndecodableCopyChangesNothing(t *testing.T) {
	source := ledger.New("d", limits)
	for _, r := range source.SetPair(1, "a", "b", 1) {
		assert.NilError(t, source.Apply(&r))
	}
	backup := ledger.NewReplica(ledger.New("d", limits), limits, 0)
	_, _, err := backup.Receive(ledger.CopyRequest{Domain: "d", From: "a", Epoch: 1, Run: 1, Snapshot: source.Snapshot()})
	assert.NilError(t, err)
	valid := source.Issue([]ledger.Share{{Budget: "b", Serial: 1, Issued: 1}})[0].Append(nil)
	invalid := ledger.CopyRequest{Domain: "d", From: "a", Epoch: 1, Run: 1, First: 2, Records: [][]byte{valid, {0xff}}}
	_, _, err = backup.Receive(invalid)
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeCorrupt)
	assert.Assert(t, !backup.Damaged())
	assert.Equal(t, backup.Machine().Seq(), uint64(1))
}

func TestFeedWaitsForDurableRunRecord(t *testing.T) {
	m := ledger.New("d", limits)
	for _, r := range m.SetPair(1, "a", "b", 1) {
		assert.NilError(t, m.Apply(&r))
	}
	feed := ledger.NewFeed(1, 1, "a", "b", 0, 1)
	_, ok := feed.Next(m, 0)
	assert.Assert(t, !ok)
	_, ok = feed.Next(m, 1)
	assert.Assert(t, ok)
}
