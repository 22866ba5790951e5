package pairs

import (
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/state"
)

// This file decides which change of the pair to propose to the log.

// SilenceTimeout is how long the other member of a pair may be silent before its
// replacement is proposed to the log.
const SilenceTimeout = 3 * time.Second

// successionDelay separates the daemons that could propose themselves in a domain
// without a ledger: each waits this long for every daemon before it in
// Config.Holders, so that the earlier ones can propose themselves first.
const successionDelay = 12 * time.Second

// minContact is how long a daemon must have been in contact without a gap before
// it is proposed as the backup.
const minContact = 2 * time.Second

// maxContactAge bounds the age of the last contact with a daemon that is proposed
// as the backup, so that it has answered in the round of the decision.
const maxContactAge = pingTimeout

// Candidate is another daemon that may host the ledger, with its contact times.
type Candidate struct {
	holder      state.Holder
	since       time.Time // start of the contact without a gap
	lastContact time.Time // time of the last reply
}

// NewCandidate returns a daemon that was in contact without a gap from since to
// lastContact.
func NewCandidate(holder state.Holder, since, lastContact time.Time) Candidate {
	return Candidate{holder: holder, since: since, lastContact: lastContact}
}

// reachable reports whether the candidate is in contact at now and has been for
// at least minContact.
func (c Candidate) reachable(now time.Time) bool {
	return now.Sub(c.lastContact) <= maxContactAge && now.Sub(c.since) >= minContact
}

// Observation is the information on which a daemon decides.
type Observation struct {
	// Self is the deciding daemon, and Domain is its failure domain.
	Self   state.Holder
	Domain poplar.Domain
	// Pair is the latest pair that the daemon knows.
	Pair state.Pair
	// Since is when the daemon started or, if later, learned of the pair.
	Since time.Time
	// Position is the index of the daemon in Config.Holders.
	Position int
	// BackupCurrent is true at a primary whose backup has all records and knows
	// the configuration in force.
	BackupCurrent bool
	// Candidates are the other daemons that may host the ledger, in order of
	// preference as backup.
	Candidates []Candidate
}

// Decide returns the command that the daemon should propose at now, and whether
// it should propose one.
func Decide(o Observation, now time.Time) (state.Command, bool) {
	switch o.Self {
	case o.Pair.Primary:
		return decidePrimary(o, now)
	case o.Pair.Backup:
		if o.Pair.Ready() && silent(o, o.Pair.Primary, now) {
			return proposePair(o, o.Self, state.Holder{}), true
		}
	default:
		if o.Pair.Epoch == 0 && now.Sub(o.Since) >= time.Duration(o.Position)*successionDelay {
			return proposePair(o, o.Self, state.Holder{}), true
		}
	}
	return state.Command{}, false
}

func decidePrimary(o Observation, now time.Time) (state.Command, bool) {
	if o.Pair.Backup.Name != "" {
		switch {
		case silent(o, o.Pair.Backup, now):
			return proposePair(o, o.Self, state.Holder{}), true
		case !o.Pair.Ready() && o.BackupCurrent:
			return state.Command{Ready: &state.Ready{Domain: o.Domain, Epoch: o.Pair.Epoch}}, true
		}
		return state.Command{}, false
	}
	for _, c := range o.Candidates {
		if c.reachable(now) {
			return proposePair(o, o.Self, c.holder), true
		}
	}
	return state.Command{}, false
}

// silent reports whether a member of the pair has not answered for at least
// SilenceTimeout. The time counts from o.Since at the earliest.
func silent(o Observation, holder state.Holder, now time.Time) bool {
	lastContact := o.Since
	for _, c := range o.Candidates {
		if c.holder == holder && c.lastContact.After(lastContact) {
			lastContact = c.lastContact
		}
	}
	return now.Sub(lastContact) >= SilenceTimeout
}

// proposePair returns the command that sets a pair for the next epoch.
func proposePair(o Observation, primary, backup state.Holder) state.Command {
	return state.Command{Ledger: &state.Ledger{
		Domain: o.Domain, Epoch: o.Pair.Epoch + 1, Primary: primary, Backup: backup, Proposer: o.Self.Name,
	}}
}
