package conf

import (
	"strings"

	"poplarbend.example/poplar"
)

// This file holds workspaces and their callers.

// Workspace is one tenant.
type Workspace struct {
	name    poplar.Workspace
	weight  float64 // invariant: positive
	allowed rankSet // invariant: not empty
	rank    poplar.Rank
	callers []*Caller // invariant: sorted by name
}

// Name returns the name of the workspace.
func (w *Workspace) Name() poplar.Workspace { return w.name }

// Weight returns the share of the workspace inside a rank, against the others.
func (w *Workspace) Weight() float64 { return w.weight }

// Allows reports whether the workspace may use rank.
func (w *Workspace) Allows(rank poplar.Rank) bool { return w.allowed.has(rank) }

// Rank returns the rank of a request that names none.
func (w *Workspace) Rank() poplar.Rank { return w.rank }

// Callers returns the callers in the order of their names.
func (w *Workspace) Callers() []*Caller { return w.callers }

// Caller is one holder of a key inside a workspace.
type Caller struct {
	name      poplar.Caller
	workspace *Workspace
	hash      Hash // invariant: unique in the folder
	budget    poplar.Budget
	allowed   rankSet // invariant: a non-empty subset of the workspace's
	rank      poplar.Rank
}

// Name returns the name of the caller, unique in its workspace.
func (c *Caller) Name() poplar.Caller { return c.name }

// Workspace returns the workspace of the caller.
func (c *Caller) Workspace() *Workspace { return c.workspace }

// Budget returns the budget that pays for the caller's requests. It belongs to
// the caller's workspace.
func (c *Caller) Budget() poplar.Budget { return c.budget }

// Allows reports whether the caller may use rank.
func (c *Caller) Allows(rank poplar.Rank) bool { return c.allowed.has(rank) }

// Rank returns the rank of a request that names none.
func (c *Caller) Rank() poplar.Rank { return c.rank }

// rankSet is a set of ranks, one bit each.
type rankSet uint8

func (s rankSet) has(rank poplar.Rank) bool { return rank.Valid() && s&(1<<rank) != 0 }

func (s rankSet) with(rank poplar.Rank) rankSet { return s | 1<<rank }

// workspace compiles one workspace and its callers.
func (c *compiler) workspace(name string, n *node, at *path) {
	w := &Workspace{name: poplar.Workspace(name), weight: n.kid("weight").number(1)}
	w.allowed, w.rank = c.ranksOf(n, at, rankSet(0).with(poplar.Normal).with(poplar.Bulk), poplar.Normal)
	callers := n.kid("callers")
	for _, caller := range sorted(callers) {
		kid := callers.kid(caller)
		w.callers = append(w.callers, c.caller(caller, w, kid, at.to("callers").to(caller)))
	}
	c.policy.workspaces = append(c.policy.workspaces, w)
	c.policy.spaceOf[w.name] = w
}

// caller compiles one caller of w.
func (c *compiler) caller(name string, w *Workspace, n *node, at *path) *Caller {
	caller := &Caller{name: poplar.Caller(strings.Clone(name)), workspace: w}
	caller.allowed, caller.rank = c.ranksOf(n, at, w.allowed, w.rank)
	if ranks := n.kid("ranks"); ranks != nil && caller.allowed&^w.allowed != 0 {
		c.out.add(ranks.src, int(ranks.at), at.to("ranks").String(), "workspace %s may not use all of these ranks", w.name)
	}
	c.setHash(caller, n, at)
	c.setBudget(caller, n, at)
	return caller
}

// setHash sets the hash of a caller and files it under it.
func (c *compiler) setHash(caller *Caller, n *node, at *path) {
	hash := c.need(n, "hash", at)
	if hash == nil {
		return
	}
	caller.hash = parseHash(hash.text)
	if other, ok := c.policy.callers[caller.hash]; ok {
		c.out.add(hash.src, int(hash.at), at.to("hash").String(), "doubled: caller %s of workspace %s has the same key", other.name, other.workspace.name)
		return
	}
	c.policy.callers[caller.hash] = caller
}

// setBudget sets the budget of a caller, which must be its workspace's.
func (c *compiler) setBudget(caller *Caller, n *node, at *path) {
	budget := c.need(n, "budget", at)
	if budget == nil {
		return
	}
	found, ok := c.policy.Budget(poplar.Budget(budget.text))
	if !ok {
		c.unknown(budget, at.to("budget"), "budget")
		return
	}
	caller.budget = found.name // shares its bytes with all callers
	if found.workspace != caller.workspace.name {
		c.out.add(budget.src, int(budget.at), at.to("budget").String(), "budget %s belongs to workspace %s", found.name, found.workspace)
	}
}

// ranksOf returns the ranks that n allows and its default rank: the one it
// names, else other when allowed, else the first that it lists.
func (c *compiler) ranksOf(n *node, at *path, allowed rankSet, other poplar.Rank) (rankSet, poplar.Rank) {
	if ranks := n.kid("ranks"); ranks != nil {
		allowed = 0
		for _, item := range ranks.items() {
			allowed = allowed.with(parseRank(item.text))
		}
		switch {
		case len(ranks.items()) == 0:
			c.out.add(ranks.src, int(ranks.at), at.to("ranks").String(), "at least one rank is needed")
		case !allowed.has(other):
			other = parseRank(ranks.items()[0].text)
		}
	}
	rank := n.kid("rank")
	if rank == nil {
		return allowed, other
	}
	other = parseRank(rank.text)
	if !allowed.has(other) {
		c.out.add(rank.src, int(rank.at), at.to("rank").String(), "rank %s is not among the allowed ranks", other)
	}
	return allowed, other
}
