package meter

import (
	"strconv"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/limit"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/retry"
)

// This file holds one call's stay at an engine.

// trip is one dispatch of a call.
type trip struct {
	d        *daemon
	c        *call
	at       int
	unread   poplar.Tokens
	sent     time.Time
	sample   *limit.Sample // nil without limits
	read     bool
	giveBack func() // of the gate
}

// first hears the first token.
func (t *trip) first() {
	now := t.d.w.v.now
	t.settleUnread()
	if t.sample != nil {
		t.d.ups[t.at].FirstToken(t.sample, now)
	}
	if t.c.waiter != nil {
		t.d.core.FirstToken(t.c.waiter, now)
	}
	t.c.onFirst(now.Sub(t.c.arrived))
}

func (t *trip) settleUnread() {
	if !t.read {
		t.read = true
		t.d.gauges[t.at].FirstToken(t.unread)
	}
}

// leave ends the stay: cancels what still runs and corrects the counters.
func (t *trip) leave() {
	now := t.d.w.v.now
	j := t.c.job
	crashed := t.c.how == endCrashed
	held := now.Sub(t.sent)
	if crashed || t.c.how != "done" {
		held = 0
	}
	t.settleUnread()
	t.d.gauges[t.at].Finish(t.c.rank, held, now)
	if t.sample != nil {
		t.d.ups[t.at].RecordEnd(t.sample, crashed)
	}
	delete(t.d.at[t.at], t.c)
	if t.c.alone {
		t.d.gauges[t.at].ReleaseExclusive()
		t.finished(now)
	}
	t.d.open--
	t.d.w.engines[t.at].cancel(j)
	t.giveBack()
}

// crashed hears that the engine crashed under the call.
func (t *trip) crashed() {
	t.d.crashed(t.at)
	t.d.repeat(t.c, retry.FailedMaybeRun)
}

// finished clears a suspect that ran to its end alone.
func (t *trip) finished(now time.Time) {
	if t.c.how != "done" {
		return
	}
	if record, ok := t.d.book.RecordFinish(t.c.print, true, now); ok {
		t.d.spread([]poison.Record{record})
	}
}

// numbered returns a name with a number of two digits or more.
func numbered(name string, i int) string {
	if i < 10 {
		return name + "0" + strconv.Itoa(i)
	}
	return name + strconv.Itoa(i)
}
