package ledger_test

import (
	"fmt"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

func ExampleMachine() {
	machine := ledger.New("north", claim.DefaultLimits)
	apply := func(records []ledger.Record) {
		for i := range records { // a real ledger also makes the records durable
			if err := machine.Apply(&records[i]); err != nil {
				panic(err)
			}
		}
	}
	apply(machine.SetPair(1, "daemon-1", "", 1))
	apply(machine.Issue([]ledger.Share{{Budget: "films", Serial: 1, Issued: 100}}))

	now := time.Now()
	req := poplar.ReserveRequest{
		Workspace: "studio", Budget: "films", Key: "episode-7", Keyed: true, MaxTokens: 40, Router: "daemon-2",
	}
	decision := machine.Reserve(req, nil, now)
	apply(decision.Records)
	fmt.Println(decision.Grant.Verdict, decision.Grant.Attempt)

	settle := poplar.Settlement{
		Workspace: "studio", Key: "episode-7", Attempt: 1, Outcome: poplar.OutcomeDone, Spent: 25, Response: []byte("cues"),
	}
	apply(machine.Settle(settle, nil, now).Records)
	retry := machine.Reserve(req, nil, now)
	fmt.Println(retry.Grant.Verdict, retry.Grant.Billed, string(retry.Grant.Response))
	// Output:
	// run 1
	// replay 25 cues
}
