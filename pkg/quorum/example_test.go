package quorum_test

import (
	"fmt"
	"time"

	"poplarbend.example/poplar/pkg/quorum"
)

// Example runs a log with a single member. The calling code provides the time,
// persists the batches that Ready returns, reports them with Persisted, and
// applies the committed entries.
func Example() {
	self := quorum.Member{Name: "a", Incarnation: 1}
	now := time.Unix(0, 0)
	m := quorum.New(
		quorum.Config{Self: self, ElectionTimeout: time.Second},
		quorum.RecoveredState{Snapshot: quorum.Snapshot{Members: quorum.NewMembers(self)}}, now)
	proposed := false
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		m.Tick(now)
		if m.Role() == quorum.RoleLeader && !proposed {
			index, term, _ := m.Propose([]byte("hello"))
			fmt.Println("proposed", index, "in term", term)
			proposed = true
		}
		r := m.Ready()
		// Write r.Hard() and r.Entries() to the journal and sync it here.
		m.Persisted(r.Batch())
		for _, e := range r.Committed() {
			fmt.Printf("apply %d %q\n", e.Index, e.Data)
		}
	}
	// Output:
	// proposed 2 in term 1
	// apply 1 ""
	// apply 2 "hello"
}
