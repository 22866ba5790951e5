package daemon

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/fx"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/edge"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/internal/intake"
	"poplarbend.example/poplar/internal/oper"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/order"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds what operators ask of the fleet through this daemon.

var operModule = fx.Module("oper",
	fx.Provide(newFleet),
)

// fleet implements oper.Fleet.
type fleet struct {
	settings *conf.Settings
	mirror   *follow.Mirror
	access   access
	voting   *voterRole
	ledger   *ledgerRole
	roster   *intake.Roster
	pool     *peer.Pool
	rules    *rules
	edge     *edge.Edge
	orders   *orders
	drainer  drainer
	clock    poplar.Clock
}

var _ oper.Fleet = (*fleet)(nil)

func newFleet(
	s *conf.Settings, m *follow.Mirror, a access, b *voterRole, c *ledgerRole, r *intake.Roster, pool *peer.Pool,
	rl *rules, e *edge.Edge, o *orders, d drainer, clock poplar.Clock,
) *fleet {
	return &fleet{
		settings: s, mirror: m, access: a, voting: b, ledger: c, roster: r, pool: pool, rules: rl, edge: e, orders: o, drainer: d, clock: clock,
	}
}

// inspectTime bounds the questions to other daemons.
const inspectTime = 1 * time.Second

// catchPause is the time between two looks at the revision in force.
const catchPause = 20 * time.Millisecond

// propose appends a command and returns the log's reply. A reply that refuses
// is an error that certainly did not take effect.
func (f *fleet) propose(ctx context.Context, c state.Command) (state.Reply, error) {
	data, err := f.access.Propose(ctx, state.Encode(c))
	if err != nil {
		return state.Reply{}, err
	}
	reply, err := state.Decode[state.Reply](data)
	if err != nil {
		return state.Reply{}, poplar.Fail(poplar.StepPropose, poplar.CodeInternal, err)
	}
	return reply, reply.Err()
}

// Change implements oper.Fleet. The folder that results is compiled before it
// is proposed, so that no revision that does not compile is ever in force.
func (f *fleet) Change(ctx context.Context, change oper.Change) (oper.Applied, error) {
	command := state.Change{Number: change.Number, Operator: change.By, Files: map[string]string{}}
	for name, content := range change.Files {
		command.Files[name] = ""
		if content != nil {
			command.Files[name] = *content
		}
	}
	command.Digest = state.Digest(command.Files)
	if err := f.compile(ctx, &command); err != nil {
		return oper.Applied{}, err
	}
	reply, err := f.propose(ctx, state.Command{Change: &command})
	if err != nil {
		return oper.Applied{}, err
	}
	return oper.Applied{Number: reply.Revision, By: reply.Operator, Again: reply.Duplicate}, nil
}

// compile fills in the budgets that the folder declares after the change. A
// change that is not the next one is left to the log, which knows whether it is
// a resend.
func (f *fleet) compile(ctx context.Context, command *state.Change) error {
	if err := f.catchUp(ctx, command.Number); err != nil {
		return err
	}
	view := f.mirror.View()
	if view.Revision()+1 != command.Number {
		return nil
	}
	files := bytes(view.Files())
	for name, content := range command.Files {
		files[name] = []byte(content)
		if content == "" {
			delete(files, name)
		}
	}
	policy, err := conf.Merge(files)
	if err != nil {
		return poplar.Fail(poplar.StepParse, poplar.CodeInvalid, err).Ran(poplar.RunNo)
	}
	return f.declare(command, view.Revision(), policy)
}

// declare names the budgets that the change declares anew, alters or drops. The
// number of the change makes sure that they are compared with the revision that
// it follows.
func (f *fleet) declare(command *state.Change, revision poplar.Revision, policy *conf.Policy) error {
	base := f.rules.force.Load()
	if base.revision != revision {
		return poplar.Failf(poplar.StepPropose, poplar.CodeBusy, "revision %d is being compiled; try again", revision).Ran(poplar.RunNo)
	}
	command.Patch = true
	for _, b := range policy.Budgets() {
		if base.policy != nil {
			if old, ok := base.policy.Budget(b.Name()); ok && old.Workspace() == b.Workspace() && old.Tokens() == b.Tokens() {
				continue
			}
		}
		command.Budgets = append(command.Budgets, state.Declared{Name: b.Name(), Workspace: b.Workspace(), Tokens: b.Tokens()})
	}
	if base.policy == nil {
		return nil
	}
	for _, old := range base.policy.Budgets() {
		if _, ok := policy.Budget(old.Name()); !ok {
			command.Drops = append(command.Drops, old.Name())
		}
	}
	return nil
}

// catchUp waits until the revision before number is in force here.
func (f *fleet) catchUp(ctx context.Context, number poplar.Revision) error {
	call, cancel := context.WithTimeout(ctx, inspectTime)
	defer cancel()
	for f.rules.force.Load().revision+1 < number {
		select {
		case <-call.Done():
			at := f.rules.force.Load().revision
			return poplar.Failf(poplar.StepPropose, poplar.CodeStale,
				"revision %d is in force here; the next change has number %d", at, at+1).Ran(poplar.RunNo)
		case <-f.mirror.News():
		case <-time.After(catchPause):
		}
	}
	return nil
}

// Topup implements oper.Fleet.
func (f *fleet) Topup(ctx context.Context, t oper.Topup) (oper.Topped, error) {
	reply, err := f.propose(ctx, state.Command{Topup: &state.Topup{
		ID: t.ID, Budget: t.Budget, Tokens: t.Tokens, Operator: t.By, At: t.At,
	}})
	if err != nil {
		return oper.Topped{}, err
	}
	return oper.Topped{ID: t.ID, Budget: t.Budget, Granted: reply.Granted, Pending: reply.Pending, Again: reply.Duplicate}, nil
}

// Files implements oper.Fleet.
func (f *fleet) Files(context.Context) (oper.Files, error) {
	view := f.mirror.View()
	return oper.Files{Revision: view.Revision(), Files: view.Files()}, nil
}

// Drain implements oper.Fleet.
func (f *fleet) Drain(context.Context) error {
	f.drainer.ask()
	return nil
}

// Force implements oper.Fleet. The daemon must have joined, since the log names
// a holder by the incarnation of its data folder.
func (f *fleet) Force(ctx context.Context, force oper.Force) (oper.Forced, error) {
	primary := state.Holder{Name: force.Primary}
	for _, m := range f.mirror.View().Members() {
		if m.Name == force.Primary && m.Domain == force.Domain {
			primary.Life = m.Life
		}
	}
	if primary.Life == 0 {
		return oper.Forced{}, poplar.Failf(poplar.StepPropose, poplar.CodeMissing,
			"no daemon %q of domain %q has joined", force.Primary, force.Domain).Ran(poplar.RunNo)
	}
	reply, err := f.propose(ctx, state.Command{Ledger: &state.Ledger{
		Domain: force.Domain, Epoch: force.Epoch + 1, Primary: primary, Proposer: f.settings.Name, Force: true,
	}})
	if err != nil {
		return oper.Forced{}, err
	}
	return oper.Forced{Domain: force.Domain, Primary: force.Primary, Epoch: reply.Pair.Epoch, Again: reply.Duplicate}, nil
}

// Release implements oper.Fleet.
func (f *fleet) Release(_ context.Context, fingerprint string) error {
	number, err := strconv.ParseUint(fingerprint, 16, 64)
	if err != nil {
		return poplar.Failf(poplar.StepParse, poplar.CodeInvalid, "fingerprint %q is no hexadecimal number", fingerprint).Ran(poplar.RunNo)
	}
	f.edge.ReleasePoison(poison.Fingerprint(number))
	return nil
}

// question is what one daemon asks another about its ledger.
type question struct {
	Budget poplar.Budget  `json:"budget,omitempty"`
	Bills  *holder.Filter `json:"bills,omitempty"`
	// Orders asks the issuer for its open orders only.
	Orders bool `json:"orders,omitempty"`
}

// report is the answer to a question.
type report struct {
	Status holder.Status      `json:"status"`
	Share  holder.ShareStatus `json:"share"`
	Bills  []poplar.Bill      `json:"bills,omitempty"`
	Orders []order.Order      `json:"orders,omitempty"`
}

// inspect answers another daemon's question.
func (f *fleet) inspect(_ context.Context, _ poplar.Daemon, q question) (report, error) {
	if q.Orders {
		return report{Orders: f.orders.issuer.Open()}, nil
	}
	h := f.ledger.holder
	if h == nil {
		err := poplar.Failf(poplar.StepPeer, poplar.CodeMissing, "this daemon holds no ledger")
		return report{}, err.At(string(f.settings.Name)).Ran(poplar.RunNo)
	}
	r := report{Status: h.Status(), Share: f.sum(h, q.Budget)}
	if q.Bills != nil {
		r.Bills = h.Bills(*q.Bills)
	}
	return r, nil
}

// sum adds up the shares of all budgets, or returns that of one.
func (f *fleet) sum(h *holder.Replica, budget poplar.Budget) holder.ShareStatus {
	if budget != "" {
		s, _ := h.Share(budget)
		return s
	}
	var total holder.ShareStatus
	for _, s := range h.Shares(false) {
		total.Issued += s.Issued
		total.Returned += s.Returned
		total.Settled += s.Settled
		total.Open += s.Open + s.Leased + s.Lost
		total.Available += s.Available
	}
	return total
}

// look asks the primary of a domain.
func (f *fleet) look(ctx context.Context, pair state.Pair, q question) (report, error) {
	return f.ask(ctx, pair.Primary.Name, q)
}

// ask puts a question to a daemon, which may be this one.
func (f *fleet) ask(ctx context.Context, to poplar.Daemon, q question) (report, error) {
	call, cancel := context.WithTimeout(ctx, inspectTime)
	defer cancel()
	if to == f.settings.Name {
		return f.inspect(call, to, q)
	}
	return peer.Call[question, report](call, f.pool, to, peer.OpInspect, q)
}
