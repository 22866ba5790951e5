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
		return func(b *claim.Store, r *claim.Record) {
			b.Settle(r, poplar.Settlement{Outcome: outcome, Spent: 3}, start)
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
		{"open, same call sent again", unchanged, false, func(a *poplar.ReserveRequest) { a.CallID = 7 }, poplar.VerdictRun, ""},
		{"open, sent by another router", unchanged, false, func(a *poplar.ReserveRequest) { a.CallID, a.Router = 7, "s" }, poplar.VerdictWait, ""},
		{"orphan", orphaned, true, nil, poplar.VerdictResume, ""},
		{"orphan, not idempotent", orphaned, false, nil, "", poplar.CodeUnknown},
		{"orphan, idempotent only in the retry", orphaned, false, func(a *poplar.ReserveRequest) { a.Idempotent = true }, "", poplar.CodeUnknown},
		{"unknown", settled(poplar.OutcomeUnknown), true, nil, poplar.VerdictRun, ""},
		{"unknown, not idempotent", settled(poplar.OutcomeUnknown), false, nil, "", poplar.CodeUnknown},
		{"unrun", settled(poplar.OutcomeNotRun), false, nil, poplar.VerdictRun, ""},
		{"done", settled(poplar.OutcomeDone), false, nil, poplar.VerdictReplay, ""},
		{"cut", settled(poplar.OutcomeCut), true, nil, poplar.VerdictReplay, ""},
		{"other body", settled(poplar.OutcomeDone), true, func(a *poplar.ReserveRequest) { a.Digest = 2 }, "", poplar.CodeClash},
	} {
		b := claim.New(claim.DefaultLimits)
		first := reserveRequest("k")
		first.Idempotent, first.CallID = test.idempotent, 7
		r := b.Start(first, 1, 10, 1, start)
		test.change(b, r)
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
	b := claim.New(claim.Limits{AnswerBytes: 10, TotalAnswerBytes: 25, Tombstones: 4, Window: time.Minute})
	for i, size := range []int{10, 11, 10, 10} {
		r := b.Start(reserveRequest(poplar.Key(fmt.Sprint(i))), 1, 10, 1, start)
		b.Settle(r, poplar.Settlement{Outcome: poplar.OutcomeDone, Response: make([]byte, size)}, start)
	}
	for i, want := range []int{0, 0, 10, 10} {
		assert.Equal(t, len(b.Record(request(poplar.Key(fmt.Sprint(i)))).Answer()), want, "%d", i)
	}
}

func TestTombstones(t *testing.T) {
	tombstones := claim.NewTombstones(3)
	for i := range 4 {
		tombstones.Add(request(poplar.Key(fmt.Sprint(i))), "d", i != 1)
	}
	for i, want := range []bool{false, true, true, true} {
		domain, ok := tombstones.Has(request(poplar.Key(fmt.Sprint(i))))
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

// TestKeysDatedInTheFuture lets a key expire whose time is far in the future.
// The time in the key would not get it refused, so its fingerprint must be
// stored.
func TestKeysDatedInTheFuture(t *testing.T) {
	b := claim.New(claim.Limits{Tombstones: 1, Window: time.Minute})
	ahead := []poplar.Key{"0fffffff-6800-7000-8000-000000000000", "0fffffff-6800-7000-8000-000000000001"}
	for i, key := range ahead {
		b.Settle(b.Start(reserveRequest(key), 1, 1, 1, start), poplar.Settlement{Outcome: poplar.OutcomeNotRun}, start)
		b.Confirm(b.Record(request(key)))
		b.Expire(start.Add(time.Duration(i+1) * time.Hour))
		assert.Equal(t, poplar.CodeOf(b.CheckNew(request(ahead[0]), false)), poplar.CodeExpired)
	}
	assert.Equal(t, b.Tombstones().Len(), 2)
	assert.Equal(t, poplar.CodeOf(b.CheckNew(request("0fffffff-6800-7000-8000-000000000002"), false)), poplar.CodeLarge)
	assert.NilError(t, b.CheckNew(request("018bd055-19c0-7000-8000-000000000000"), false)) // two minutes past the horizon
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
