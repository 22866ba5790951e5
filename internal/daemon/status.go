package daemon

import (
	"context"
	"sort"
	"strconv"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/internal/oper"
)

// This file holds the views of the fleet for operators.

// Status implements oper.Fleet. Domains that cannot be reached are listed with
// what the log says of them.
func (f *fleet) Status(ctx context.Context, query oper.StatusQuery) (oper.Status, error) {
	view := f.mirror.View()
	s := oper.Status{
		Daemon: f.settings.Name, Domain: f.settings.Domain, Revision: view.Revision(),
		Ready: f.rules.Policy() != nil,
	}
	f.addLog(&s)
	for _, pair := range view.Pairs() {
		d := oper.DomainStatus{
			Domain: pair.Domain, Primary: pair.Primary.Name, Backup: pair.Backup.Name, Epoch: pair.Epoch,
			Ready: pair.Ready() && pair.Backup.Name != "",
		}
		if r, err := f.look(ctx, pair, question{Budget: query.Budget}); err == nil {
			d.Revision, d.Open = r.Status.Revision, r.Status.Open
			d.Share = shareOf(r.Share)
			d.Contact = moment(f.clock.Now())
		}
		s.Domains = append(s.Domains, d)
	}
	f.addUpstreams(&s)
	f.addIssuers(ctx, &s)
	f.addSuspects(&s)
	return s, nil
}

func (f *fleet) addLog(s *oper.Status) {
	if f.voting.voter == nil {
		s.Leader = f.access.hint()
		return
	}
	status := f.voting.voter.Status()
	s.Leader, s.Term = status.Leader().Name, status.Term()
	for _, m := range status.Members().All() {
		v := oper.VoterStatus{Name: m.Name}
		if m == status.Self() {
			v.Durable = status.Commit()
			v.Contact = moment(f.clock.Now())
		} else {
			v.Contact = moment(status.Contact(m))
		}
		s.Voters = append(s.Voters, v)
	}
}

func (f *fleet) addUpstreams(s *oper.Status) {
	table := f.roster.View().Table()
	now := f.clock.Now()
	for i := range table.Len() {
		c := table.At(i)
		s.Upstreams = append(s.Upstreams, oper.UpstreamStatus{
			Name: c.Name(), Domain: c.Domain(), Flight: c.LocalState().InFlight(), Leaving: !c.Eligible(now),
			Contact: moment(c.Report().At),
		})
	}
}

// mostSuspects bounds the suspects in a status.
const mostSuspects = 100

func (f *fleet) addSuspects(s *oper.Status) {
	crashes := 2
	if p := f.rules.Policy(); p != nil {
		crashes = p.Numbers().Crashes
	}
	for _, r := range f.edge.PoisonRecords(mostSuspects) {
		s.Suspects = append(s.Suspects, oper.Suspect{
			Print: strconv.FormatUint(uint64(r.Fingerprint), 16), Crashes: len(r.Crashes), Refused: len(r.Crashes) >= crashes,
		})
	}
}

func shareOf(s holder.ShareStatus) oper.Share {
	return oper.Share{Issued: s.Issued, Returned: s.Returned, Settled: s.Settled, Reserved: s.Open, Free: s.Available}
}

// moment returns a pointer to a time, nil for the zero time.
func moment(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

// Bills implements oper.Fleet. The bills of domains that cannot be reached are
// missing.
func (f *fleet) Bills(ctx context.Context, query oper.BillQuery) (oper.Bills, error) {
	filter := holder.Filter{Workspace: query.Workspace, Budget: query.Budget, Limit: oper.MostBills}
	var all []poplar.Bill
	for _, pair := range f.mirror.View().Pairs() {
		r, err := f.look(ctx, pair, question{Bills: &filter})
		if err != nil {
			continue
		}
		all = append(all, r.Bills...)
	}
	sort.Slice(all, func(i, j int) bool { return place(all[i]) < place(all[j]) })
	page := oper.Bills{}
	for _, b := range all {
		if place(b) <= query.After {
			continue
		}
		if len(page.Bills) == query.Limit {
			page.Next = place(page.Bills[len(page.Bills)-1])
			break
		}
		page.Bills = append(page.Bills, b)
	}
	return page, nil
}

// place orders bills by time, then by request.
func place(b poplar.Bill) string {
	return b.At.UTC().Format("2006-01-02T15:04:05.000000000") + "/" + string(b.Workspace) + "/" + string(b.Key)
}

// Why implements oper.Fleet.
func (f *fleet) Why(ctx context.Context, request poplar.Request) (oper.Why, error) {
	why := oper.Why{Workspace: request.Workspace(), Key: request.Key()}
	filter := holder.Filter{Workspace: request.Workspace(), Key: request.Key(), Limit: 1}
	for _, pair := range f.mirror.View().Pairs() {
		r, err := f.look(ctx, pair, question{Bills: &filter})
		if err != nil || len(r.Bills) == 0 {
			continue
		}
		why.Bill = &r.Bills[0]
		why.Run = poplar.RunYes
	}
	return why, nil
}
