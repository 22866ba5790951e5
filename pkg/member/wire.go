package member

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"poplarbend.example/poplar"
)

// This file implements the encoding of messages. Heartbeats are binary, since
// they are sent continuously; catalog deltas are JSON, since they are sent only
// when a catalog changes.

// format is the first byte of every message.
const format = 1

// ageUnit is the unit of ages in messages. Ages are rounded up, so that nothing
// seems newer than it is.
const ageUnit = 50 * time.Millisecond

// The flags of a message.
const (
	flagHello = 1 << iota // the sender requests an echo of its heartbeat
	flagEcho              // the message echoes the receiver's heartbeat
	flagLeaves
	flagDeltas
	flagRequests
	flagSummaries
	flagLossy // the sender lacks heartbeats of its domain
)

// heartbeat is one heartbeat in a message.
type heartbeat struct {
	id            peerID
	incarnation   uint64
	seq           uint64
	age           time.Duration
	oldestRenewal time.Duration // age of the oldest renewal when the heartbeat was made
	version       uint64
	left          bool
	loads         []slotLoad
}

// deltaRequest requests the catalog after a version.
type deltaRequest struct {
	id          peerID
	incarnation uint64
	from        uint64
}

// Summary describes a domain as a whole to other domains.
type Summary struct {
	Domain poplar.Domain
	// Upstreams is the number of upstreams that may get new work, Slots the sum
	// of their slots, and Requests the number of requests that run or wait
	// there.
	Upstreams int
	Slots     int
	Requests  int
	// Made is when the summary was made, by this daemon's clock.
	Made time.Time

	age      time.Duration // age in the message
	forwards int           // how often it was forwarded
}

// message is one decoded message. The first heartbeat is the sender's.
type message struct {
	hello           bool
	lossy           bool
	round           int64
	echo            bool
	echoIncarnation uint64
	echoSeq         uint64
	revision        poplar.Revision
	epoch           poplar.Epoch
	heartbeats      []heartbeat
	leaves          []poplar.Leave
	deltas          []catalogDelta
	requests        []deltaRequest
	summaries       []Summary
}

func flagIf(set bool, flag byte) byte {
	if set {
		return flag
	}
	return 0
}

// ageUnits rounds an age up; all larger ages are encoded as the maximum.
func ageUnits(age time.Duration) byte {
	return byte(min(255, max(0, (age+ageUnit-1)/ageUnit)))
}

func (m *message) encode() []byte {
	out := []byte{format, flagIf(m.hello, flagHello) | flagIf(m.echo, flagEcho) | flagIf(len(m.leaves) > 0, flagLeaves) |
		flagIf(len(m.deltas) > 0, flagDeltas) | flagIf(len(m.requests) > 0, flagRequests) | flagIf(len(m.summaries) > 0, flagSummaries) | flagIf(m.lossy, flagLossy)}
	out = binary.AppendUvarint(out, uint64(m.round))
	out = binary.AppendUvarint(out, uint64(m.revision))
	out = binary.AppendUvarint(out, uint64(m.epoch))
	if m.echo {
		out = binary.AppendUvarint(out, m.echoIncarnation)
		out = binary.AppendUvarint(out, m.echoSeq)
	}
	out = binary.AppendUvarint(out, uint64(len(m.heartbeats)))
	for i := range m.heartbeats {
		out = m.heartbeats[i].append(out)
	}
	if len(m.requests) > 0 {
		out = binary.AppendUvarint(out, uint64(len(m.requests)))
	}
	for _, req := range m.requests {
		out = binary.LittleEndian.AppendUint32(out, uint32(req.id))
		out = binary.AppendUvarint(out, req.incarnation)
		out = binary.AppendUvarint(out, req.from)
	}
	out = appendJSON(out, m.leaves)
	out = appendJSON(out, m.deltas)
	if len(m.summaries) > 0 {
		out = binary.AppendUvarint(out, uint64(len(m.summaries)))
	}
	for _, s := range m.summaries {
		out = s.append(out)
	}
	return out
}

func (s *Summary) append(out []byte) []byte {
	out = binary.AppendUvarint(out, uint64(len(s.Domain)))
	out = append(out, s.Domain...)
	out = append(out, ageUnits(s.age))
	out = binary.AppendUvarint(out, uint64(s.Upstreams))
	out = binary.AppendUvarint(out, uint64(s.Slots))
	return binary.AppendUvarint(out, uint64(s.Requests))
}

// append encodes a heartbeat. The low bit of the incarnation field is the left
// flag.
func (h *heartbeat) append(out []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(h.id))
	tagged := h.incarnation << 1
	if h.left {
		tagged |= 1
	}
	out = binary.AppendUvarint(out, tagged)
	out = binary.AppendUvarint(out, h.seq)
	out = append(out, ageUnits(h.age), ageUnits(h.oldestRenewal))
	out = binary.AppendUvarint(out, h.version)
	out = binary.AppendUvarint(out, uint64(len(h.loads)))
	for _, l := range h.loads {
		out = binary.AppendUvarint(out, uint64(l.slot))
		out = append(out, l.code[:]...)
	}
	return out
}

// appendJSON appends a list with the length of its encoding, or nothing when
// the list is empty.
func appendJSON[T any](out []byte, list []T) []byte {
	if len(list) == 0 {
		return out
	}
	// The lists hold strings, integers and finite numbers, which always encode.
	body, _ := json.Marshal(list)
	out = binary.AppendUvarint(out, uint64(len(body)))
	return append(out, body...)
}

var errTruncated = errors.New("message is truncated")

// reader decodes a message. After an error it returns zero values.
type reader struct {
	data []byte
	err  error
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[n:]
	return v
}

// count reads the length of a list whose items have at least size bytes.
func (r *reader) count(size int) int {
	v := r.uvarint()
	if v > uint64(len(r.data)/size) {
		r.fail()
		return 0
	}
	return int(v)
}

func (r *reader) bytes(n int) []byte {
	if n > len(r.data) {
		r.fail()
		return make([]byte, min(n, 16))
	}
	out := r.data[:n]
	r.data = r.data[n:]
	return out
}

func (r *reader) fail() {
	if r.err == nil {
		r.err = errTruncated
	}
	r.data = nil
}

func (r *reader) id() peerID { return peerID(binary.LittleEndian.Uint32(r.bytes(4))) }

func (r *reader) age() time.Duration { return time.Duration(r.bytes(1)[0]) * ageUnit }

func (r *reader) heartbeat() heartbeat {
	h := heartbeat{id: r.id()}
	tagged := r.uvarint()
	h.incarnation, h.left = tagged>>1, tagged&1 == 1
	h.seq = r.uvarint()
	h.age, h.oldestRenewal = r.age(), r.age()
	h.version = r.uvarint()
	for range r.count(1 + loadBytes) {
		l := slotLoad{slot: int(r.uvarint() & math.MaxInt32)}
		copy(l.code[:], r.bytes(loadBytes))
		h.loads = append(h.loads, l)
	}
	return h
}

func (r *reader) summary() Summary {
	s := Summary{Domain: poplar.Domain(r.bytes(r.count(1))), age: r.age()}
	s.Upstreams = int(r.uvarint() & math.MaxInt32)
	s.Slots = int(r.uvarint() & math.MaxInt32)
	s.Requests = int(r.uvarint() & math.MaxInt32)
	return s
}

func readJSON[T any](r *reader, present bool) []T {
	if !present {
		return nil
	}
	var out []T
	body := r.bytes(r.count(1))
	if r.err == nil {
		if err := json.Unmarshal(body, &out); err != nil {
			r.err = err
		}
	}
	return out
}

// roundMask bounds the round number; the numbers suffice for a million years.
const roundMask = 1<<48 - 1

// minHeartbeatSize is the smallest size of an encoded heartbeat in bytes.
const minHeartbeatSize = 10

func decode(data []byte) (*message, error) {
	r := &reader{data: data}
	head := r.bytes(2)
	if head[0] != format {
		return nil, fmt.Errorf("message has format %d, want %d", head[0], format)
	}
	flags := head[1]
	m := &message{hello: flags&flagHello != 0, echo: flags&flagEcho != 0, lossy: flags&flagLossy != 0}
	m.round = int64(r.uvarint() & roundMask)
	m.revision, m.epoch = poplar.Revision(r.uvarint()), poplar.Epoch(r.uvarint())
	if m.echo {
		m.echoIncarnation, m.echoSeq = r.uvarint(), r.uvarint()
	}
	for range r.count(minHeartbeatSize) {
		m.heartbeats = append(m.heartbeats, r.heartbeat())
	}
	if flags&flagRequests != 0 {
		for range r.count(6) {
			m.requests = append(m.requests, deltaRequest{id: r.id(), incarnation: r.uvarint(), from: r.uvarint()})
		}
	}
	m.leaves = readJSON[poplar.Leave](r, flags&flagLeaves != 0)
	m.deltas = readJSON[catalogDelta](r, flags&flagDeltas != 0)
	if flags&flagSummaries != 0 {
		for range r.count(5) {
			m.summaries = append(m.summaries, r.summary())
		}
	}
	switch {
	case r.err != nil:
		return nil, fmt.Errorf("decode message of %d bytes: %w", len(data), r.err)
	case len(m.heartbeats) == 0:
		return nil, errors.New("message has no heartbeat of its sender")
	case len(r.data) > 0:
		return nil, fmt.Errorf("%d trailing bytes after the message", len(r.data))
	}
	return m, nil
}
