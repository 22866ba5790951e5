package voter

import (
	"slices"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/quorum"
)

// This file implements how a member joins the log: hellos, founding and repair.

// startMachine starts the machine once the log is founded and the founding is
// durable.
func (v *Voter) startMachine() {
	if v.machine != nil || !v.foundingDurable || !v.founder.founding.Started {
		return
	}
	if v.recovered.Snapshot.Index == 0 {
		im := image{Self: v.founder.self, Found: v.founder.founding, Hard: v.recovered.Hard, Snapshot: v.recovered.Snapshot, Entries: v.recovered.Entries}
		v.recovered = im.recovered()
	}
	v.machine = quorum.New(quorum.Config{
		Self:              v.founder.self,
		Cluster:           v.founder.founding.cluster(),
		HeartbeatInterval: v.config.Heartbeat,
		ElectionTimeout:   v.config.Election,
		Seed:              v.config.Seed,
	}, v.recovered, v.now)
	v.recovered = quorum.RecoveredState{}
}

// receiveHello handles a hello and replies to it. A change of the founding is
// made durable before it is sent to any daemon.
func (v *Voter) receiveHello(msg quorum.Message) {
	if v.machine != nil {
		v.joiners.add(msg.From, v.now.Add(v.config.RepairTimeout))
	}
	v.referrals.add(msg.Hello.Members, v.now.Add(v.config.RepairTimeout))
	if v.founder.step(msg.From, *msg.Hello) {
		v.saveFounding()
		return
	}
	if v.foundingDurable && !msg.Hello.Reply {
		v.sendHello(msg.From.Name, true)
	}
}

func (v *Voter) saveFounding() {
	v.foundingDurable = false
	found := v.founder.founding
	v.group.Submit(func(err error) {
		v.enqueue(func(in *inbox) {
			if in.foundingDurable = err == nil; err != nil {
				in.failure = err
			}
		})
	}, encode(record{Found: &found}))
}

// sendHellos sends hellos while the member waits for the founding or, once the
// log is founded, for its admission.
func (v *Voter) sendHellos() {
	if !v.foundingDurable || v.now.Before(v.nextHelloAt) || v.admitted() {
		return
	}
	v.nextHelloAt = v.now.Add(helloHeartbeats * v.config.Heartbeat)
	for _, name := range v.helloReceivers() {
		if name != v.founder.self.Name {
			v.sendHello(name, false)
		}
	}
}

// helloReceivers returns the daemons to send hellos to: the configured ones, the founders, the
// members in the log, if any are known, and those of the referrals.
func (v *Voter) helloReceivers() []poplar.Daemon {
	names := slices.Concat(v.helloTargets, v.founder.founding.names(), v.memberNames(), v.referrals.list(v.now))
	slices.Sort(names)
	return slices.Compact(names)
}

// admitted reports whether the member is a voter, as far as it knows. A member
// without contact to a leader for the repair time may have been replaced, and
// counts as not admitted, so that it sends hellos again.
func (v *Voter) admitted() bool {
	m := v.machine
	if m == nil || !m.Members().IsVoter(v.founder.self) {
		return false
	}
	return m.Role() == quorum.RoleLeader || m.LastContact(m.Leader()).After(v.silenceDeadline())
}

// sendHello sends a hello. A reply names the members of the log, one of which is
// the leader that admits the receiver.
func (v *Voter) sendHello(to poplar.Daemon, reply bool) {
	hello := v.founder.hello(reply)
	if reply {
		hello.Members = v.memberNames()
	}
	v.config.Sender.Send(to, quorum.Message{
		Type:  quorum.TypeHello,
		From:  v.founder.self,
		To:    quorum.Member{Name: to},
		Hello: hello,
	})
}

// repairMembership proposes the next membership change for the members that sent
// a hello, if one is due and this member is the leader.
func (v *Voter) repairMembership() {
	m := v.machine
	if m == nil || m.Role() != quorum.RoleLeader || !m.MembershipCommitted() {
		return
	}
	joiners := v.joiners.list(m.Members(), v.now)
	if len(joiners) == 0 {
		return
	}
	change, due := nextRepair(membershipView{
		members: m.Members(),
		joiners: joiners,
		voters:  v.config.TargetVoters,
		keepsUp: m.KeepsUp,
		silent: func(peer quorum.Member) bool {
			return peer != v.founder.self && m.LastContact(peer).Before(v.silenceDeadline())
		},
	})
	if due {
		// A rejected change is not final: the next iteration of the loop
		// decides anew.
		_, _, _ = m.Change(change)
	}
}

// silenceDeadline returns the time of last contact before which a member counts
// as silent.
func (v *Voter) silenceDeadline() time.Time { return v.now.Add(-v.config.RepairTimeout) }
