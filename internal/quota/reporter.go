package quota

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/loops"
)

// This file implements the primary's side, which sends reports and carries out
// recalls.

// Intervals and timeouts of a reporter.
const (
	reportPeriod  = 250 * time.Millisecond
	reportTimeout = 1 * time.Second
	// remainderTTL is the time for which the leader's answer on the tokens left
	// elsewhere is reused.
	remainderTTL = 1 * time.Second
	// keepaliveInterval is the time between two reports without changes. It is
	// shorter than the time after which the leader considers a domain unreachable.
	keepaliveInterval = 1 * time.Second
)

// Reporter sends the reports of a ledger's primary to the leader of the log.
type Reporter struct {
	source        Source
	leader        Leader
	wakeup        chan struct{}
	log           *log.Logger
	nextKeepalive time.Time // invariant: used only by the loop; when to report even without changes

	mu         sync.Mutex
	remainders map[poplar.Budget]remainder // invariant: guarded by mu
	// waiting is the number of requests that wait for the leader's answer.
	waiting      int           // invariant: guarded by mu
	roundDone    chan struct{} // invariant: guarded by mu; closed and replaced after each report
	roundsBegun  uint64        // invariant: guarded by mu; number of rounds begun
	disconnected bool          // invariant: guarded by mu; set if the last report failed
	lastEnded    uint64        // invariant: guarded by mu; roundsBegun when the last report ended

	loops loops.Runner
}

// Availability is the answer to a request that lacks tokens: whether enough tokens of the
// budget are left elsewhere.
type Availability int

// The values of Availability.
const (
	// AvailabilityUnknown means that the leader did not answer in time.
	AvailabilityUnknown Availability = iota
	// LeaderUnreachable means that the leader is unreachable and the domain has only its own
	// share.
	LeaderUnreachable
	// Insufficient means that too few tokens are left outside the domain.
	Insufficient
	// Available means that enough tokens are left elsewhere and can be issued.
	Available
)

// remainder is the leader's last answer on a budget that lacked tokens.
type remainder struct {
	tokens  poplar.Tokens
	expires time.Time // when the answer expires
}

// NewReporter returns a reporter, which sends no reports before Start.
func NewReporter(source Source, leader Leader, logger *log.Logger) *Reporter {
	return &Reporter{
		source: source, leader: leader, wakeup: make(chan struct{}, 1), log: logger,
		remainders: map[poplar.Budget]remainder{}, roundDone: make(chan struct{}),
	}
}

// Start runs the report loop.
func (r *Reporter) Start() { r.loops.Start(r.loop) }

// Stop ends the report loop.
func (r *Reporter) Stop() { r.loops.Stop() }

// ReportNow triggers a report before the current period ends, for example after a
// request was refused because the share was too small.
func (r *Reporter) ReportNow() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

func (r *Reporter) loop(ctx context.Context) { loops.Tick(ctx, reportPeriod, r.wakeup, r.round) }

func (r *Reporter) round(ctx context.Context) {
	r.mu.Lock()
	r.roundsBegun++
	r.mu.Unlock()
	report, primary := r.source.Demands()
	now := time.Now()
	if !primary || len(report.Demands) == 0 && !r.hasWaiting() && now.Before(r.nextKeepalive) {
		return
	}
	r.nextKeepalive = now.Add(keepaliveInterval)
	call, cancel := context.WithDeadline(ctx, time.Now().Add(reportTimeout))
	defer cancel()
	orders, err := r.leader.Report(call, report)
	r.recordAnswer(orders, err)
	if err != nil {
		r.log.Debug("leader did not accept the share report", "step", poplar.StepPropose, "err", err)
		return
	}
	for _, order := range orders.Recalls {
		if err := r.source.Return(ctx, order); err != nil {
			r.log.Warn("failed to return tokens of a share; remaining recalls are skipped", "budget", order.Budget, "err", err)
			return
		}
		// Another domain needs the tokens, so the return is reported at once.
		r.ReportNow()
	}
}

// recordAnswer stores the leader's answer and wakes the waiting requests.
func (r *Reporter) recordAnswer(orders ReportReply, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for budget, m := range r.remainders {
		if now.After(m.expires) || err != nil {
			delete(r.remainders, budget)
		}
	}
	for _, l := range orders.Remainders {
		r.remainders[l.Budget] = remainder{tokens: l.Tokens, expires: now.Add(remainderTTL)}
	}
	r.lastEnded, r.disconnected = r.roundsBegun, err != nil
	close(r.roundDone)
	r.roundDone = make(chan struct{})
}

// AwaitRemainder triggers a report because a request lacks need tokens of budget, and
// returns the leader's answer on the tokens left elsewhere. A report that began
// before the call possibly does not include the request, so its answer counts only
// if it lists the budget. Seek is safe for concurrent use.
func (r *Reporter) AwaitRemainder(ctx context.Context, budget poplar.Budget, need poplar.Tokens) Availability {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, known := r.remainders[budget]; known && m.tokens < need && time.Now().Before(m.expires) {
		return Insufficient
	}
	if r.disconnected {
		return LeaderUnreachable
	}
	r.waiting++
	defer func() { r.waiting-- }()
	for before := r.roundsBegun; ; {
		next := r.roundDone
		r.mu.Unlock()
		r.ReportNow()
		answered := true
		select {
		case <-ctx.Done():
			answered = false
		case <-next:
		}
		r.mu.Lock()
		m, known := r.remainders[budget]
		switch {
		case !answered:
			return AvailabilityUnknown
		case known && m.tokens >= need:
			return Available
		case known:
			return Insufficient
		case r.lastEnded > before:
			// The report that included the request was lost.
			return LeaderUnreachable
		}
	}
}

// hasWaiting reports whether a request waits for the leader's answer.
func (r *Reporter) hasWaiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting > 0
}
