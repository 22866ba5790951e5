package core

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/voter"
	"poplarbend.example/poplar/pkg/roster"
	"poplarbend.example/poplar/pkg/wallet"
)

// This file holds the state machine that the log drives.

// command is one entry of the log; one field is set.
type command struct {
	Put  *put                `json:"put,omitempty"`
	Draw *wallet.DrawRequest `json:"draw,omitempty"`
	// Leave is the announcement of an upstream that leaves.
	Leave *roster.Announcement `json:"leave,omitempty"`
	// At is the time of the log at which a draw or a leave arrived, in milliseconds.
	At int64 `json:"at,omitempty"`
	// Look changes nothing. Its place in the log makes the answer linearizable.
	Look bool `json:"look,omitempty"`
}

// put declares a configuration.
type put struct {
	Revision poplar.Revision                   `json:"number"`
	Digest   string                            `json:"digest"`
	Document []byte                            `json:"text"` // see Unpack
	Grants   map[poplar.Workspace]wallet.Grant `json:"grants,omitempty"`
}

// Outcome is what became of a declaration.
type Outcome string

// The outcomes.
const (
	// OutcomeNew is a configuration that is now in force.
	OutcomeNew Outcome = "new"
	// OutcomeSame is the configuration that was in force already.
	OutcomeSame Outcome = "same"
	// OutcomeOld is a configuration that a higher number has overtaken.
	OutcomeOld Outcome = "old"
	// OutcomeClash is other content under the number in force.
	OutcomeClash Outcome = "clash"
)

// reply answers a command.
type reply struct {
	Outcome  Outcome              `json:"outcome,omitempty"`
	Revision poplar.Revision      `json:"number"`
	Drawn    *wallet.DrawResponse `json:"drawn,omitempty"`
	Error    string               `json:"error,omitempty"`
}

// image is the whole state, and its durable form.
type image struct {
	Revision poplar.Revision `json:"number"`
	Digest   string          `json:"digest,omitempty"`
	Document []byte          `json:"text,omitempty"` // see Unpack
	Book     *wallet.Budgets `json:"book"`
	Leaves   *roster.Leaves  `json:"leaves"`
	// Now is the latest time at which a draw or a leave arrived, in milliseconds. It only
	// grows, whichever member takes the draws.
	Now int64 `json:"now,omitempty"`
}

// replica is one copy of the state.
type replica struct {
	mu    sync.RWMutex
	state image         // invariant: guarded by mu
	news  chan struct{} // invariant: guarded by mu; closed at the next revision
	// passed is when this member learned of state.Now; guarded by mu.
	passed time.Time
	clock  poplar.Clock
	// left is called with announcements of upstreams that leave, without the lock: with one
	// after it was applied, with all after Restore.
	left func([]roster.Announcement)
	// applying is true while Apply holds the lock. After a panic Apply goes on holding
	// it until Restore.
	applying bool // invariant: used by the goroutine that applies only
}

var _ voter.Applier = (*replica)(nil)

func newReplica(clock poplar.Clock, left func([]roster.Announcement)) *replica {
	return &replica{state: newImage(), news: make(chan struct{}), clock: clock, passed: clock.Now(), left: left}
}

func newImage() image { return image{Book: wallet.NewBudgets(), Leaves: roster.NewLeaves()} }

// now returns the time of the log, in milliseconds: that of the latest draw and
// what has passed since, or the time of day if it is later. A time of day that is
// set back does not hold it up, and it never falls behind what has passed.
func (r *replica) now() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t := r.clock.Now()
	return max(t.UnixMilli(), r.state.Now+t.Sub(r.passed).Milliseconds())
}

// Apply implements voter.Applier.
func (r *replica) Apply(_ poplar.Index, data []byte) []byte {
	r.mu.Lock()
	r.applying = true
	now, revision := r.state.Now, r.state.Revision
	out, left := r.state.apply(data)
	r.applying = false
	if r.state.Now != now {
		r.passed = r.clock.Now()
	}
	if r.state.Revision != revision {
		r.announce()
	}
	r.mu.Unlock()
	if left != nil {
		r.left([]roster.Announcement{*left})
	}
	return encode(out)
}

// apply executes a command. One that cannot be decoded changes nothing. It returns the
// announcement of an upstream that was not known to leave.
func (i *image) apply(data []byte) (out reply, left *roster.Announcement) {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		out.Error = fmt.Sprintf("decode the command: %v", err)
		return out, nil
	}
	switch {
	case c.Put != nil:
		out.Outcome = i.put(c.Put)
	case c.Draw != nil:
		i.Now = max(i.Now, c.At)
		drawn := i.Book.HandleDraw(*c.Draw, c.At)
		out.Drawn = &drawn
	case c.Leave != nil:
		i.Now = max(i.Now, c.At)
		if i.Leaves.Add(*c.Leave, c.At) {
			left = c.Leave
		}
	}
	out.Revision = i.Revision
	return out, left
}

func (i *image) put(p *put) Outcome {
	if o, decided := compare(p.Revision, p.Digest, i.Revision, i.Digest); decided {
		return o
	}
	i.Revision, i.Digest, i.Document = p.Revision, p.Digest, p.Document
	i.Book.Declare(p.Grants)
	return OutcomeNew
}

// compare decides on a declaration that is not above the number held.
func compare(number poplar.Revision, digest string, held poplar.Revision, heldDigest string) (Outcome, bool) {
	switch {
	case number > held:
		return OutcomeNew, false
	case number < held:
		return OutcomeOld, true
	case digest == heldDigest:
		return OutcomeSame, true
	default:
		return OutcomeClash, true
	}
}

// announce wakes those who wait for a revision. The caller holds the lock.
func (r *replica) announce() {
	close(r.news)
	r.news = make(chan struct{})
}

// Snapshot implements voter.Applier.
func (r *replica) Snapshot() []byte {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return encode(r.state)
}

// Restore implements voter.Applier.
func (r *replica) Restore(snapshot []byte, later ...voter.Command) error {
	leaves, err := r.restore(snapshot, later)
	if err == nil {
		r.left(leaves)
	}
	return err
}

func (r *replica) restore(snapshot []byte, later []voter.Command) ([]roster.Announcement, error) {
	if !r.applying {
		r.mu.Lock()
	}
	r.applying = false
	defer r.mu.Unlock()
	state := newImage()
	if len(snapshot) > 0 {
		if err := json.Unmarshal(snapshot, &state); err != nil {
			return nil, fmt.Errorf("decode the snapshot: %w", err)
		}
	}
	for _, c := range later {
		state.apply(c.Data)
	}
	r.state, r.passed = state, r.clock.Now()
	r.announce()
	return state.Leaves.All(), nil
}

// ended reports whether an announcement is of a run of an upstream that has left.
func (r *replica) ended(a roster.Announcement) bool {
	now := r.now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Leaves.Ended(a, now)
}

// held returns the configuration in force and a channel that is closed at the
// next one.
func (r *replica) held() (image, <-chan struct{}) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return image{Revision: r.state.Revision, Digest: r.state.Digest, Document: r.state.Document}, r.news
}

// encode returns the form of v in the log. The types of this file always
// encode.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}
