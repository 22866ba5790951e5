package poison

import (
	"slices"
	"time"

	"poplarbend.example/poplar"
)

// A response that breaks off does not prove a crash: it takes evidence that the run of its
// upstream has ended. Evidence may come before the break is noticed or some time after it.

// Break is a request whose response broke off.
type Break struct {
	Fingerprint Fingerprint
	Parts       []Fingerprint // of the prompt
	// Begun is true if this upstream had begun the answer that broke off, and Events the
	// number of its events that have arrived.
	Begun  bool
	Events int
	At     time.Time
}

// Evidence is what shows that a run of an upstream has ended.
type Evidence uint8

const (
	// EvidenceRefused means that the upstream refuses connections. Breaks shortly before
	// belong to the end of the run.
	EvidenceRefused Evidence = iota
	// EvidenceRestart means that a later run has announced itself at the address. It is
	// ready some seconds after the crash, so earlier breaks belong to the end, too.
	EvidenceRestart
)

const (
	// refusedWindow and restartWindow are the times between a break and the evidence
	// within which the break belongs to the end of the run.
	refusedWindow = 2 * time.Second
	restartWindow = 15 * time.Second
	// probeInterval is the least time between two probes of a run.
	probeInterval = 2 * time.Second
	// maxBreaks bounds the breaks that are retained for a run.
	maxBreaks = 256
)

// Breaks decides for which requests the end of an upstream's run counts as a crash. It is
// not safe for concurrent use.
type Breaks struct {
	runs map[incarnation]*runBreaks
}

// runBreaks is what is known of one run of an upstream.
type runBreaks struct {
	list     []Break   // invariant: ascending times, at most maxBreaks, none after the run was found to have ended
	probeAt  time.Time // invariant: the earliest time of the next probe
	forgetAt time.Time // invariant: when nothing of the run can count any more
	ended    bool
}

// NewBreaks returns an empty Breaks.
func NewBreaks() *Breaks { return &Breaks{runs: map[incarnation]*runBreaks{}} }

// Len returns the number of runs of which something is known.
func (b *Breaks) Len() int { return len(b.runs) }

// Add records a break at a run of an upstream. If the run is known to have ended, the break
// counts as a crash now, and Add returns true for crashed. Otherwise probe tells whether to
// find out if the upstream still accepts connections.
func (b *Breaks) Add(upstream poplar.Upstream, number uint64, br Break) (crashed, probe bool) {
	run := b.run(upstream, number)
	run.forgetAt = br.At.Add(restartWindow)
	if run.ended {
		return true, false
	}
	if len(run.list) == maxBreaks {
		run.list = run.list[1:]
	}
	run.list = append(run.list, br)
	if br.At.Before(run.probeAt) {
		return false, false
	}
	run.probeAt = br.At.Add(probeInterval)
	return false, true
}

func (b *Breaks) run(upstream poplar.Upstream, number uint64) *runBreaks {
	key := incarnation{upstream, number}
	run := b.runs[key]
	if run == nil {
		run = &runBreaks{}
		b.runs[key] = run
	}
	return run
}

// NoteAnswer records that a run answered a request that was sent at the given time. It had
// not ended then, so breaks before do not count.
func (b *Breaks) NoteAnswer(upstream poplar.Upstream, number uint64, sentAt time.Time) {
	if run := b.runs[incarnation{upstream, number}]; run != nil && !run.ended {
		run.list = slices.DeleteFunc(run.list, func(br Break) bool { return br.At.Before(sentAt) })
	}
}

// NoteEnd records evidence that a run has ended, and returns the breaks that count as a
// crash.
func (b *Breaks) NoteEnd(upstream poplar.Upstream, number uint64, evidence Evidence, now time.Time) []Break {
	run := b.run(upstream, number)
	window := refusedWindow
	if evidence == EvidenceRestart {
		window = restartWindow
	}
	list := slices.DeleteFunc(run.list, func(br Break) bool { return now.Sub(br.At) > window })
	run.list, run.ended, run.forgetAt = nil, true, now.Add(restartWindow)
	return list
}

// Sweep forgets the runs of which nothing can count any more.
func (b *Breaks) Sweep(now time.Time) {
	for key, run := range b.runs {
		if now.After(run.forgetAt) {
			delete(b.runs, key)
		}
	}
}
