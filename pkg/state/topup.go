package state

import (
	"cmp"
	"slices"
	"time"

	"poplarbend.example/poplar"
)

// TopupWindow is the number of top-ups whose ids are stored: 25 days at 650 a
// day. A top-up not later than the last dropped one is refused as expired, since
// it may already be applied.
const TopupWindow = 16384

// pastTopup is a stored top-up.
type pastTopup struct {
	ID       string
	Budget   poplar.Budget
	Tokens   poplar.Tokens
	Operator string
	At       int64 // nanoseconds since 1970
}

// topupHistory stores recent top-ups by id and drops the oldest first.
type topupHistory struct {
	byID    map[string]pastTopup
	order   []topupKey // invariant: ascending; the same ids as byID
	horizon int64      // invariant: no dropped top-up is later
}

type topupKey struct {
	at int64
	id string
}

func (k topupKey) compare(other topupKey) int {
	return cmp.Or(cmp.Compare(k.at, other.at), cmp.Compare(k.id, other.id))
}

func (t *topupHistory) add(p pastTopup) {
	if t.byID == nil {
		t.byID = map[string]pastTopup{}
	}
	t.byID[p.ID] = p
	key := topupKey{at: p.At, id: p.ID}
	i, _ := slices.BinarySearchFunc(t.order, key, topupKey.compare)
	t.order = slices.Insert(t.order, i, key)
	for len(t.order) > TopupWindow {
		delete(t.byID, t.order[0].id)
		t.horizon = max(t.horizon, t.order[0].at)
		t.order[0] = topupKey{}
		t.order = t.order[1:]
	}
}

// applyTopup applies a top-up once per id.
func (s *State) applyTopup(t Topup) Reply {
	if t.ID == "" || len(t.ID) > MaxName || t.At.Year() < 1970 || t.At.Year() > 2200 {
		return refuse(poplar.CodeInvalid, "top-up needs an id of at most %d bytes and a time from 1970 to 2200", MaxName)
	}
	p := pastTopup{ID: t.ID, Budget: t.Budget, Tokens: t.Tokens, Operator: t.Operator, At: t.At.UnixNano()}
	if first, ok := s.topupHistory.byID[t.ID]; ok {
		return s.replyToRepeated(first, p)
	}
	if s.topupHistory.horizon > 0 && p.At <= s.topupHistory.horizon {
		at := time.Unix(0, s.topupHistory.horizon).UTC()
		return refuse(poplar.CodeExpired, "top-up %q is not applied: ids generated up to %s are no longer stored", t.ID, at.Format(time.RFC3339))
	}
	id := s.table.find(t.Budget)
	if id < 0 || s.table.rows[id].deleted {
		return refuse(poplar.CodeMissing, "top-up %q is not applied: there is no budget %q", t.ID, t.Budget)
	}
	r := &s.table.rows[id]
	if t.Tokens < -MaxTokens || t.Tokens > MaxTokens {
		return refuse(poplar.CodeLarge, "top-up %q has %d tokens, out of range", t.ID, t.Tokens)
	}
	granted := r.base + r.extra + t.Tokens
	if granted < 0 || granted > MaxTokens {
		return refuse(poplar.CodeInvalid, "top-up %q is not applied: it would leave %d tokens granted", t.ID, granted)
	}
	r.extra += t.Tokens
	s.topupHistory.add(p)
	s.table.markChanged(id, s.index)
	return Reply{Granted: r.granted(), Pending: r.pending()}
}

func (s *State) replyToRepeated(first, repeat pastTopup) Reply {
	if first.Budget != repeat.Budget || first.Tokens != repeat.Tokens {
		r := refuse(poplar.CodeConflict, "top-up %q is not applied: %q used the id for %d tokens of %q", repeat.ID, first.Operator, first.Tokens, first.Budget)
		r.Operator = first.Operator
		return r
	}
	r := Reply{Duplicate: true, Operator: first.Operator}
	if id := s.table.find(first.Budget); id >= 0 {
		r.Granted, r.Pending = s.table.rows[id].granted(), s.table.rows[id].pending()
	}
	return r
}
