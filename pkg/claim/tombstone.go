package claim

import "poplarbend.example/poplar"

// This file implements the set of tombstones of expired keys.

// Tombstone is what remains of an expired record or claim.
type Tombstone struct {
	fingerprint uint64
	domain      uint8 // domain that billed the request, counted from 1 in Tombstones.domains; 0 if none
	idempotent  bool  // see Tombstones
}

// Tombstones stores the fingerprints of expired keys, so that a request with
// such a key is refused instead of run again. A fingerprint is marked
// idempotent if its request is idempotent, or if the time in the key is enough
// to refuse the request.
//
// The set is bounded. Above the limit, the oldest fingerprints that are marked
// idempotent are deleted, but the others never are. When the others alone reach
// the limit, Full returns true and no further opaque key of a non-idempotent
// request may be accepted.
type Tombstones struct {
	limit         int                  // invariant: len(index) <= limit, unless evictable is empty
	index         map[uint64]Tombstone // by fingerprint
	evictable     []uint64             // invariant: all fingerprints marked idempotent, oldest first
	nonIdempotent int                  // invariant: number of fingerprints not marked idempotent
	domains       []poplar.Domain      // invariant: at most 255, no duplicates
}

// NewTombstones returns an empty set for up to limit fingerprints.
func NewTombstones(limit int) *Tombstones {
	return &Tombstones{limit: limit, index: map[uint64]Tombstone{}}
}

// Add stores the fingerprint of request, marked idempotent or not. The domain
// is the one that billed the request, or "" if none did. A fingerprint that is
// already stored keeps its mark, and its domain unless it has none.
func (t *Tombstones) Add(request poplar.Request, domain poplar.Domain, idempotent bool) {
	t.add(Fingerprint(request), domain, idempotent)
}

func (t *Tombstones) add(fingerprint uint64, domain poplar.Domain, idempotent bool) {
	if old, ok := t.index[fingerprint]; ok {
		if old.domain == 0 {
			old.domain = t.domainIndex(domain)
			t.index[fingerprint] = old
		}
		return
	}
	t.index[fingerprint] = Tombstone{fingerprint: fingerprint, domain: t.domainIndex(domain), idempotent: idempotent}
	if idempotent {
		t.evictable = append(t.evictable, fingerprint)
	} else {
		t.nonIdempotent++
	}
	for len(t.index) > t.limit && len(t.evictable) > 0 {
		delete(t.index, t.evictable[0])
		t.evictable = t.evictable[1:]
	}
}

// domainIndex returns the index of domain, counted from 1, and adds the domain
// if it is new. It returns 0 for no domain and for domains after the 255th.
func (t *Tombstones) domainIndex(domain poplar.Domain) uint8 {
	if domain == "" {
		return 0
	}
	for i, known := range t.domains {
		if known == domain {
			return uint8(i + 1)
		}
	}
	if len(t.domains) == 255 {
		return 0
	}
	t.domains = append(t.domains, domain)
	return uint8(len(t.domains))
}

// Lookup reports whether the fingerprint of request is stored. The domain is the
// one that billed the request, or "".
func (t *Tombstones) Lookup(request poplar.Request) (domain poplar.Domain, ok bool) {
	tombstone, ok := t.index[Fingerprint(request)]
	if !ok || tombstone.domain == 0 {
		return "", ok
	}
	return t.domains[tombstone.domain-1], true
}

// Full reports whether the fingerprints that are not marked idempotent reach
// the limit.
func (t *Tombstones) Full() bool { return t.nonIdempotent >= t.limit }

// Len returns the number of stored fingerprints.
func (t *Tombstones) Len() int { return len(t.index) }

// Each calls visit for every fingerprint: first for those marked idempotent,
// oldest first, then for the others in no particular order.
func (t *Tombstones) Each(visit func(fingerprint uint64, domain poplar.Domain, idempotent bool)) {
	emit := func(tombstone Tombstone) {
		var domain poplar.Domain
		if tombstone.domain > 0 {
			domain = t.domains[tombstone.domain-1]
		}
		visit(tombstone.fingerprint, domain, tombstone.idempotent)
	}
	for _, fingerprint := range t.evictable {
		emit(t.index[fingerprint])
	}
	for _, tombstone := range t.index {
		if !tombstone.idempotent {
			emit(tombstone)
		}
	}
}

// Restore adds one fingerprint from a snapshot.
func (t *Tombstones) Restore(fingerprint uint64, domain poplar.Domain, idempotent bool) {
	t.add(fingerprint, domain, idempotent)
}
