package core

import (
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/pace"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/quorum"
	"poplarbend.example/poplar/pkg/roster"
)

// This file holds the messages between routers and control daemons.

// The operations of the peer protocol that control daemons serve, besides those
// of the log.
const (
	OpWatch = peer.OpFollow
	OpFetch = peer.OpInspect
	OpDraw  = peer.OpDemand
	// OpPoison takes records of requests that crash upstreams.
	OpPoison = peer.OpPoison
	// OpLimits takes records of limits that upstreams have named.
	OpLimits = peer.OpUsage
)

// The operations that routers serve to each other.
const (
	OpLend    = peer.OpLease
	OpHandOff = peer.OpSettle
	// OpHeadroom asks a router whether it could take requests of another one.
	OpHeadroom = peer.OpExtend
)

// Watch asks for what changed since the last answer. The call is held until
// there is news, for MaxPollTime at most.
type Watch struct {
	// Incarnation, Roster and Poison are those of the last answer of the same daemon.
	Incarnation uint64          `json:"life,omitempty"`
	Roster      uint64          `json:"roster,omitempty"`
	Revision    poplar.Revision `json:"number,omitempty"`
	Poison      uint64          `json:"poison,omitempty"`
	// Address is the peer address of the router.
	Address string `json:"at,omitempty"`
	// Unconfirmed is true while the router has no confirmed configuration. The answer
	// then says what the daemon's log holds.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Immediate asks for an answer at once.
	Immediate bool `json:"now,omitempty"`
	// Delta is true if the router takes a list of the changed upstreams only.
	Delta bool `json:"delta,omitempty"`
	// RouterList is the version of the list of routers in the last answer.
	RouterList uint64 `json:"fleet,omitempty"`
	// LimitList is the version of the limits of upstreams in the last answer.
	LimitList uint64 `json:"limiting,omitempty"`
}

// WatchResponse answers a Watch.
type WatchResponse struct {
	Incarnation uint64          `json:"life"`
	Revision    poplar.Revision `json:"number"`
	Roster      uint64          `json:"roster"`
	// Entries is set when Roster differs from the question. It holds all
	// upstreams or, with Delta, those that changed since the question's Roster.
	Entries []roster.Entry `json:"list,omitempty"`
	Delta   bool           `json:"delta,omitempty"`
	// Records is set when Poison differs from the question. It holds the records that
	// changed since, or all in the first answer of a daemon.
	Poison  uint64          `json:"poison,omitempty"`
	Records []poison.Record `json:"records,omitempty"`
	// Limits is set when LimitList differs from the question. It holds all limits.
	LimitList uint64       `json:"limiting,omitempty"`
	Limits    []pace.Limit `json:"limits,omitempty"`
	// ControlAddrs are the peer addresses of the control daemons.
	ControlAddrs []string `json:"cores"`
	// FollowsLog is true while the daemon is in contact with a leader of the log,
	// and Leads while it is the leader.
	FollowsLog bool `json:"led"`
	Leads      bool `json:"leads,omitempty"`
	// CaughtUp is true if the daemon follows the log and has applied what the leader had
	// committed when the present contact with it began, so that Revision is no older than
	// what was acknowledged by then.
	CaughtUp bool `json:"caughtUp,omitempty"`
	// Logged is the newest revision in the daemon's log, committed or not, and Last
	// and LastTerm are those of the last entry there. Member is the daemon and Voters
	// are the voters that it believes in. A router that has just started decides by
	// them what it may serve while the log has no leader.
	Logged   poplar.Revision `json:"logged,omitempty"`
	Last     poplar.Index    `json:"last,omitempty"`
	LastTerm poplar.Term     `json:"term,omitempty"`
	Member   quorum.Member   `json:"member,omitzero"`
	Voters   []quorum.Member `json:"voters,omitempty"`
	// Routers are the peer addresses of the routers that watch this daemon. They
	// are set when the version of the list, RouterList, differs from the question.
	Routers    []string `json:"routers"`
	RouterList uint64   `json:"fleet,omitempty"`
}

// Fetch asks for a configuration.
type Fetch struct {
	// Logged asks for the newest one in the daemon's log, committed or not, instead of
	// the one in force.
	Logged bool `json:"logged,omitempty"`
}

// FetchResponse is the configuration in force at a control daemon.
type FetchResponse struct {
	Revision poplar.Revision `json:"number"`
	Document []byte          `json:"text"` // see Unpack
}

// MaxPollTime is the longest time for which a Watch is held. It bounds how late a
// router notices that a control daemon is gone.
const MaxPollTime = 2 * time.Second
