package poplar

import "fmt"

// This file holds the protocol between upstreams and routers. The structs are
// wire messages. Incarnation and Sequence order the messages of one upstream, so that
// late and repeated ones are harmless.

// Kind tells engines from plain services.
type Kind string

// The kinds of upstreams.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Stamp orders the messages of one upstream.
type Stamp struct {
	Upstream Upstream `json:"up"`
	// Incarnation numbers the runs of the upstream's process; a later run has a higher
	// number.
	Incarnation uint64 `json:"life"`
	// Sequence numbers the messages of one kind in one life, from 1.
	Sequence uint64 `json:"seq"`
}

// Newer reports whether s was sent after old by the same upstream.
func (s Stamp) Newer(old Stamp) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.Sequence > old.Sequence
}

// Announcement announces an upstream and renews the announcement.
type Announcement struct {
	Stamp
	Domain  Domain `json:"domain"`
	Address string `json:"addr"`
	Kind    Kind   `json:"kind"`
	// Models are what an engine serves, adapters included.
	Models []Model `json:"models,omitempty"`
	// Services are what a plain service offers.
	Services []Service `json:"services,omitempty"`
	// Slots bounds the requests that run at once.
	Slots int `json:"slots"`
	// Prefill is the prompt tokens read a second; 0 when it is not known.
	Prefill float64 `json:"prefill,omitempty"`
	// Resume is true when streams can be resumed by request id.
	Resume bool `json:"resume,omitempty"`
	// Fenced is true when orders with an old fence are refused.
	Fenced bool `json:"fenced,omitempty"`
	// Memory is the bytes that an engine has for weights. An engine that does
	// not say it gets no orders.
	Memory float64 `json:"memory,omitempty"`
	// Role is what an engine does for the requests that it serves: mixed,
	// prefill or decode.
	Role string `json:"role,omitempty"`
	// Loaded are the versions of the models that an engine has loaded.
	Loaded []Loaded `json:"loaded,omitempty"`
}

// Check returns an error that names the first field that is missing or out of
// range.
func (n Announcement) Check() error {
	switch {
	case n.Upstream == "":
		return fmt.Errorf("notice: up is empty")
	case n.Domain == "":
		return fmt.Errorf("notice of %s: domain is empty", n.Upstream)
	case n.Address == "":
		return fmt.Errorf("notice of %s: addr is empty", n.Upstream)
	case n.Kind != KindEngine && n.Kind != KindService:
		return fmt.Errorf("notice of %s: kind %q is neither engine nor service", n.Upstream, n.Kind)
	case n.Slots < 1:
		return fmt.Errorf("notice of %s: slots is %d, want at least 1", n.Upstream, n.Slots)
	case n.Sequence == 0:
		return fmt.Errorf("notice of %s: seq is 0", n.Upstream)
	case n.Memory < 0:
		return fmt.Errorf("notice of %s: memory is negative", n.Upstream)
	}
	return nil
}

// Load is a lagged report of an upstream's load.
type Load struct {
	Stamp
	// Age is the milliseconds since the load was read.
	Age int64 `json:"age"`
	// Running and Waiting count requests by rank.
	Running [Ranks]int `json:"running"`
	Waiting [Ranks]int `json:"waiting"`
	// PendingPrefill is the prompt tokens that were accepted and not yet read.
	PendingPrefill Tokens `json:"unread,omitempty"`
	// Free counts the cache blocks that hold nothing.
	Free int `json:"free,omitempty"`
}

// Check returns an error when a count is negative.
func (l Load) Check() error {
	bad := l.Age < 0 || l.PendingPrefill < 0 || l.Free < 0
	for i := range Ranks {
		bad = bad || l.Running[i] < 0 || l.Waiting[i] < 0
	}
	if bad {
		return fmt.Errorf("load of %s: a count is negative", l.Upstream)
	}
	return nil
}

// Cached lists changes of an engine's prefix cache. A gap in the sequence
// means that changes were lost. A block is the chained hash of the prompt's
// raw JSON value up to its end, salted with the model.
type Cached struct {
	Stamp
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// Check returns an error when the sequence is missing.
func (c Cached) Check() error {
	if c.Sequence == 0 {
		return fmt.Errorf("cache events of %s: seq is 0", c.Upstream)
	}
	return nil
}

// Leave says that an upstream takes no new work in this life. What it runs it
// finishes.
type Leave struct {
	Stamp
}

// Check returns an error when the life is missing.
func (l Leave) Check() error {
	if l.Incarnation == 0 {
		return fmt.Errorf("leave of %s: life is 0", l.Upstream)
	}
	return nil
}

// The headers between a router and an upstream.
const (
	// HeaderRequest carries the identity of the request; it stays the same over
	// all attempts.
	HeaderRequest = "X-Request-Id"
	// HeaderAttempt carries the number of the attempt. An upstream that resumes
	// a stream ends the streams of lower attempts.
	HeaderAttempt = "X-Attempt"
	// HeaderRank carries the name of the rank.
	HeaderRank = "X-Rank"
	// HeaderResume asks for the running or kept generation of the request, from
	// the token of the given number on. An upstream that does not know the
	// request answers 404 and runs nothing.
	HeaderResume = "X-Resume-From"
	// HeaderLeaving is "1" in the answers of an upstream that leaves: it takes no new
	// work in this life, as after Leave.
	HeaderLeaving = "X-Leaving"
	// HeaderRetry is how long an upstream that refuses a request with 503 wants nothing
	// more, in seconds.
	HeaderRetry = "Retry-After"
)
