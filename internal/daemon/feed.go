package daemon

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/pkg/ledger"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the feed of the holder from the mirror.

// Times of the feed.
const (
	// feedPause is the wait after the holder could not take the news.
	feedPause = 100 * time.Millisecond
	// feedTime bounds one handover. The news may wait for a backup that is gone,
	// and the pair without it comes with the next handover.
	feedTime = 500 * time.Millisecond
)

// feed tells the holder what the mirror has in force.
type feed struct {
	holder *holder.Replica
	mirror *follow.Mirror
	rules  *rules
	log    *log.Logger
	index  poplar.Index // invariant: shares up to it were taken by the holder
	epoch  poplar.Epoch // invariant: the epoch for which index counts
}

func newFeed(h *holder.Replica, m *follow.Mirror, r *rules, logger *log.Logger) *feed {
	return &feed{holder: h, mirror: m, rules: r, log: logger}
}

func (f *feed) loop(ctx context.Context) {
	for ctx.Err() == nil {
		news := f.mirror.News()
		wait := f.round(ctx)
		select {
		case <-ctx.Done():
		case <-news:
		case <-wait:
		}
	}
}

// round hands the news over. It returns a channel that yields when the round
// must be repeated without any news.
func (f *feed) round(ctx context.Context) <-chan time.Time {
	view := f.mirror.View()
	pair := view.Own()
	if pair.Epoch != f.epoch {
		f.index, f.epoch = 0, pair.Epoch
		f.log.Info("the pair has changed", "epoch", pair.Epoch, "primary", pair.Primary.Name, "backup", pair.Backup.Name, "role", view.Role())
	}
	shares, index := f.mirror.SharesAfter(f.index)
	call, cancel := context.WithTimeout(ctx, feedTime)
	defer cancel()
	err := f.holder.Follow(call, holder.Update{
		Pair: holder.Pair{
			Epoch: pair.Epoch, Primary: holderMember(pair.Primary), Backup: holderMember(pair.Backup), Forced: pair.Forced,
		},
		Shares: ledgerShares(shares), Domains: f.domains(view), Revision: view.Revision(),
	})
	if err != nil {
		f.log.Debug("the ledger did not take the news", "step", poplar.StepReserve, "err", err)
		return time.After(feedPause)
	}
	f.index = index
	return time.After(time.Second)
}

func holderMember(h state.Holder) holder.Member { return holder.Member{Name: h.Name, Disk: h.Life} }

func ledgerShares(items []state.ShareItem) []ledger.Share {
	shares := make([]ledger.Share, 0, len(items))
	for _, i := range items {
		shares = append(shares, ledger.Share{
			Budget: i.Budget, Serial: uint64(i.Serial), Issued: i.Issued, Returned: i.Returned, Lost: i.Lost,
			Closed: i.Deleted,
		})
	}
	return shares
}

// domains returns the domains among which the home of a request is chosen:
// those that the operators declare, so that the list does not change as ledgers
// come up, or those that have a ledger when none are declared.
func (f *feed) domains(view *follow.View) []poplar.Domain {
	var names []poplar.Domain
	if policy := f.rules.Policy(); policy != nil {
		for _, d := range policy.Domains() {
			names = append(names, d.Name())
		}
	}
	if len(names) > 0 {
		return names
	}
	for _, p := range view.Pairs() {
		names = append(names, p.Domain)
	}
	return names
}
