package proxy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/quorum"
)

// This file decides which configuration a router that has just started serves. It is
// pure: it takes answers and the time.
//
// An acknowledged revision is in the logs of a majority of the voters, though a control
// daemon that has just started may not know that it is committed, and one that was cut
// off may not have it. So a revision is served when no newer one can have been
// acknowledged:
//
//   - at once, when a daemon has it that has caught up with the leader of the log;
//   - at once, when a majority of the voters answered, of which the one with the most
//     complete log has it: that one has all that is committed, by the rule by which it
//     would win an election;
//   - after lastResort, when the logs of a majority of the voters were heard, or every
//     voter answered or has lost its disk. Then the newest revision in any log is
//     served, so that a log without a leader does not stop the fleet;
//   - if it is in force at a daemon of a former build that follows the log, after
//     formerWait when only such daemons answer, else after lastResort. They do not say
//     what their logs hold, and during an upgrade a router must not refuse until all are
//     replaced.
//
// Otherwise a voter that did not answer may have an acknowledged revision, alone if the
// others that had it lost their disks. The router refuses requests rather than serve an
// older configuration.

const (
	// lastResort is the time from the first answer to a router without a confirmed
	// configuration until it serves by the logs that it reaches. Four elections fit into
	// it, and requests must be served 12 s after a loss of power. It does not count from
	// the start, since a router that was cut off would decide without waiting for a leader.
	lastResort = 8 * time.Second
	// answerAge is how long an answer counts. It exceeds two polls of a router without
	// a confirmed configuration, so that one lost answer does not matter.
	answerAge = time.Second
	// formerWait is the time from the first answer until daemons of a former build decide if
	// no other one has answered. The first answer may be theirs while others are upgraded.
	formerWait = time.Second
	// waitLogPeriod is the time between two log lines about the wait.
	waitLogPeriod = 3 * time.Second
)

// controlAnswer is what one control daemon said of its log.
type controlAnswer struct {
	address   string        // invariant: not empty
	member    quorum.Member // its incarnation changes with the disk; zero at a former build
	former    bool          // true if it is of a build that does not say what its log holds, and follows the log
	caughtUp  bool          // true if it has applied what its leader had committed when their contact began
	revision  poplar.Revision
	logged    poplar.Revision // invariant: at least revision; the newest in its log, committed or not
	lastTerm  poplar.Term
	lastIndex poplar.Index
	voters    []quorum.Member // those that it believes in
	expiry    time.Time
}

// votes reports whether the daemon is a voter in its own log.
func (a controlAnswer) votes() bool { return slices.Contains(a.voters, a.member) }

// basis is the decision: the revision to serve and the daemon to fetch it from.
type basis struct {
	address  string // invariant: empty while nothing may be served
	revision poplar.Revision
	logged   bool // true if the revision is not known to be committed there
	reason   string
}

// The reasons of a basis.
const (
	reasonLeader   = "leader"
	reasonMajority = "majority"
	reasonLogs     = "logs"
	reasonFormer   = "former build"
)

// confirmer collects answers until a configuration is confirmed.
type confirmer struct {
	answers      map[string]controlAnswer // invariant: the latest by address
	lastResortAt time.Time                // invariant: zero until the first answer
	formerAt     time.Time                // invariant: zero until the first answer; see formerWait
	nextLogAt    time.Time                // time of the next log line about the wait
}

func newConfirmer() *confirmer { return &confirmer{answers: map[string]controlAnswer{}} }

func (c *confirmer) add(a controlAnswer, now time.Time) {
	if c.lastResortAt.IsZero() {
		c.lastResortAt = now.Add(lastResort)
		c.formerAt = now.Add(formerWait)
		c.nextLogAt = now.Add(waitLogPeriod)
	}
	c.answers[a.address] = a
}

// decide returns what the router may serve now.
func (c *confirmer) decide(now time.Time) basis {
	maps.DeleteFunc(c.answers, func(_ string, a controlAnswer) bool { return now.After(a.expiry) })
	recent := slices.SortedFunc(maps.Values(c.answers), byLog)
	caughtUp := func(a controlAnswer) bool { return a.caughtUp }
	if b := newestInForce(recent, reasonLeader, caughtUp); b.address != "" {
		return b
	}
	b := c.decideByLogs(recent, now)
	formerAt := c.formerAt
	if slices.ContainsFunc(recent, func(a controlAnswer) bool { return a.member != quorum.Member{} }) {
		formerAt = c.lastResortAt
	}
	if b.address == "" && !now.Before(formerAt) {
		return newestInForce(recent, reasonFormer, func(a controlAnswer) bool { return a.former })
	}
	return b
}

// logDue reports whether a log line about the wait is due, and schedules the next one.
func (c *confirmer) logDue(now time.Time) bool {
	if now.Before(c.nextLogAt) {
		return false
	}
	c.nextLogAt = now.Add(waitLogPeriod)
	return true
}

// waitReason says why nothing may be served yet. It is called after decide, at the same
// time, when that returned an empty basis.
func (c *confirmer) waitReason(now time.Time) string {
	recent := slices.SortedFunc(maps.Values(c.answers), byLog)
	switch {
	case len(recent) == 0 || !recent[0].votes():
		return "no voter has answered"
	case present(recent[0], recent) < len(recent[0].voters)/2+1 && unheard(recent[0].voters, recent) > 0:
		return "silent voters may hold a newer revision"
	case now.Before(c.lastResortAt):
		return "no leader confirms a revision, and the logs decide only later"
	}
	return "no revision in any log"
}

// descriptions returns the answers that count and their ages, for the log.
func (c *confirmer) descriptions(now time.Time) []string {
	var list []string
	for _, a := range slices.SortedFunc(maps.Values(c.answers), byLog) {
		list = append(list, fmt.Sprintf("%s member %v votes %t revision %d logged %d last %d.%d age %v",
			a.address, a.member, a.votes(), a.revision, a.logged, a.lastTerm, a.lastIndex, now.Sub(a.expiry.Add(-answerAge)).Round(time.Millisecond)))
	}
	return list
}

// decideByLogs returns what may be served by the logs that the answers describe.
func (c *confirmer) decideByLogs(recent []controlAnswer, now time.Time) basis {
	if len(recent) == 0 || !recent[0].votes() {
		return basis{}
	}
	best := recent[0]
	majority := present(best, recent) >= len(best.voters)/2+1
	if majority && best.logged == best.revision {
		return basis{address: best.address, revision: best.revision, reason: reasonMajority}
	}
	if !now.Before(c.lastResortAt) && (majority || unheard(best.voters, recent) == 0) {
		return newest(recent)
	}
	return basis{}
}

// newestInForce returns the highest revision in force at the daemons that match. One that
// has caught up may lag since, so they may differ.
func newestInForce(answers []controlAnswer, reason string, match func(controlAnswer) bool) basis {
	b := basis{reason: reason}
	for _, a := range answers {
		if match(a) && (b.address == "" || a.revision > b.revision) {
			b.address, b.revision = a.address, a.revision
		}
	}
	return b
}

// byLog orders answers of voters first, and by how complete their logs are.
func byLog(a, b controlAnswer) int {
	if a.votes() != b.votes() {
		if a.votes() {
			return -1
		}
		return 1
	}
	return cmp.Or(compareLogs(a, b), cmp.Compare(a.address, b.address))
}

// compareLogs returns a negative number if the log of a is more complete than that of b, and
// 0 if they are equally complete.
func compareLogs(a, b controlAnswer) int {
	return cmp.Or(cmp.Compare(b.lastTerm, a.lastTerm), cmp.Compare(b.lastIndex, a.lastIndex))
}

// newest returns the highest revision in any log. On equal ones it prefers the daemon
// that knows it to be committed, and then the most complete log.
func newest(answers []controlAnswer) basis {
	b := basis{reason: reasonLogs}
	for _, a := range answers {
		if a.logged > b.revision || a.logged == b.revision && b.logged && a.logged == a.revision {
			b.address, b.revision, b.logged = a.address, a.logged, a.logged > a.revision
		}
	}
	return b
}

// present returns the number of the voters of best that answered and would vote for it. A
// voter whose own log is more complete but has removed it from the voters would not: its
// log may hold revisions that best lacks.
func present(best controlAnswer, answers []controlAnswer) int {
	count := 0
	for _, a := range answers {
		if slices.Contains(best.voters, a.member) && compareLogs(a, best) >= 0 {
			count++
		}
	}
	return count
}

// unheard returns the number of voters whose daemons did not answer. A daemon that
// answers with another identity has lost the disk of the voter.
func unheard(voters []quorum.Member, answers []controlAnswer) int {
	count := 0
	for _, v := range voters {
		if !slices.ContainsFunc(answers, func(a controlAnswer) bool { return a.member.Name == v.Name }) {
			count++
		}
	}
	return count
}
