package trace

import (
	"encoding/json"
	"expvar"
	"fmt"
	"math/bits"
	"net/http"
	"sync/atomic"
	"time"
)

// This file holds the metrics of one daemon.

// Vars are the metrics of one daemon. They are kept apart from the process's
// own, so that several daemons fit in one process. Vars is safe for concurrent
// use; a name is made once, when the daemon is put together.
type Vars struct {
	own *expvar.Map
}

// NewVars returns an empty set of metrics.
func NewVars() *Vars { return &Vars{own: new(expvar.Map).Init()} }

// Count adds and returns a counter or gauge.
func (v *Vars) Count(name string) *expvar.Int {
	n := new(expvar.Int)
	v.own.Set(name, n)
	return n
}

// Group adds and returns a set of counters by a label, such as a code.
func (v *Vars) Group(name string) *expvar.Map {
	m := new(expvar.Map).Init()
	v.own.Set(name, m)
	return m
}

// Func adds a metric that is worked out when it is read. The value must be
// fit for JSON.
func (v *Vars) Func(name string, value func() any) { v.own.Set(name, expvar.Func(value)) }

// Timing adds and returns a histogram of times.
func (v *Vars) Timing(name string) *Timing {
	t := new(Timing)
	v.own.Set(name, t)
	return t
}

// ServeHTTP writes the metrics of the daemon and of the process as one JSON
// object, in the form of expvar.Handler.
func (v *Vars) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintf(w, "{\n%q: %s", "poplarbend", v.own.String())
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != "cmdline" {
			fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
		}
	})
	fmt.Fprint(w, "\n}\n")
}

// buckets is the number of buckets of a Timing: bucket i counts times below
// 2^i microseconds, the last one all others.
const buckets = 36

// Timing is a histogram with buckets that double, from 1 microsecond on. It
// takes no lock.
type Timing struct {
	counts [buckets]atomic.Int64
	micros atomic.Int64 // invariant: the sum of all times
}

// Since adds the time from start to now.
func (t *Timing) Since(start, now time.Time) {
	micros := max(now.Sub(start).Microseconds(), 0)
	bucket := min(bits.Len64(uint64(micros)), buckets-1)
	t.counts[bucket].Add(1)
	t.micros.Add(micros)
}

// timing is the form of a Timing in JSON.
type timing struct {
	Count  int64 `json:"count"`
	Micros int64 `json:"micros"`
	// Below counts the times in each bucket by its upper bound in microseconds.
	Below map[string]int64 `json:"below"`
}

// String implements expvar.Var.
func (t *Timing) String() string {
	out := timing{Micros: t.micros.Load(), Below: make(map[string]int64)}
	for i := range t.counts {
		if n := t.counts[i].Load(); n > 0 {
			out.Count += n
			out.Below[fmt.Sprint(uint64(1)<<i)] = n
		}
	}
	text, err := json.Marshal(out)
	if err != nil {
		return "null"
	}
	return string(text)
}

var _ expvar.Var = (*Timing)(nil)
