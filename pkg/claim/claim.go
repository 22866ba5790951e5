package claim

import (
	"time"

	"poplarbend.example/poplar"
)

// This file implements the claims that a home domain grants. models/claims.pml
// models the protocol; the comments below name its steps.

// Claim records which domain may run a keyed request.
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

// Repeat reports whether the request is idempotent.
func (c *Claim) Repeat() bool { return c.idempotent }

// Settled reports whether the bill of the domain is stored.
func (c *Claim) Settled() bool { return c.settled }

// Spent returns the tokens of the stored bill.
func (c *Claim) Spent() poplar.Tokens { return c.spent }

// At returns the time of the last change.
func (c *Claim) At() time.Time { return c.changedAt }

// Wish is the operation that a domain requests from the home domain.
type Wish string

// The operations of a claim request.
const (
	// WishRun requests the claim before a dispatch. Model step: Claim.
	WishRun Wish = "run"
	// WishLook asks which domain has the claim and changes nothing.
	WishLook Wish = "look"
	// WishSeek asks which domain has the claim, without knowledge of the body.
	WishSeek Wish = "seek"
	// WishKeep asks the home domain to store a settled bill. Model step: Merge.
	WishKeep Wish = "keep"
	// WishDrop releases a claim because nothing ran. Model step: Release.
	WishDrop Wish = "drop"
)

// Plea is a claim request: one operation of a domain on the claim for one keyed
// request. It is a wire message.
type Plea struct {
	Workspace poplar.Workspace `json:"space"`
	Key       poplar.Key       `json:"key"`
	Domain    poplar.Domain    `json:"domain"`
	Digest    uint64           `json:"digest"`
	Nonce     uint64           `json:"nonce"`
	Repeat    bool             `json:"repeat,omitempty"`
	Wish      Wish             `json:"wish"`
	Spent     poplar.Tokens    `json:"spent,omitempty"`
}

// Request returns the identity of the request.
func (r Plea) Request() poplar.Request { return poplar.NewRequest(r.Workspace, r.Key) }

// Ruling is the decision of a home domain on a claim request.
type Ruling string

// The decisions on a claim request.
const (
	// RulingYours means that the requesting domain has the claim, or that its
	// bill is stored, or that its release is recorded.
	RulingYours Ruling = "yours"
	// RulingTheirs means that Reply.Domain has the claim or that its bill is
	// stored.
	RulingTheirs Ruling = "theirs"
	// RulingClash means that the key was used for another body.
	RulingClash Ruling = "clash"
	// RulingExpired means that the key is older than the record window.
	RulingExpired Ruling = "expired"
	// RulingDark means that the home domain lost its records and cannot decide.
	RulingDark Ruling = "dark"
)

// Reply is the answer to a Plea. It is a wire message.
type Reply struct {
	Ruling  Ruling        `json:"ruling"`
	Domain  poplar.Domain `json:"domain,omitempty"`
	Settled bool          `json:"settled,omitempty"`
	Spent   poplar.Tokens `json:"spent,omitempty"`
	// Nonce is the nonce of the claim request, so that the reply to an earlier
	// request can be recognized.
	Nonce uint64 `json:"nonce"`
}

// Claim returns the claim for request, or nil.
func (b *Book) Claim(request poplar.Request) *Claim { return b.claims[request] }

// Claims returns the number of claims.
func (b *Book) Claims() int { return len(b.claims) }

// EachClaim calls visit for every claim.
func (b *Book) EachClaim(visit func(*Claim)) {
	for _, claim := range b.claims {
		visit(claim)
	}
}

// Rule returns the reply to req and whether the caller has to apply Grant
// before it sends the reply.
func (b *Book) Rule(req Plea) (reply Reply, changes bool) {
	reply = Reply{Ruling: RulingYours, Domain: req.Domain, Nonce: req.Nonce}
	claim := b.claims[req.Request()]
	if claim == nil {
		return b.decideUnclaimed(req, reply)
	}
	if claim.digest != req.Digest && (req.Wish == WishRun || req.Wish == WishLook) {
		reply.Ruling = RulingClash
		return reply, false
	}
	other := Reply{
		Ruling: RulingTheirs, Domain: claim.domain, Settled: claim.settled, Spent: claim.spent, Nonce: req.Nonce,
	}
	isHolder := claim.domain == req.Domain
	switch req.Wish {
	case WishRun, WishLook, WishSeek:
		if !isHolder || claim.settled {
			return other, false
		}
		return reply, req.Wish == WishRun && req.Nonce > claim.nonce
	case WishKeep:
		// The first settled bill wins. The claim for an idempotent request that
		// is not settled passes to a domain that completed the answer.
		if claim.settled && !isHolder {
			return other, false
		}
		return reply, !claim.settled
	default:
		// A late release has an older nonce and must not release a claim that
		// was granted again.
		return reply, isHolder && !claim.settled && req.Nonce >= claim.nonce
	}
}

// decideUnclaimed implements Rule for a request without a claim.
func (b *Book) decideUnclaimed(req Plea, reply Reply) (Reply, bool) {
	id := req.Request()
	domain, expired := b.tombstones.Has(id)
	switch {
	case req.Wish == WishDrop || req.Wish == WishSeek:
		return reply, false
	case req.Wish == WishKeep && expired && domain != "" && domain != req.Domain:
		return Reply{Ruling: RulingTheirs, Domain: domain, Settled: true, Nonce: req.Nonce}, false
	case req.Wish == WishKeep && expired:
		return reply, false
	case req.Wish == WishKeep:
		return reply, true
	}
	if err := b.Fresh(id, req.Repeat); err != nil {
		reply.Ruling = RulingExpired
		return reply, false
	}
	return reply, req.Wish == WishRun
}

// Grant applies the change that Rule asked for.
func (b *Book) Grant(req Plea, at time.Time) {
	id := req.Request()
	if req.Wish == WishDrop {
		delete(b.claims, id)
		return
	}
	claim := b.claims[id]
	if claim == nil {
		claim = &Claim{request: id, digest: req.Digest, idempotent: req.Repeat}
		b.claims[id] = claim
	}
	claim.domain, claim.nonce, claim.changedAt = req.Domain, req.Nonce, at
	if req.Wish == WishKeep {
		claim.settled, claim.spent = true, req.Spent
		b.expiryQueue = append(b.expiryQueue, expiryEntry{id, at})
	}
}
