package peer

import "sync/atomic"

// This file holds the count of bytes and messages by operation.

// Meter counts the messages and bytes of each operation, without HTTP and TCP
// headers. The zero value is ready for use, and a nil Meter counts nothing.
type Meter struct {
	messages [ops]atomic.Int64
	out      [ops]atomic.Int64 // bytes
	in       [ops]atomic.Int64 // bytes
	dropped  atomic.Int64      // batches that were not delivered
}

func (m *Meter) drop() {
	if m != nil {
		m.dropped.Add(1)
	}
}

// Dropped returns the number of batches that could not be delivered.
func (m *Meter) Dropped() int64 { return m.dropped.Load() }

func (m *Meter) sent(op Op, bytes int) {
	if m == nil {
		return
	}
	m.messages[op].Add(1)
	m.out[op].Add(int64(bytes))
}

func (m *Meter) received(op Op, bytes int) {
	if m == nil {
		return
	}
	m.in[op].Add(int64(bytes))
}

// Traffic is what a daemon exchanged in one operation that it called.
type Traffic struct {
	Messages int64 `json:"messages"`
	Sent     int64 `json:"sent"`     // bytes
	Received int64 `json:"received"` // bytes
}

// Traffic returns the traffic by the name of the operation, without those that
// were not called.
func (m *Meter) Traffic() map[string]Traffic {
	out := map[string]Traffic{}
	for op := range ops {
		if n := m.messages[op].Load(); n > 0 {
			out[names[op]] = Traffic{Messages: n, Sent: m.out[op].Load(), Received: m.in[op].Load()}
		}
	}
	return out
}

// names are those of the methods of wire.Peer.
var names = [ops]string{
	OpStep: "step", OpPropose: "propose", OpFollow: "follow", OpKeep: "keep", OpReserve: "reserve", OpExtend: "extend",
	OpSettle: "settle", OpLease: "lease", OpCopy: "copy", OpClaim: "claim", OpForward: "forward", OpDemand: "demand",
	OpPoison: "poison", OpInspect: "inspect", OpUsage: "usage",
}

// control lists the operations that are not part of a caller's request.
var control = []Op{OpStep, OpPropose, OpFollow, OpKeep, OpLease, OpDemand, OpUsage, OpPoison}

// Control returns the messages and bytes of control traffic that this daemon
// started: the log, following, leases, demand and use.
func (m *Meter) Control() (messages, bytes int64) {
	for _, op := range control {
		messages += m.messages[op].Load()
		bytes += m.out[op].Load() + m.in[op].Load()
	}
	return messages, bytes
}
