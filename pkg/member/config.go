package member

import (
	"time"

	"poplarbend.example/poplar"
)

const (
	// RoundInterval is the interval between two messages of one daemon. Tick must be
	// called at least once per round.
	RoundInterval = 160 * time.Millisecond
	// RenewalTimeout is the time after its last renewal at which an upstream stops
	// receiving new work.
	RenewalTimeout = 3 * time.Second
	// ownerExpiry is the silence after which an owner stops confirming an
	// upstream and broadcasts that at once.
	ownerExpiry = 2 * time.Second
	// SuspectTimeout is the silence after which a daemon is suspected.
	SuspectTimeout = 3 * time.Second
	// DeadTimeout is the silence after which a daemon is considered dead.
	DeadTimeout = 6 * time.Second
	// removeAfter is the silence after which a dead daemon is removed.
	removeAfter = 10 * time.Minute
	// gatewayInterval is the time between two messages to another domain.
	gatewayInterval = time.Second
	// seedInterval is the time between two messages to a seed.
	// seedStartInterval applies to a daemon that has just started,
	// seedAloneInterval to one that is not settled or knows no other daemon of
	// its domain.
	seedInterval      = time.Minute
	seedStartInterval = 5 * time.Second
	seedAloneInterval = time.Second
	// startPeriod is the time for which a daemon counts as just started.
	startPeriod = time.Minute
	// randomPeerPeriod is the period, in rounds, at which a message goes to a
	// random daemon of the domain, dead ones included, so that the end of a
	// network partition is noticed.
	randomPeerPeriod = 8
	// loadInterval is the shortest time between two load reports of an owner.
	loadInterval = 1500 * time.Millisecond
	// fullLoadInterval is the time after which unchanged loads are sent again.
	fullLoadInterval = 5 * time.Second
	// pauseThreshold is the gap between two ticks above which this process
	// counts as having been paused.
	pauseThreshold = time.Second
	// requestInterval is the time after which a catalog delta is requested
	// again.
	requestInterval = 300 * time.Millisecond
)

// Bounds on size.
const (
	// maxIncarnationStep is the largest additional step beyond an earlier
	// incarnation.
	maxIncarnationStep = 1<<16 - 1
	// MaxMessage is the size in bytes above which no catalog entry is added to
	// a message. A single entry may exceed it.
	MaxMessage = 1200
	// maxAdvertisedOwners is the number of owners that are advertised to other
	// domains.
	maxAdvertisedOwners = 2
	// maxForwards is how often a daemon forwards information from another
	// domain.
	maxForwards = 2
	// maxIntroductions is the number of daemons of its own domain, and of other
	// domains, that are introduced to a new daemon at once.
	maxIntroductions = 4
	// maxNearDomains is the number of other domains to exchange upstreams with
	// when Config.NearDomains is empty.
	maxNearDomains = 3
	// maxPeers bounds the number of known daemons.
	maxPeers = 1024
	// maxEntries bounds the number of upstreams of one owner.
	maxEntries = 1024
	// maxName bounds the length of names and addresses in bytes.
	maxName = 256
)

// Config configures the membership of one daemon.
type Config struct {
	Name    poplar.Daemon
	Domain  poplar.Domain
	Address string
	// Incarnation is the incarnation, at least 1. No two runs of a daemon may have the
	// same one: a daemon counts its starts, or uses its start time in seconds.
	// A daemon that learns of a higher incarnation of itself moves past it.
	Incarnation uint64
	// Seeds are the addresses of daemons to contact at the start.
	Seeds []string
	// NearDomains are the domains to exchange upstreams with. When it is empty,
	// the first few known domains by name are used.
	NearDomains []poplar.Domain
	// Seed initializes the random generator, which makes the random choices
	// repeatable.
	Seed uint64
}

// Envelope is one message to send. It is delivered at most once.
type Envelope struct {
	// To is the receiver, or empty when only its address is known.
	To      poplar.Daemon
	Address string
	Data    []byte
}
