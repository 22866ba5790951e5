package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/order"
)

// This file holds the messages of a stand-in to the routers: announcements,
// load reports, cache events and the leave.

// The paths of the routers' intake.
const (
	pathAnnounce = "/v1/announce"
	pathLoad     = "/v1/load"
	pathCache    = "/v1/cache"
	pathLeave    = "/v1/leave"
)

// sendTimeout bounds one round of messages to all routers; it is shorter than
// the period of renewal.
const sendTimeout = 800 * time.Millisecond

// event is a change of the cache that waits until it is told.
type event struct {
	due    time.Time
	change poplar.Cached
}

type beacon struct {
	set    Settings
	client *http.Client
	sample func() poplar.Load

	mu      sync.Mutex
	current poplar.Announcement // invariant: guarded by mu; Sequence is the last one sent
	reports uint64              // invariant: guarded by mu
	changes uint64              // invariant: guarded by mu
	late    []event             // invariant: guarded by mu; by due time
	old     []poplar.Load       // invariant: guarded by mu; samples that are not yet reported
	oldAt   []time.Time         // invariant: as long as old
	left    bool
	said    map[string]string // invariant: guarded by mu; the last error by address and path, "" for none
}

func newBeacon(set Settings, kind poplar.Kind, address string, sample func() poplar.Load) *beacon {
	n := poplar.Announcement{
		Domain: set.Domain, Address: address, Kind: kind, Slots: set.Slots,
		Resume: kind == poplar.KindEngine && !set.NoResume, Fenced: set.Fenced,
	}
	n.Upstream, n.Incarnation = set.Name, uint64(time.Now().UnixNano())
	if kind == poplar.KindEngine {
		n.Memory = set.Memory
	} else {
		n.Services = set.Services
	}
	return &beacon{
		set: set, current: n, sample: sample, said: map[string]string{},
		client: &http.Client{Transport: &http.Transport{}},
	}
}

// notice returns the next announcement.
func (b *beacon) notice() poplar.Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current.Sequence++
	return b.current
}

func (b *beacon) stamp(sequence uint64) poplar.Stamp {
	return poplar.Stamp{Upstream: b.current.Upstream, Incarnation: b.current.Incarnation, Sequence: sequence}
}

// changed takes a change of the cache. Some changes are lost, as the settings
// say; each counts in the sequence.
func (b *beacon) changed(stored, evicted []uint64, now time.Time) {
	if len(stored)+len(evicted) == 0 || len(b.set.Announce) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changes++
	change := poplar.Cached{Stamp: b.stamp(b.changes), Stored: stored, Evicted: evicted}
	b.late = append(b.late, event{due: now.Add(b.set.Late), change: change})
}

// serve changes what the announcements say of models and role.
func (b *beacon) serve(models []poplar.Model, loaded []poplar.Loaded, role order.Role) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current.Models, b.current.Loaded, b.current.Role = models, loaded, string(role)
}

// run announces at once and then each second, until ctx is done.
func (b *beacon) run(ctx context.Context) {
	defer b.client.CloseIdleConnections()
	if len(b.set.Announce) == 0 {
		return
	}
	tick := time.NewTicker(renewPeriod)
	defer tick.Stop()
	for {
		b.tell(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// tell sends what is due to every address at once, so that a silent address
// delays no other.
func (b *beacon) tell(ctx context.Context, now time.Time) {
	b.mu.Lock()
	left := b.left
	b.mu.Unlock()
	if left {
		return
	}
	packets := []packet{pack(pathAnnounce, b.notice())}
	if load, ok := b.lagged(now); ok {
		packets = append(packets, pack(pathLoad, load))
	}
	for _, change := range b.due(now) {
		packets = append(packets, pack(pathCache, change))
	}
	b.send(ctx, packets)
}

// lagged samples the load and returns the newest sample that is old enough to
// report.
func (b *beacon) lagged(now time.Time) (poplar.Load, bool) {
	sample := b.sample()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.old = append(b.old, sample)
	b.oldAt = append(b.oldAt, now)
	last := -1
	for i, at := range b.oldAt {
		if !at.Add(b.set.Lag).After(now) {
			last = i
		}
	}
	if last < 0 {
		return poplar.Load{}, false
	}
	load := b.old[last]
	load.Age = now.Sub(b.oldAt[last]).Milliseconds()
	b.old, b.oldAt = b.old[last+1:], b.oldAt[last+1:]
	b.reports++
	load.Stamp = b.stamp(b.reports)
	return load, true
}

// due returns the changes that are told now, without those that get lost.
func (b *beacon) due(now time.Time) []poplar.Cached {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []poplar.Cached
	for len(b.late) > 0 && !b.late[0].due.After(now) {
		change := b.late[0].change
		b.late = b.late[1:]
		if !lost(b.set, change.Sequence) {
			out = append(out, change)
		}
	}
	return out
}

func (b *beacon) leave(ctx context.Context) {
	b.mu.Lock()
	b.left = true
	b.current.Sequence++
	leave := poplar.Leave{Stamp: b.stamp(b.current.Sequence)}
	b.mu.Unlock()
	b.send(ctx, []packet{pack(pathLeave, leave)})
}

// lost tells from the seed whether the change with the given number gets lost.
func lost(set Settings, sequence uint64) bool {
	draw := rand.New(rand.NewPCG(set.Seed, sequence))
	return draw.Float64() < set.Lose
}

// packet is one encoded message.
type packet struct {
	path string
	data []byte
}

func pack(path string, message any) packet {
	data, err := json.Marshal(message)
	if err != nil {
		// The messages hold plain values only, which always encode.
		panic(err)
	}
	return packet{path: path, data: data}
}

// send posts packets to every address and returns once all have answered or
// the time for sending is over.
func (b *beacon) send(ctx context.Context, packets []packet) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, address := range b.set.Announce {
		wait.Add(1)
		go b.runPosts(ctx, &wait, address, packets)
	}
	wait.Wait()
}

func (b *beacon) runPosts(ctx context.Context, wait *sync.WaitGroup, address string, packets []packet) {
	defer wait.Done()
	for _, p := range packets {
		err := b.post(ctx, "http://"+address+p.path, p.data)
		b.note(address, p.path, err)
		var refused *refusal
		if err != nil && !errors.As(err, &refused) {
			return // the next announcement makes up for it
		}
	}
}

// note tells of an address whose answers to one kind of message have changed, be
// it for the better.
func (b *beacon) note(address, path string, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	b.mu.Lock()
	changed := b.said[address+path] != text
	b.said[address+path] = text
	b.mu.Unlock()
	if changed && b.set.Told != nil {
		b.set.Told(address, err)
	}
}

// refusal is an answer of a router that took a message, but does not accept it.
type refusal struct {
	url    string
	status string
	body   string
}

// Error implements error.
func (r *refusal) Error() string { return fmt.Sprintf("post to %s: %s: %s", r.url, r.status, r.body) }

// refusalBytes bounds what is kept of the body of a refusal.
const refusalBytes = 512

func (b *beacon) post(ctx context.Context, url string, data []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("post to %s: %w", url, err)
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := b.client.Do(r)
	if err != nil {
		return fmt.Errorf("post to %s: %w", url, err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, refusalBytes))
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
	}
	if err != nil {
		return fmt.Errorf("post to %s: %w", url, err)
	}
	if answer.StatusCode/100 != 2 {
		return &refusal{url: url, status: answer.Status, body: strings.TrimSpace(string(body))}
	}
	return nil
}
