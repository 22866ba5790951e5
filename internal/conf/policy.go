package conf

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the Policy: the folder in the form that the request path
// reads. It never changes after Merge, so readers need no lock.

// HashSize is the size of the hash of a caller's key, in bytes.
const HashSize = sha256.Size

// Hash is the SHA-256 of a caller's key. Keys are long and random, so a slow
// hash would add nothing.
type Hash [HashSize]byte

// HashKey returns the hash of a caller's key.
func HashKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// String returns the hash as it stands in the folder.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Policy is one merged folder. The zero value has no workspaces.
type Policy struct {
	numbers    Numbers
	ranks      [poplar.Ranks]RankRule
	domains    []Domain     // invariant: sorted by name
	workspaces []*Workspace // invariant: sorted by name
	budgets    []*Budget    // invariant: sorted by name
	models     []*Model     // invariant: sorted by name
	services   []*Service   // invariant: sorted by name
	rules      []*Upstream  // invariant: most specific pattern first
	callers    map[Hash]*Caller
	spaceOf    map[poplar.Workspace]*Workspace
	modelOf    map[poplar.Model]*Model
	serviceOf  map[poplar.Service]*Service
}

// Caller returns the caller that holds key. Keys are found by their hash and
// the hashes compared in constant time, so timing tells nothing about a key.
func (p *Policy) Caller(key string) (*Caller, bool) {
	hash := HashKey(key)
	caller, ok := p.callers[hash]
	if !ok || subtle.ConstantTimeCompare(caller.hash[:], hash[:]) != 1 {
		return nil, false
	}
	return caller, true
}

// Numbers returns the numbers of the policy.
func (p *Policy) Numbers() Numbers { return p.numbers }

// Rank returns the rule of rank, which must be valid.
func (p *Policy) Rank(rank poplar.Rank) RankRule { return p.ranks[rank] }

// Domains returns the failure domains in the order of their names. The caller
// must not change the slice; this holds for every slice of a Policy.
func (p *Policy) Domains() []Domain { return p.domains }

// Workspaces returns the workspaces in the order of their names.
func (p *Policy) Workspaces() []*Workspace { return p.workspaces }

// Budgets returns the declared grants in the order of their names.
func (p *Policy) Budgets() []*Budget { return p.budgets }

// Models returns the models in the order of their names.
func (p *Policy) Models() []*Model { return p.models }

// Services returns the services in the order of their names.
func (p *Policy) Services() []*Service { return p.services }

// Workspace returns the workspace with the given name.
func (p *Policy) Workspace(name poplar.Workspace) (*Workspace, bool) {
	w, ok := p.spaceOf[name]
	return w, ok
}

// Budget returns the budget with the given name. It searches the sorted list: a
// request knows its budget from its caller, so a map would only cost memory.
func (p *Policy) Budget(name poplar.Budget) (*Budget, bool) {
	i, ok := slices.BinarySearchFunc(p.budgets, name, func(b *Budget, name poplar.Budget) int {
		return cmp.Compare(b.name, name)
	})
	if !ok {
		return nil, false
	}
	return p.budgets[i], true
}

// Model returns the model with the given name.
func (p *Policy) Model(name poplar.Model) (*Model, bool) {
	m, ok := p.modelOf[name]
	return m, ok
}

// Service returns the service with the given name.
func (p *Policy) Service(name poplar.Service) (*Service, bool) {
	s, ok := p.serviceOf[name]
	return s, ok
}

// Upstream returns the rule of the upstream name: the exact one, else the one
// with the longest pattern. An upstream without a rule gets no work.
func (p *Policy) Upstream(name poplar.Upstream) (*Upstream, bool) {
	for _, rule := range p.rules {
		if rule.matches(name) {
			return rule, true
		}
	}
	return nil, false
}

// Domain is a failure domain.
type Domain struct {
	name   poplar.Domain
	region string
}

// Name returns the name of the domain.
func (d Domain) Name() poplar.Domain { return d.name }

// Region returns the region of the domain, a label for people, or "".
func (d Domain) Region() string { return d.region }

// RankRule is what one rank of work gets.
type RankRule struct {
	first time.Duration // invariant: positive, not below that of a more urgent rank
	worth float64
	floor float64 // invariant: the floors of all ranks sum to less than 1
}

// First returns the longest wait for the first token or byte. It is a setting;
// the request path adds it to the arrival and stores the deadline.
func (r RankRule) First() time.Duration { return r.first }

// Worth returns the worth of one served request, in a unit of the operators'.
func (r RankRule) Worth() float64 { return r.worth }

// Floor returns the portion of the capacity that the rank keeps in any flood.
func (r RankRule) Floor() float64 { return r.floor }

// Budget is the declared grant of one prepaid budget.
type Budget struct {
	name      poplar.Budget
	workspace poplar.Workspace
	tokens    poplar.Tokens // invariant: not negative
}

// Name returns the name of the budget.
func (b *Budget) Name() poplar.Budget { return b.name }

// Workspace returns the workspace that owns the budget.
func (b *Budget) Workspace() poplar.Workspace { return b.workspace }

// Tokens returns the declared grant; top-ups come on top of it.
func (b *Budget) Tokens() poplar.Tokens { return b.tokens }

// Model is a model that engines may serve.
type Model struct {
	name    poplar.Model
	tokens  poplar.Tokens // invariant: at least 1
	prefill float64
	decode  float64
	place   Placement
}

// Name returns the name of the model.
func (m *Model) Name() poplar.Model { return m.name }

// Tokens returns the most tokens that one request may generate.
func (m *Model) Tokens() poplar.Tokens { return m.tokens }

// Prefill returns the cost of one prompt token, in budget tokens.
func (m *Model) Prefill() float64 { return m.prefill }

// Decode returns the cost of one generated token, in budget tokens.
func (m *Model) Decode() float64 { return m.decode }
