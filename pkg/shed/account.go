package shed

import "time"

const (
	// drainFraction is the fraction of the link's speed at which the predictive queue
	// drains. Acknowledgements and bursts need the rest, so this queue grows before the
	// real one does.
	drainFraction = 0.75
	// packetPayload is the usual payload of a full packet, and packetHeaders the size of
	// its IP and TCP headers with time stamps, in bytes.
	packetPayload = 1448
	packetHeaders = 52
	// bytesPerMbit is the number of bytes per second of 1 Mbit/s.
	bytesPerMbit = 1e6 / 8
)

// Direction is a direction of a link.
type Direction uint8

// The directions of a link, as the router sees them.
const (
	In Direction = iota
	Out
	directions
)

// Load is the load of a link at one time.
type Load struct {
	// Delays are the predicted delays of the directions.
	Delays [directions]time.Duration
	// Backlog is how long the bytes that the router has sent still occupy the link at its
	// full speed. Unlike Delays it does not exceed the real delay.
	Backlog time.Duration
	// Utilization is the fraction of the link's speed that the busier direction used in
	// the last second.
	Utilization float64
	// Recent is the same for the last 400 ms, which show a rise of the load early.
	Recent float64
}

// Delay returns the predicted delay of a request, which passes both directions.
func (l Load) Delay() time.Duration { return l.Delays[In] + l.Delays[Out] }

// Account counts the bytes that pass a link.
type Account struct {
	speed     float64 // invariant: > 0; bytes per second
	predicted [directions]Queue
	backlog   Queue // outgoing bytes, drained at the full speed
	usage     [directions]Usage
}

// NewAccount returns the account of an idle link with the given speed in Mbit/s.
func NewAccount(mbits float64) *Account {
	a := &Account{speed: mbits * bytesPerMbit}
	for d := range a.predicted {
		a.predicted[d] = NewQueue(drainFraction*a.speed, maxPrediction)
	}
	a.backlog = NewQueue(a.speed, maxBacklog)
	return a
}

// Add counts bytes of one read or write and the headers of their packets.
func (a *Account) Add(d Direction, bytes int, now time.Time) {
	size := wireSize(bytes)
	a.enqueue(d, size, now)
	a.usage[d].Add(size, now)
}

// Charge is the body of a request that is in the outgoing queue before it is sent.
type Charge struct {
	bytes   int
	drained time.Time // when the last byte leaves the queue at the full speed
}

// Charge queues the body of a request that is accepted, which is sent to an upstream
// later. The bytes are counted as used when they are sent, see Sent.
func (a *Account) Charge(bytes int, now time.Time) Charge {
	a.enqueue(Out, wireSize(bytes), now)
	return Charge{bytes: bytes, drained: a.backlog.emptyAt}
}

// Left returns the bytes of a charge that are still in the queue. A request that waited for
// longer is in no queue any more, and its body is queued when it is sent.
func (a *Account) Left(c Charge, now time.Time) int {
	left := c.drained.Sub(now).Seconds() * a.speed
	return int(min(max(left, 0), float64(c.bytes)))
}

// Refund reverses what is left of a charge for a body that is not sent.
func (a *Account) Refund(c Charge, now time.Time) { a.enqueue(Out, -wireSize(a.Left(c, now)), now) }

// Sent counts a request that is sent to an upstream: bytes in total, of which charged are
// in the queue still, see Left.
func (a *Account) Sent(bytes, charged int, now time.Time) {
	a.enqueue(Out, wireSize(bytes)-wireSize(charged), now)
	a.usage[Out].Add(wireSize(bytes), now)
}

func (a *Account) enqueue(d Direction, size float64, now time.Time) {
	a.predicted[d].Add(size, now)
	if d == Out {
		a.backlog.Add(size, now)
	}
}

// Load returns the current load.
func (a *Account) Load(now time.Time) Load {
	l := Load{Backlog: a.backlog.Delay(now)}
	for d := range a.predicted {
		l.Delays[d] = a.predicted[d].Delay(now)
		l.Utilization = max(l.Utilization, a.usage[d].Rate(now)/a.speed)
		l.Recent = max(l.Recent, a.usage[d].Recent(now)/a.speed)
	}
	return l
}

// wireSize returns the size of the bytes with the headers of their packets.
func wireSize(bytes int) float64 {
	packets := (bytes + packetPayload - 1) / packetPayload
	return float64(bytes + packets*packetHeaders)
}
