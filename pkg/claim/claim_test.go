package claim_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
)

var start = time.UnixMilli(1_700_000_000_000)

func reserveRequest(key poplar.Key) poplar.ReserveRequest {
	return poplar.ReserveRequest{Workspace: "w", Budget: "b", Key: key, Keyed: true, Digest: 1, MaxTokens: 10, Router: "r", Upstream: "u"}
}

func request(key poplar.Key) poplar.Request { return poplar.NewRequest("w", key) }

func TestHomeIsStableWhenDomainsChange(t *testing.T) {
	domains := []poplar.Domain{"a", "b", "c", "d"}
	count := map[poplar.Domain]int{}
	const keys = 4000
	for i := range keys {
		r := request(poplar.Key(fmt.Sprint(i)))
		home := claim.Home(r, domains)
		count[home]++
		assert.Equal(t, claim.Home(r, []poplar.Domain{"d", "c", "b", "a"}), home)
		if home != "d" {
			assert.Equal(t, claim.Home(r, domains[:3]), home)
		}
	}
	for domain, n := range count {
		assert.Assert(t, n > keys/5 && n < keys*3/10, "%s is the home of %d requests", domain, n)
	}
	assert.Equal(t, claim.Home(request("k"), nil), poplar.Domain(""))
}

func TestDecide(t *testing.T) {
	settled := func(outcome poplar.Outcome) func(*claim.Store, *claim.Record) {
		return func(store *claim.Store, r *claim.Record) {
			store.Settle(r, poplar.Settlement{Outcome: outcome, Spent: 3}, start)
		}
	}
	orphaned := func(_ *claim.Store, r *claim.Record) { r.MarkOrphaned(start) }
	unchanged := func(*claim.Store, *claim.Record) {}
	for _, test := range []struct {
		name       string
		change     func(*claim.Store, *claim.Record)
		idempotent bool
		alter      func(*poplar.ReserveRequest)
		verdict    poplar.Verdict
		code       poplar.Code
	}{
		{"open", unchanged, true, nil, poplar.VerdictWait, ""},
		{"open, same call sent again", unchanged, false, func(req *poplar.ReserveRequest) { req.CallID = 7 }, poplar.VerdictRun, ""},
		{"open, sent by another router", unchanged, false, func(req *poplar.ReserveRequest) { req.CallID, req.Router = 7, "s" }, poplar.VerdictWait, ""},
		{"orphan", orphaned, true, nil, poplar.VerdictResume, ""},
		{"orphan, not idempotent", orphaned, false, nil, "", poplar.CodeUnknown},
		{"orphan, idempotent only in the retry", orphaned, false, func(req *poplar.ReserveRequest) { req.Idempotent = true }, "", poplar.CodeUnknown},
		{"unknown", settled(poplar.OutcomeUnknown), true, nil, poplar.VerdictRun, ""},
		{"unknown, not idempotent", settled(poplar.OutcomeUnknown), false, nil, "", poplar.CodeUnknown},
		{"unrun", settled(poplar.OutcomeNotRun), false, nil, poplar.VerdictRun, ""},
		{"done", settled(poplar.OutcomeDone), false, nil, poplar.VerdictReplay, ""},
		{"cut", settled(poplar.OutcomeIncomplete), true, nil, poplar.VerdictReplay, ""},
		{"other body", settled(poplar.OutcomeDone), true, func(req *poplar.ReserveRequest) { req.Digest = 2 }, "", poplar.CodeConflict},
	} {
		store := claim.New(claim.DefaultLimits)
		first := reserveRequest("k")
		first.Idempotent, first.CallID = test.idempotent, 7
		r := store.Start(first, 1, 10, 1, start)
		test.change(store, r)
		assert.Assert(t, r.Valid(), test.name)
		retry := first
		retry.CallID = 8
		if test.alter != nil {
			test.alter(&retry)
		}
		verdict, err := r.Decide(retry)
		assert.Equal(t, verdict, test.verdict, test.name)
		if test.code != "" {
			assert.Equal(t, poplar.CodeOf(err), test.code, test.name)
		}
	}
}

func TestStoredAnswersAreBounded(t *testing.T) {
	store := claim.New(claim.Limits{AnswerBytes: 10, TotalAnswerBytes: 25, Tombstones: 4, Window: time.Minute})
	for i, size := range []int{10, 11, 10, 10} {
		r := store.Start(reserveRequest(poplar.Key(fmt.Sprint(i))), 1, 10, 1, start)
		store.Settle(r, poplar.Settlement{Outcome: poplar.OutcomeDone, Response: make([]byte, size)}, start)
	}
	for i, want := range []int{0, 0, 10, 10} {
		assert.Equal(t, len(store.Record(request(poplar.Key(fmt.Sprint(i)))).Answer()), want, "%d", i)
	}
}

func TestTombstones(t *testing.T) {
	tombstones := claim.NewTombstones(3)
	for i := range 4 {
		tombstones.Add(request(poplar.Key(fmt.Sprint(i))), "d", i != 1)
	}
	for i, want := range []bool{false, true, true, true} {
		domain, ok := tombstones.Lookup(request(poplar.Key(fmt.Sprint(i))))
		assert.Equal(t, ok, want, "%d", i)
		assert.Equal(t, domain == "d", want)
	}
	assert.Assert(t, !tombstones.Full())
	for i := 4; i < 8; i++ {
		tombstones.Add(request(poplar.Key(fmt.Sprint(i))), "", false)
	}
	assert.Equal(t, tombstones.Len(), 5, "fingerprints of non-idempotent requests are never deleted")
	assert.Assert(t, tombstones.Full())
}

// TestKeysDatedInTheFuture checks that the fingerprint of an expired key is
// stored if the time in the key is far in the future. Such a time would not get
// the key refused.
func TestKeysDatedInTheFuture(t *testing.T) {
	store := claim.New(claim.Limits{Tombstones: 1, Window: time.Minute})
	ahead := []poplar.Key{"0fffffff-6800-7000-8000-000000000000", "0fffffff-6800-7000-8000-000000000001"}
	for i, key := range ahead {
		store.Settle(store.Start(reserveRequest(key), 1, 1, 1, start), poplar.Settlement{Outcome: poplar.OutcomeNotRun}, start)
		store.Confirm(store.Record(request(key)))
		store.Expire(start.Add(time.Duration(i+1) * time.Hour))
		assert.Equal(t, poplar.CodeOf(store.CheckNew(request(ahead[0]), false)), poplar.CodeExpired)
	}
	assert.Equal(t, store.Tombstones().Len(), 2)
	assert.Equal(t, poplar.CodeOf(store.CheckNew(request("0fffffff-6800-7000-8000-000000000002"), false)), poplar.CodeLarge)
	assert.NilError(t, store.CheckNew(request("018bd055-19c0-7000-8000-000000000000"), false)) // two minutes past the horizon
}

func ExampleKeyTime() {
	at, dated := claim.KeyTime("018bcfe5-6800-7000-8000-000000000000")
	fmt.Println(at.UTC().Format(time.RFC3339), dated)
	_, dated = claim.KeyTime("order-17")
	fmt.Println(dated)
	// Output:
	// 2023-11-14T22:13:20Z true
	// false
}
