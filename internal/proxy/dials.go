package proxy

import (
	"slices"
	"sync"
	"time"
)

// A connection that takes long to set up says something of its upstream. If most do, the
// router's own link or processor is overloaded: giving them up and trying other upstreams
// is then more work for the same end, so the router waits longer, and reports that it is
// not ready, so that new callers are sent to other routers.

const (
	// dialSamples is the number of connections that are looked at, minDialSamples the
	// least number that tells something, and dialMemory the age up to which they count.
	dialSamples    = 15
	minDialSamples = 8
	dialMemory     = 3 * time.Second
	// slowDial is the typical time to set up a connection from which the router counts
	// as overloaded.
	slowDial = 100 * time.Millisecond
	// A connection may take connectTimeout, or dialPatience times the typical time if
	// that is longer, up to maxConnectTimeout.
	dialPatience      = 3
	maxConnectTimeout = 1500 * time.Millisecond
	// unreadyTime is how long an overloaded router reports that it is not ready. Balancers
	// ask once a second and take a router out after two failures, so a caller that is too
	// much for one router is sent to three or four in turn.
	unreadyTime = 6 * time.Second
)

// dialTimes keeps how long it took to set up the latest connections to upstreams. It is
// safe for concurrent use.
type dialTimes struct {
	mu           sync.Mutex
	samples      [dialSamples]dialSample // invariant: guarded by mu; a ring
	next         int                     // invariant: guarded by mu; index of the oldest sample
	unreadyUntil time.Time               // invariant: guarded by mu; not ready until then
}

type dialSample struct {
	took        time.Duration
	at          time.Time // zero if the sample is empty
	established bool
}

// note records that setting up a connection took the given time, or was given up after
// it.
func (d *dialTimes) note(took time.Duration, established bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples[d.next] = dialSample{took: took, at: now, established: established}
	d.next = (d.next + 1) % dialSamples
	if d.typical(now, false) >= slowDial {
		d.unreadyUntil = now.Add(unreadyTime)
	}
}

// typical returns the time that three in five of the recent connections took at least, or 0
// if they are too few. It may leave out those that were given up, which say more of their
// upstreams than of the router's link. The caller holds the lock.
func (d *dialTimes) typical(now time.Time, onlyEstablished bool) time.Duration {
	times := make([]time.Duration, 0, dialSamples)
	for _, s := range d.samples {
		if !s.at.IsZero() && now.Sub(s.at) <= dialMemory && (s.established || !onlyEstablished) {
			times = append(times, s.took)
		}
	}
	if len(times) < minDialSamples {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*2/5]
}

// timeout returns the time that a new connection may take.
func (d *dialTimes) timeout(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(max(connectTimeout, dialPatience*d.typical(now, false)), maxConnectTimeout)
}

// unread returns an estimate of how long a request was on its way through the router's own
// link before it was read, which its caller has waited and the router has not seen. It is 0
// unless the router is overloaded. Setting up a connection passes both directions of the
// link, a request only one.
func (d *dialTimes) unread(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if typical := d.typical(now, true); typical >= slowDial {
		return typical / 2
	}
	return 0
}

// overloaded reports whether the router should get no new callers.
func (d *dialTimes) overloaded(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.unreadyUntil)
}

// state returns whether the router is overloaded, and the typical time to set up a
// connection.
func (d *dialTimes) state(now time.Time) (overloaded bool, typical time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.unreadyUntil), d.typical(now, false)
}
