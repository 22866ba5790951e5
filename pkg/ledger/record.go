// Package ledger implements the state machine of one failure domain's ledger:
// the domain's share of every budget, its request records, and the claims for
// which the domain is home.
//
// The methods of Machine that decide on a request, such as Reserve and Settle,
// return records and an answer. They change nothing; Apply changes the state by
// one record. The same records applied to the same state give the same result,
// so a restart replays them and a backup applies them as they arrive. The answer
// must not be sent before the records are durable at the primary and the backup
// of the epoch. Feed sends the records to the backup, which receives them with
// Replica.
package ledger

import (
	"fmt"
	"unique"

	"google.golang.org/protobuf/encoding/protowire"

	"poplarbend.example/poplar"
)

// This file implements the journal record and its binary encoding.

// Kind identifies the change that a record makes.
type Kind uint64

// The kinds of records. The numbers are part of the disk format.
const (
	KindEpoch        Kind = 1  // the log set the pair of an epoch
	KindIssue        Kind = 2  // the log issued, recalled or wrote off tokens of a budget, or closed it
	KindReserve      Kind = 3  // an attempt of a request started
	KindExtend       Kind = 4  // an open attempt got more tokens or another upstream
	KindSettle       Kind = 5  // an attempt ended
	KindVoid         Kind = 6  // the request is billed in another domain instead
	KindProvisional  Kind = 7  // the attempt runs without a claim
	KindReturn       Kind = 8  // the returned counter was raised
	KindLease        Kind = 9  // a router's lease was raised
	KindReport       Kind = 10 // a router reported on its lease
	KindOrphan       Kind = 11 // the router of an open attempt has departed
	KindClaimRequest Kind = 12 // a claim was granted, settled or released
	KindConfirm      Kind = 13 // the home domain confirmed the outcome
	KindExpire       Kind = 14 // everything settled before a time is removed
	KindRecordsLost  Kind = 15 // records before a time were lost
	KindRevision     Kind = 16 // a configuration revision is in force in the domain

	// The kinds below occur in snapshots only.
	KindAccount     Kind = 32
	KindRequest     Kind = 33
	KindClaim       Kind = 34
	KindTombstone   Kind = 35
	KindRouterLease Kind = 36
	KindHeader      Kind = 37
)

// Bits of Record.Flags.
const (
	flagKeyed uint64 = 1 << iota
	flagIdempotent
	flagClosed
	flagProvisional
	flagReported
	flagVoid
	flagSettled
)

// maxRecordBytes bounds the size of an encoded record.
const maxRecordBytes = 1 << 24

// Record is one change of the ledger. The kind determines which fields are used
// and what they mean: Nonce, for example, is the run in KindEpoch and the
// configuration revision in KindRevision, and Seq is the serial of the budget in
// KindIssue and KindReserve. Fields with the zero value are not encoded.
type Record struct {
	Kind        Kind
	Epoch       poplar.Epoch
	Seq         uint64
	Workspace   poplar.Workspace
	Key         poplar.Key
	Budget      poplar.Budget
	Caller      poplar.Caller
	Router      poplar.Daemon
	Backup      poplar.Daemon
	Upstream    poplar.Upstream
	Domain      poplar.Domain
	OutcomeOrOp string // an outcome, or the operation of a claim request
	Digest      uint64
	Nonce       uint64
	Flags       uint64
	Rank        uint64
	State       uint64
	Call        uint64
	Attempt     poplar.Attempt
	Tokens      poplar.Tokens
	Spent       poplar.Tokens
	Returned    poplar.Tokens
	Open        poplar.Tokens
	Leased      poplar.Tokens
	Lost        poplar.Tokens
	At          int64 // milliseconds of Unix time
	Answer      []byte
}

// Request returns the identity of the request that the record is about.
func (r *Record) Request() poplar.Request { return poplar.NewRequest(r.Workspace, r.Key) }

func (r *Record) hasFlag(flag uint64) bool { return r.Flags&flag != 0 }

func flagIf(set bool, bit uint64) uint64 {
	if set {
		return bit
	}
	return 0
}

// numbers returns pointers to the unsigned fields in the order of their field
// numbers, as amounts does for the signed fields and texts for the strings. All
// three orders are part of the format.
func (r *Record) numbers() [9]*uint64 {
	return [9]*uint64{
		(*uint64)(&r.Kind), (*uint64)(&r.Epoch), &r.Seq, &r.Digest, &r.Nonce, &r.Flags, &r.Rank, &r.State,
		&r.Call,
	}
}

func (r *Record) amounts() [7]*int64 {
	return [7]*int64{
		(*int64)(&r.Tokens), (*int64)(&r.Spent), (*int64)(&r.Returned), (*int64)(&r.Open),
		(*int64)(&r.Leased), (*int64)(&r.Lost), &r.At,
	}
}

func (r *Record) texts() [9]*string {
	return [9]*string{
		(*string)(&r.Workspace), (*string)(&r.Key), (*string)(&r.Budget), (*string)(&r.Caller),
		(*string)(&r.Router), (*string)(&r.Backup), (*string)(&r.Upstream), (*string)(&r.Domain), &r.OutcomeOrOp,
	}
}

// The first field number of each group, and single fields.
const (
	fieldNumbers protowire.Number = 1
	fieldTexts   protowire.Number = 17
	fieldAmounts protowire.Number = 33
	fieldAttempt protowire.Number = 48
	fieldAnswer  protowire.Number = 49
	fieldDigest                   = fieldNumbers + 3
	fieldKey                      = fieldTexts + 1
)

// Append appends the record to b, encoded in the protocol buffer wire format,
// and returns the extended slice.
func (r *Record) Append(b []byte) []byte {
	for i, value := range r.numbers() {
		if *value == 0 {
			continue
		}
		field := fieldNumbers + protowire.Number(i)
		if field == fieldDigest {
			b = protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), *value)
			continue
		}
		b = protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), *value)
	}
	for i, text := range r.texts() {
		if *text != "" {
			b = protowire.AppendTag(b, fieldTexts+protowire.Number(i), protowire.BytesType)
			b = protowire.AppendString(b, *text)
		}
	}
	for i, amount := range r.amounts() {
		if *amount != 0 {
			b = protowire.AppendTag(b, fieldAmounts+protowire.Number(i), protowire.VarintType)
			b = protowire.AppendVarint(b, protowire.EncodeZigZag(*amount))
		}
	}
	if r.Attempt != 0 {
		b = protowire.AppendTag(b, fieldAttempt, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(r.Attempt))
	}
	if len(r.Answer) > 0 {
		b = protowire.AppendTag(b, fieldAnswer, protowire.BytesType)
		b = protowire.AppendBytes(b, r.Answer)
	}
	return b
}

// Decode decodes a record that Append encoded. Errors have CodeCorrupt.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) > maxRecordBytes {
		return r, corruptf("record of %d bytes is over the size limit", len(data))
	}
	for len(data) > 0 {
		field, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return r, corruptf("decode record tag: %w", protowire.ParseError(n))
		}
		data = data[n:]
		n, err := r.decodeField(field, kind, data)
		if err != nil {
			return r, err
		}
		data = data[n:]
	}
	if r.Kind == 0 {
		return r, corruptf("record without a kind")
	}
	return r, nil
}

func (r *Record) decodeField(field protowire.Number, kind protowire.Type, data []byte) (int, error) {
	var n int
	switch kind {
	case protowire.VarintType:
		var value uint64
		value, n = protowire.ConsumeVarint(data)
		if n >= 0 && !r.setNumber(field, value) {
			return 0, corruptf("number in unknown field %d", field)
		}
	case protowire.Fixed64Type:
		r.Digest, n = protowire.ConsumeFixed64(data)
		if field != fieldDigest {
			return 0, corruptf("fixed-size number in field %d, which is not the digest", field)
		}
	case protowire.BytesType:
		var value []byte
		value, n = protowire.ConsumeBytes(data)
		if n >= 0 && !r.setText(field, value) {
			return 0, corruptf("text in unknown field %d", field)
		}
	default:
		return 0, corruptf("field %d has wire type %d", field, kind)
	}
	if n < 0 {
		return 0, corruptf("decode record field %d: %w", field, protowire.ParseError(n))
	}
	return n, nil
}

func (r *Record) setNumber(field protowire.Number, value uint64) bool {
	numbers, amounts := r.numbers(), r.amounts()
	switch {
	case field == fieldAttempt:
		r.Attempt = poplar.Attempt(value)
	case field >= fieldNumbers && int(field-fieldNumbers) < len(numbers) && field != fieldDigest:
		*numbers[field-fieldNumbers] = value
	case field >= fieldAmounts && int(field-fieldAmounts) < len(amounts):
		*amounts[field-fieldAmounts] = protowire.DecodeZigZag(value)
	default:
		return false
	}
	return true
}

// setText interns every string except the key, so that records share the memory
// of repeated names. Keys are too numerous to intern.
func (r *Record) setText(field protowire.Number, value []byte) bool {
	texts := r.texts()
	switch {
	case field == fieldAnswer:
		r.Answer = append([]byte(nil), value...)
	case field == fieldKey:
		r.Key = poplar.Key(value)
	case field >= fieldTexts && int(field-fieldTexts) < len(texts):
		*texts[field-fieldTexts] = unique.Make(string(value)).Value()
	default:
		return false
	}
	return true
}

func corruptf(format string, args ...any) error {
	return poplar.Fail(poplar.StepDisk, poplar.CodeCorrupt, fmt.Errorf(format, args...))
}
