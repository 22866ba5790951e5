package claim

import (
	"time"

	"poplarbend.example/poplar"
)

// This file implements the claims that a home domain grants. The Promela model
// models/claims.pml describes the protocol; the comments below name its steps.

// Claim records which domain may run a keyed request, that is, a request whose
// key was chosen by its caller.
type Claim struct {
	request    poplar.Request
	domain     poplar.Domain
	digest     uint64
	nonce      uint64 // invariant: never decreases while domain stays the same
	idempotent bool
	settled    bool // invariant: domain never changes after settled is true
	spent      poplar.Tokens
	changedAt  time.Time
}

// Request returns the claimed request.
func (c *Claim) Request() poplar.Request { return c.request }

// Domain returns the domain that may run the request or has run it.
func (c *Claim) Domain() poplar.Domain { return c.domain }

// Digest returns the digest of the request body.
func (c *Claim) Digest() uint64 { return c.digest }

// Nonce returns the number of the latest claim request of the domain that has
// the claim.
func (c *Claim) Nonce() uint64 { return c.nonce }

// Idempotent reports whether the request is idempotent.
func (c *Claim) Idempotent() bool { return c.idempotent }

// Settled reports whether the bill of the domain is stored.
func (c *Claim) Settled() bool { return c.settled }

// Spent returns the tokens of the stored bill.
func (c *Claim) Spent() poplar.Tokens { return c.spent }

// ChangedAt returns the time of the last change.
func (c *Claim) ChangedAt() time.Time { return c.changedAt }

// Op is the operation that a domain requests from the home domain.
type Op string

// The operations of a claim request.
const (
	// OpClaim requests the claim before a dispatch. Model step: Claim.
	OpClaim Op = "run"
	// OpCheck asks which domain has the claim and changes nothing.
	OpCheck Op = "look"
	// OpLookup asks which domain has the claim, without knowledge of the body.
	OpLookup Op = "seek"
	// OpSettle asks the home domain to store a settled bill. Model step: Merge.
	OpSettle Op = "keep"
	// OpRelease releases a claim because nothing ran. Model step: Release.
	OpRelease Op = "drop"
)

// Request is a claim request: one operation of a domain on the claim for one
// keyed request. It is a wire message.
type Request struct {
	Workspace  poplar.Workspace `json:"space"`
	Key        poplar.Key       `json:"key"`
	Domain     poplar.Domain    `json:"domain"`
	Digest     uint64           `json:"digest"`
	Nonce      uint64           `json:"nonce"`
	Idempotent bool             `json:"repeat,omitempty"`
	Op         Op               `json:"wish"`
	Spent      poplar.Tokens    `json:"spent,omitempty"`
}

// Request returns the identity of the request.
func (r Request) Request() poplar.Request { return poplar.NewRequest(r.Workspace, r.Key) }

// Decision is the decision of a home domain on a claim request.
type Decision string

// The decisions on a claim request.
const (
	// DecisionGranted means that the requesting domain has the claim, or that its
	// bill is stored, or that its release is recorded.
	DecisionGranted Decision = "yours"
	// DecisionTaken means that Reply.Domain has the claim or that its bill is
	// stored.
	DecisionTaken Decision = "theirs"
	// DecisionClash means that the key was used for another body.
	DecisionClash Decision = "clash"
	// DecisionExpired means that Store.CheckNew refused the key: it is older than
	// the record window, or no further fingerprint can be stored for it.
	DecisionExpired Decision = "expired"
	// DecisionRecordsLost means that the home domain lost its records and cannot
	// decide.
	DecisionRecordsLost Decision = "dark"
)

// Reply is the answer to a claim request. It is a wire message.
type Reply struct {
	Decision Decision      `json:"ruling"`
	Domain   poplar.Domain `json:"domain,omitempty"`
	Settled  bool          `json:"settled,omitempty"`
	Spent    poplar.Tokens `json:"spent,omitempty"`
	// Nonce is the nonce of the claim request, so that the reply to an earlier
	// request can be recognized.
	Nonce uint64 `json:"nonce"`
}

// Claim returns the claim for request, or nil.
func (s *Store) Claim(request poplar.Request) *Claim { return s.claims[request] }

// Claims returns the number of claims.
func (s *Store) Claims() int { return len(s.claims) }

// EachClaim calls visit for every claim.
func (s *Store) EachClaim(visit func(*Claim)) {
	for _, claim := range s.claims {
		visit(claim)
	}
}

// Decide returns the reply to req and whether the caller has to call Apply
// before it sends the reply.
func (s *Store) Decide(req Request) (reply Reply, changes bool) {
	reply = Reply{Decision: DecisionGranted, Domain: req.Domain, Nonce: req.Nonce}
	claim := s.claims[req.Request()]
	if claim == nil {
		return s.decideUnclaimed(req, reply)
	}
	if claim.digest != req.Digest && (req.Op == OpClaim || req.Op == OpCheck) {
		reply.Decision = DecisionClash
		return reply, false
	}
	other := Reply{
		Decision: DecisionTaken, Domain: claim.domain, Settled: claim.settled, Spent: claim.spent, Nonce: req.Nonce,
	}
	isHolder := claim.domain == req.Domain
	switch req.Op {
	case OpClaim, OpCheck, OpLookup:
		if !isHolder || claim.settled {
			return other, false
		}
		return reply, req.Op == OpClaim && req.Nonce > claim.nonce
	case OpSettle:
		// The first settled bill wins. The claim for an idempotent request that
		// is not settled passes to a domain that completed the answer.
		if claim.settled && !isHolder {
			return other, false
		}
		return reply, !claim.settled
	default:
		// A delayed release has an older nonce and must not release a claim that
		// was granted again.
		return reply, isHolder && !claim.settled && req.Nonce >= claim.nonce
	}
}

// decideUnclaimed implements Decide for a request without a claim.
func (s *Store) decideUnclaimed(req Request, reply Reply) (Reply, bool) {
	id := req.Request()
	domain, expired := s.tombstones.Lookup(id)
	switch {
	case req.Op == OpRelease || req.Op == OpLookup:
		return reply, false
	case req.Op == OpSettle && expired && domain != "" && domain != req.Domain:
		return Reply{Decision: DecisionTaken, Domain: domain, Settled: true, Nonce: req.Nonce}, false
	case req.Op == OpSettle && expired:
		return reply, false
	case req.Op == OpSettle:
		return reply, true
	}
	if err := s.CheckNew(id, req.Idempotent); err != nil {
		reply.Decision = DecisionExpired
		return reply, false
	}
	return reply, req.Op == OpClaim
}

// Apply makes the change for which Decide returned true. The time of the change
// is at.
func (s *Store) Apply(req Request, at time.Time) {
	id := req.Request()
	if req.Op == OpRelease {
		delete(s.claims, id)
		return
	}
	claim := s.claims[id]
	if claim == nil {
		claim = &Claim{request: id, digest: req.Digest, idempotent: req.Idempotent}
		s.claims[id] = claim
	}
	claim.domain, claim.nonce, claim.changedAt = req.Domain, req.Nonce, at
	if req.Op == OpSettle {
		claim.settled, claim.spent = true, req.Spent
		s.expiryQueue = append(s.expiryQueue, expiryEntry{id, at})
	}
}
