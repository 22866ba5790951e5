package edge

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/intake"
	"poplarbend.example/poplar/pkg/admit"
	"poplarbend.example/poplar/pkg/route"
)

// twoEngineRoster returns a roster with two engines of four slots, and their
// local states. Each engine reports two running requests and a queued one.
func twoEngineRoster(t *testing.T, now time.Time) (*intake.Roster, [2]*route.LocalState) {
	t.Helper()
	roster := intake.NewRoster("d", route.DefaultSettings())
	var states [2]*route.LocalState
	for i, name := range []poplar.Upstream{"e0", "e1"} {
		n := poplar.Announcement{Domain: "d", Address: "h:1", Kind: poplar.KindEngine, Models: []poplar.Model{"small"}, Slots: 4}
		n.Stamp = poplar.Stamp{Upstream: name, Incarnation: 1, Sequence: 1}
		roster.UpstreamRenewed(n, now.Add(time.Minute))
		roster.LoadReported(poplar.Load{Stamp: n.Stamp, Running: [poplar.Ranks]int{0, 2, 0}, Waiting: [poplar.Ranks]int{0, 0, 1}}, now)
		peer, ok := roster.View().Peer(name)
		assert.Assert(t, ok)
		states[i] = peer.LocalState()
		states[i].SetLimit(4)
	}
	ctx, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer stop()
	roster.RunFlush(ctx)
	return roster, states
}

// TestFeedbackCountsRequestsInFlight checks that the feedback counts requests
// in flight rather than tickets, and takes the headroom of the least urgent
// rank.
func TestFeedbackCountsRequestsInFlight(t *testing.T) {
	now := time.Now()
	roster, states := twoEngineRoster(t, now)
	for _, s := range []*route.LocalState{states[0], states[0], states[1]} {
		s.Start(poplar.Normal, 0, now)
	}
	status := admit.Status{
		Open:     [poplar.Ranks]int{0, 7, 0}, // tickets, four of them without an upstream yet
		Waiting:  [poplar.Ranks]int{0, 0, 1},
		Headroom: [poplar.Ranks]float64{0, 1, 2.5},
	}
	got := feedbackOf("small", roster.View(), status, 3, now)
	assert.Equal(t, got, admit.NewFeedback(8, 6, 2, 3, now).WithLocal(3, true).WithHeadroom(2.5))
}

// fakeTicket is a ticket with a given reason.
type fakeTicket struct{ reason admit.Reason }

func (fakeTicket) FirstToken()            {}
func (fakeTicket) Release(poplar.Tokens)  {}
func (f fakeTicket) Reason() admit.Reason { return f.reason }

// TestFloorWorkUsesHeadroom fills an engine up to the headroom that bulk work
// leaves for more urgent ranks. Only bulk work that was admitted to satisfy its
// floor may use the headroom.
func TestFloorWorkUsesHeadroom(t *testing.T) {
	for reason, runs := range map[admit.Reason]bool{admit.ReasonFloor: true, admit.ReasonRoom: false} {
		t.Run(string(reason), func(t *testing.T) {
			h := newHarness(t, 1000)
			h.policy = compilePolicy(t, `"ranks": {"urgent": {"first": "1ms"}, "normal": {"first": "1ms"}, "bulk": {"first": "1ms"}}`)
			e, _ := h.startDaemon("a")
			n := poplar.Announcement{
				Stamp: poplar.Stamp{Upstream: "x", Incarnation: 1, Sequence: 1}, Domain: "d", Address: "127.0.0.1:1",
				Kind: poplar.KindEngine, Models: []poplar.Model{"small"},
			}
			n.Slots = 16
			h.announce(withNextSequence(n))
			peer, _ := h.roster.View().Peer("x")
			peer.LocalState().SetLimit(16)
			for range 15 {
				peer.LocalState().Start(poplar.Urgent, 0, time.Now())
			}
			c := &call{
				edge: e, policy: h.policy, rank: poplar.Bulk, arrived: time.Now(), ctx: context.Background(),
				op: &completionRequest{model: h.policy.Models()[0]}, ticket: fakeTicket{reason},
			}
			_, err := c.choose(route.ForModel("small", poplar.Bulk, 1, nil), "")
			assert.Equal(t, err == nil, runs, "%v", err)
			assert.Assert(t, runs || poplar.CodeOf(err) == poplar.CodeNone)
		})
	}
}
