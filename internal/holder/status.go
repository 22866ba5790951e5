package holder

import (
	"sort"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
)

// Status is the state of the ledger at one daemon. It is a wire message.
type Status struct {
	Domain   poplar.Domain   `json:"domain"`
	Self     poplar.Daemon   `json:"self"`
	Disk     uint64          `json:"disk"`
	Role     Role            `json:"role"`
	Pair     Pair            `json:"pair"`
	Revision poplar.Revision `json:"revision"`
	// Ready is true at a primary that has no backup, or whose backup stores all
	// records.
	Ready bool `json:"ready"`
	// Seq is the sequence number of the last record, Synced of the last one that
	// is durable here, and Copied of the last one that is durable at the backup.
	Seq    uint64 `json:"seq"`
	Synced uint64 `json:"synced"`
	Copied uint64 `json:"copied"`
	// Open counts the requests with a reservation, Records all request records,
	// Claims the claims stored as a home domain, and Forgotten the fingerprints
	// of expired keys.
	Open      int `json:"open"`
	Records   int `json:"records"`
	Claims    int `json:"claims"`
	Forgotten int `json:"forgotten"`
	Budgets   int `json:"budgets"`
	// Heard is the time of the last contact with the log, Reached with the other
	// member of the pair.
	Heard   time.Time `json:"heard"`
	Reached time.Time `json:"reached"`
	// Dark is the time before which all records were lost, or zero.
	Dark time.Time `json:"dark,omitzero"`
	// Broken is the error after which the replica stopped serving, or "".
	Broken string `json:"broken,omitempty"`
}

// Status returns the state of the ledger.
func (h *Replica) Status() Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Status{
		Domain: h.config.Domain, Self: h.config.Self, Disk: h.config.Disk, Role: h.role, Pair: h.pair,
		Revision: h.machine.Revision(), Ready: h.role == RolePrimary && h.feed.Ready(),
		Seq: h.machine.Seq(), Synced: h.syncedSeq, Copied: h.feed.Acknowledged(), Open: h.machine.ReservationCount(),
		Records: h.machine.Claims().Len(), Claims: h.machine.Claims().Claims(),
		Forgotten: h.machine.Claims().Tombstones().Len(), Budgets: h.machine.Budgets().Len(),
		Heard: h.logContact, Reached: h.peerContact, Dark: h.machine.RecordsLostAt(),
	}
	if h.broken != nil {
		s.Broken = h.broken.Error()
	}
	return s
}

// Failed returns a channel that is closed when the journal failed or a record
// was corrupt. The replica then acknowledges nothing more; the daemon should
// exit, so that the other member of the pair takes over.
func (h *Replica) Failed() <-chan struct{} { return h.failed }

// Demand counts the reservations requested from one budget since the start.
type Demand struct {
	// Asked counts the tokens of all requested reservations.
	Asked poplar.Tokens `json:"asked"`
	// Refused counts the tokens refused because the budget was too low, and
	// Refusals the refused requests.
	Refused  poplar.Tokens `json:"refused"`
	Refusals uint64        `json:"refusals"`
}

func (h *Replica) countAsked(ask poplar.ReserveRequest) {
	h.demandOf(ask.Budget).Asked += ask.MaxTokens
}

func (h *Replica) countRefused(ask poplar.ReserveRequest) {
	d := h.demandOf(ask.Budget)
	d.Refused += ask.MaxTokens
	d.Refusals++
}

func (h *Replica) demandOf(budget poplar.Budget) *Demand {
	d := h.demand[budget]
	if d != nil {
		return d
	}
	d = &Demand{}
	if _, known := h.machine.Budgets().Account(budget); known {
		h.demand[budget] = d
	}
	return d
}

// ShareStatus is the state of one budget in the domain, for operators and for
// the policy that sizes shares. It is a wire message.
type ShareStatus struct {
	Budget    poplar.Budget `json:"budget"`
	Serial    uint64        `json:"serial"`
	Issued    poplar.Tokens `json:"issued"`
	Returned  poplar.Tokens `json:"returned"`
	Settled   poplar.Tokens `json:"settled"`
	Open      poplar.Tokens `json:"open"`
	Leased    poplar.Tokens `json:"leased"`
	Lost      poplar.Tokens `json:"lost"`
	Available poplar.Tokens `json:"available"`
	Closed    bool          `json:"closed,omitempty"`
	Demand
}

// Shares returns the budgets of the domain in order: all, or only those that
// were requested since the start. Returned is the durable value, which may be
// reported to the log.
func (h *Replica) Shares(active bool) []ShareStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := h.machine.Budgets().Names()
	shares := make([]ShareStatus, 0, len(h.demand))
	for _, name := range names {
		if _, asked := h.demand[name]; asked || !active {
			shares = append(shares, h.share(name))
		}
	}
	return shares
}

// Share returns the state of one budget, or false when the domain has none.
func (h *Replica) Share(budget poplar.Budget) (ShareStatus, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.machine.Budgets().Account(budget)
	if !ok {
		return ShareStatus{}, false
	}
	return h.share(budget), true
}

func (h *Replica) share(name poplar.Budget) ShareStatus {
	account, _ := h.machine.Budgets().Account(name)
	s := ShareStatus{
		Budget: name, Serial: account.Serial(), Issued: account.Issued(), Returned: account.Returned(),
		Settled: account.Settled(), Open: account.Open(), Leased: account.Leased(), Lost: account.Lost(),
		Available: account.Available(), Closed: h.machine.Budgets().Closed(name),
	}
	if pending, ok := h.returns[name]; ok {
		s.Returned = pending.durable
	}
	if h.role != RolePrimary || h.durableSeq == 0 {
		s.Returned = 0
	}
	if d := h.demand[name]; d != nil {
		s.Demand = *d
	}
	return s
}

// Filter selects bills. An empty field matches every bill.
type Filter struct {
	Workspace poplar.Workspace `json:"space,omitempty"`
	Budget    poplar.Budget    `json:"budget,omitempty"`
	Key       poplar.Key       `json:"key,omitempty"`
	// Limit limits the number of bills; 0 means 1000.
	Limit int `json:"most,omitempty"`
}

// defaultMaxBills limits the result when Filter.Limit is 0.
const defaultMaxBills = 1000

// Bills returns the settled bills within the record window, latest first. Voided
// bills are left out.
func (h *Replica) Bills(filter Filter) []poplar.Bill {
	h.mu.Lock()
	defer h.mu.Unlock()
	var bills []poplar.Bill
	h.machine.Claims().Each(func(r *claim.Record) bool {
		bill := r.Bill(h.config.Domain)
		if r.State() == claim.Settled && !r.Void() && filter.matches(bill) {
			bills = append(bills, bill)
		}
		return true
	})
	sort.Slice(bills, func(i, j int) bool {
		if !bills[i].At.Equal(bills[j].At) {
			return bills[i].At.After(bills[j].At)
		}
		return bills[i].Key < bills[j].Key
	})
	limit := filter.Limit
	if limit == 0 {
		limit = defaultMaxBills
	}
	return bills[:min(len(bills), limit)]
}

func (f Filter) matches(bill poplar.Bill) bool {
	return (f.Workspace == "" || f.Workspace == bill.Workspace) &&
		(f.Budget == "" || f.Budget == bill.Budget) &&
		(f.Key == "" || f.Key == bill.Key)
}

// Unspent is the amount of one budget that a lost ledger proves to be unspent. It
// is a wire message.
type Unspent struct {
	Budget poplar.Budget `json:"budget"`
	Serial uint64        `json:"serial"`
	Tokens poplar.Tokens `json:"tokens"`
}

// Proof returns the tokens that a forced takeover wrote off and that this
// daemon's disk proves to be unspent. Only the primary of the preceding epoch
// has every record of the lost ledger, and it stops spending only when it is
// notified of the takeover. At any other daemon Proof returns nil.
func (h *Replica) Proof() []Unspent {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasPrimary := h.machine.Primary() == h.config.Self && h.machine.Epoch()+1 == h.pair.Epoch
	if !wasPrimary || !h.pair.Forced || h.role == RolePrimary || h.broken != nil {
		return nil
	}
	var proof []Unspent
	for _, name := range h.machine.Budgets().Names() {
		account, _ := h.machine.Budgets().Account(name)
		if account.Available() > 0 {
			proof = append(proof, Unspent{Budget: name, Serial: account.Serial(), Tokens: account.Available()})
		}
	}
	return proof
}
