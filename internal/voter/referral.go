package voter

import (
	"maps"
	"slices"
	"time"

	"poplarbend.example/poplar"
)

// This file implements how a member without the log learns of daemons that its
// settings do not name: replies to hellos name the members of the log, and members
// send messages to the former disk of the daemon. Only the leader admits a member, and
// any voter may be the leader: a member that asks the daemons of its settings alone is
// not admitted while another one leads, or while none of them is in reach.

// maxReferrals bounds the daemons in a referralSet.
const maxReferrals = 64

// referralSet contains the daemons that recent messages named or came from.
type referralSet struct {
	expiry map[poplar.Daemon]time.Time // invariant: at most maxReferrals daemons
}

func (s *referralSet) add(names []poplar.Daemon, until time.Time) {
	if s.expiry == nil {
		s.expiry = map[poplar.Daemon]time.Time{}
	}
	for _, n := range names {
		if _, known := s.expiry[n]; known || len(s.expiry) < maxReferrals {
			s.expiry[n] = until
		}
	}
}

// list returns the daemons and removes the expired ones.
func (s *referralSet) list(now time.Time) []poplar.Daemon {
	maps.DeleteFunc(s.expiry, func(_ poplar.Daemon, until time.Time) bool { return now.After(until) })
	return slices.Collect(maps.Keys(s.expiry))
}

// memberNames returns the daemons that hold the log, as far as this member knows.
func (v *Voter) memberNames() []poplar.Daemon {
	if v.machine == nil {
		return nil
	}
	var names []poplar.Daemon
	for _, m := range v.machine.Members().All() {
		names = append(names, m.Name)
	}
	return names
}
