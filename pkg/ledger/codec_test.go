package ledger_test

import (
	"fmt"
	"sort"
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

// This file tests the encoding of records and snapshots: round trips, invalid
// input and fuzz targets for both decoders.

// fullRecord returns a record in which every field is set.
func fullRecord() ledger.Record {
	return ledger.Record{
		Kind: ledger.KindReserve, Epoch: 3, Seq: 4, Workspace: "w", Key: "k", Budget: "b", Caller: "c",
		Router: "r", Backup: "s", Upstream: "u", Domain: "d", OutcomeOrOp: "done", Digest: 1 << 63, Nonce: 5, Flags: 6,
		Rank: 2, State: 1, Call: 15, Attempt: 7, Tokens: 8, Spent: -9, Returned: 10, Open: 11, Leased: 12, Lost: 13, At: -14,
		Answer: []byte("answer"),
	}
}

func TestRecordCodec(t *testing.T) {
	r := fullRecord()
	data := r.Append(nil)
	decoded, err := ledger.Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, r)
	for n := range data {
		if _, err := ledger.Decode(data[:n]); err != nil {
			assert.Equal(t, poplar.CodeOf(err), poplar.CodeCorrupt)
		}
	}
	for _, invalid := range [][]byte{nil, {0xff}, {0xf8, 0x07, 1}, {0x0d, 0, 0, 0, 0}} {
		_, err := ledger.Decode(invalid)
		assert.Equal(t, poplar.CodeOf(err), poplar.CodeCorrupt, "%x", invalid)
	}
}

func FuzzDecode(f *testing.F) {
	r := fullRecord()
	f.Add(r.Append(nil))
	f.Add([]byte{0x08, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := ledger.Decode(data)
		if err != nil {
			assert.Equal(t, poplar.CodeOf(err), poplar.CodeCorrupt)
			return
		}
		decoded, err := ledger.Decode(record.Append(nil))
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, record)
	})
}

func FuzzRestore(f *testing.F) {
	m := ledger.New("d", limits)
	for _, records := range [][]ledger.Record{
		m.SetPair(1, "a", "b", 1), m.Issue([]ledger.Share{{Budget: "b", Serial: 1, Issued: 100}}),
	} {
		for i := range records {
			assert.NilError(f, m.Apply(&records[i]))
		}
	}
	f.Add(m.Snapshot())
	f.Add([]byte{2, 8, 37})
	f.Fuzz(func(t *testing.T, data []byte) {
		machine, err := ledger.Restore("d", limits, data)
		if err != nil {
			assert.Equal(t, poplar.CodeOf(err), poplar.CodeCorrupt)
			return
		}
		for _, name := range machine.Budgets().Names() {
			account, _ := machine.Budgets().Account(name)
			assert.Assert(t, account.Valid())
		}
	})
}

// stateLines returns the state of a machine as sorted lines.
func stateLines(m *ledger.Machine) []string {
	lines := []string{fmt.Sprint(m.Seq(), m.Epoch(), m.Run(), m.ReservationCount(), m.Revision(), m.RecordsLostAt(), m.Claims().Horizon())}
	m.Claims().Each(func(r *claim.Record) bool {
		lines = append(lines, fmt.Sprintf("%+v", r.Export()))
		return true
	})
	m.Claims().EachClaim(func(c *claim.Claim) { lines = append(lines, fmt.Sprintf("%+v", *c)) })
	m.Claims().Tombstones().Each(func(fingerprint uint64, domain poplar.Domain, idempotent bool) {
		lines = append(lines, fmt.Sprint(fingerprint, domain, idempotent))
	})
	for _, name := range m.Budgets().Names() {
		lines = append(lines, fmt.Sprintf("%s %+v", name, m.Budgets().State(name)))
	}
	sort.Strings(lines)
	return lines
}
