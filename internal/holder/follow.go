package holder

import (
	"context"
	"sort"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/ledger"
)

// Member identifies a daemon and its data folder. Disk 0 matches any data folder.
type Member struct {
	Name poplar.Daemon `json:"name"`
	Disk uint64        `json:"disk,omitempty"`
}

// Pair is the primary and backup of the domain, as named by the log.
type Pair struct {
	Epoch   poplar.Epoch `json:"epoch"`
	Primary Member       `json:"primary"`
	// Backup has no name when the primary has no backup.
	Backup Member `json:"backup,omitzero"`
	// Forced means that no replica with the records was left: the primary starts
	// an empty ledger, and all issued tokens count as spent (Share.Lost).
	Forced bool `json:"forced,omitempty"`
}

// Update is an update from the log to a domain. Every field may be empty, late or
// repeated; no value ever decreases.
type Update struct {
	Pair     Pair
	Shares   []ledger.Share
	Domains  []poplar.Domain
	Revision poplar.Revision
}

// Follow applies an update from the log, and returns once the resulting records
// are durable. An empty update only records the contact with the log.
func (h *Replica) Follow(ctx context.Context, news Update) error {
	if err := h.applyPair(news.Pair); err != nil {
		return err
	}
	h.mu.Lock()
	h.logContact = h.config.Clock.Now()
	if len(news.Domains) > 0 {
		h.domains = append([]poplar.Domain(nil), news.Domains...)
	}
	for _, share := range news.Shares {
		if h.machine.Budgets().Changes(share) || share.Serial > h.serial(share.Budget) {
			h.shares[share.Budget] = share
		}
	}
	if h.role != RolePrimary {
		// The primary's records contain the shares. They are retained in case
		// this daemon is named primary.
		h.mu.Unlock()
		return nil
	}
	records := h.machine.SetRevision(news.Revision)
	err := h.apply(append(h.issueShares(), records...))
	done := h.addWaiter()
	h.mu.Unlock()
	if err != nil {
		return h.withPeer(err)
	}
	return h.awaitDurable(ctx, done)
}

// serial returns the serial of the budget's account, which identifies the creation
// of the budget. The caller holds mu.
func (h *Replica) serial(budget poplar.Budget) uint64 {
	account, _ := h.machine.Budgets().Account(budget)
	return account.Serial()
}

// issueShares returns the records that issue the received shares, and removes
// these from the queue. Shares that wait for the end of an older serial are
// retained. The caller holds mu.
func (h *Replica) issueShares() []ledger.Record {
	shares := make([]ledger.Share, 0, len(h.shares))
	for budget, share := range h.shares {
		shares = append(shares, share)
		account, known := h.machine.Budgets().Account(budget)
		if !known || share.Serial <= account.Serial() || h.machine.Budgets().Changes(share) {
			delete(h.shares, budget)
		}
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].Budget < shares[j].Budget })
	return h.machine.Issue(shares)
}

// applyPair takes the role that the log assigned to this daemon. It ignores an
// epoch that is not higher than the current one.
func (h *Replica) applyPair(pair Pair) error {
	h.journal.Lock()
	defer h.journal.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if pair.Epoch <= h.pair.Epoch || h.broken != nil {
		return nil
	}
	h.copy.RaiseEpoch(pair.Epoch)
	if pair.Epoch < h.machine.Epoch() {
		return nil
	}
	previous := h.role
	h.pair = pair
	switch {
	case h.isSelf(pair.Primary):
		return h.becomePrimary(previous)
	case h.isSelf(pair.Backup):
		h.leavePrimary(RoleBackup)
	default:
		h.leavePrimary(RoleAside)
	}
	return nil
}

// isSelf reports whether member is this daemon with its current data folder.
func (h *Replica) isSelf(member Member) bool {
	return member.Name == h.config.Self && (member.Disk == 0 || member.Disk == h.config.Disk)
}

// leavePrimary takes another role, and steps down first if this daemon is primary.
// The caller holds mu.
func (h *Replica) leavePrimary(role Role) {
	if h.role == RolePrimary {
		h.stepDown(h.pair.Epoch)
	}
	h.role = role
}

// becomePrimary takes or keeps the role of primary. A daemon that is already the
// primary continues its replication stream; any other starts a new run. The
// caller holds mu and journal.
func (h *Replica) becomePrimary(previous Role) error {
	now := h.config.Clock.Now()
	if h.pair.Forced && h.pair.Epoch > h.machine.Epoch() {
		h.machine = ledger.New(h.config.Domain, h.config.Limits)
		h.copy = ledger.NewReplica(h.machine, h.config.Limits, h.config.Disk)
		h.copy.RaiseEpoch(h.pair.Epoch)
		if err := h.config.Journal.Compact(nil); err != nil {
			h.noteWrite(0, err)
			return h.broken
		}
		h.pending, h.syncedSeq, h.durableSeq = nil, 0, 0
		h.run = 0
	}
	h.copy.Detach()
	h.role = RolePrimary
	h.logContact = now
	if previous != RolePrimary || h.run == 0 {
		h.run = h.machine.NextRun(h.pair.Epoch)
		h.durableSeq = 0
	}
	backup := h.pair.Backup
	h.startSeq = h.machine.Seq() + 1
	h.feed = ledger.NewFeed(h.pair.Epoch, h.run, h.config.Self, backup.Name, backup.Disk, h.startSeq)
	records := h.machine.SetPair(h.pair.Epoch, h.pair.Primary.Name, h.pair.Backup.Name, h.run)
	if h.pair.Forced && h.pair.Epoch > 1 && h.machine.Seq() == 0 {
		records = append(records, h.machine.MarkRecordsLost(now)...)
	}
	return h.apply(records)
}
