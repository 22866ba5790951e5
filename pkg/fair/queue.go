package fair

import (
	"poplarbend.example/poplar"
)

// This file implements the queue, in which an outer level schedules workspaces
// and an inner level per workspace schedules its callers.

// Flow identifies the workspace and caller to which an entry is charged.
type Flow struct {
	workspace poplar.Workspace
	caller    poplar.Caller
	weight    float64 // invariant: > 0; weight of the workspace
}

// NewFlow returns the flow of a caller in a workspace of the given weight. A
// weight of 0 or less counts as 1.
func NewFlow(workspace poplar.Workspace, caller poplar.Caller, weight float64) Flow {
	if weight <= 0 {
		weight = 1
	}
	return Flow{workspace: workspace, caller: caller, weight: weight}
}

// Workspace returns the workspace of the flow.
func (f Flow) Workspace() poplar.Workspace { return f.workspace }

// Caller returns the caller of the flow.
func (f Flow) Caller() poplar.Caller { return f.caller }

// Entry is one waiting item.
type Entry[T any] struct {
	flow    Flow
	cost    float64 // invariant: > 0
	item    T
	removed bool // true once popped or removed
}

// Item returns the item that was pushed.
func (e *Entry[T]) Item() T { return e.item }

// Cost returns the estimated cost.
func (e *Entry[T]) Cost() float64 { return e.cost }

// Flow returns the flow to which the entry is charged.
func (e *Entry[T]) Flow() Flow { return e.flow }

// Queue contains the waiting entries. It is not safe for concurrent use; the
// caller serializes calls. For any two workspaces f and m that both have
// entries waiting during an interval, the cost served to them in the interval
// differs by
//
//	|served(f)/weight(f) - served(m)/weight(m)| <= maxCost(f)/weight(f) + maxCost(m)/weight(m)
//
// where maxCost is the largest cost of an entry of the workspace (theorem 1 of
// the paper cited in the package documentation). The same bound applies to the
// callers of one workspace, with equal weights.
type Queue[T any] struct {
	workspaces level[poplar.Workspace, workspaceQueue[T]]
	cost       float64 // invariant: sum of the waiting costs
	count      int     // invariant: number of the waiting entries
}

// workspaceQueue is the inner level of one workspace.
type workspaceQueue[T any] struct {
	callers level[poplar.Caller, callerQueue[T]]
	cost    float64 // invariant: sum of the waiting costs of the workspace
	count   int
}

// callerQueue contains the waiting entries of one caller in order of arrival.
// Removed entries stay until they reach the head.
type callerQueue[T any] struct {
	entries []*Entry[T]
	cost    float64
	count   int
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{} }

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.count }

// Cost returns the total cost of the waiting entries.
func (q *Queue[T]) Cost() float64 { return q.cost }

// Workspaces returns the number of workspaces that use memory: those with waiting
// entries or with a start tag ahead of the virtual time.
func (q *Queue[T]) Workspaces() int { return len(q.workspaces.nodes) }

// Push adds an item with the given estimated cost. A cost below 1 counts as 1.
func (q *Queue[T]) Push(flow Flow, cost float64, item T) *Entry[T] {
	e := &Entry[T]{flow: flow, cost: max(cost, 1), item: item}
	w := q.workspaces.activate(flow.workspace, flow.weight)
	c := w.inner.callers.activate(flow.caller, 1)
	c.inner.entries = append(c.inner.entries, e)
	c.inner.cost += e.cost
	c.inner.count++
	w.inner.cost += e.cost
	w.inner.count++
	q.cost += e.cost
	q.count++
	return e
}

// Peek returns the entry that Pop would return, or nil.
func (q *Queue[T]) Peek() *Entry[T] {
	w := q.workspaces.first()
	if w == nil {
		return nil
	}
	return w.inner.callers.first().inner.head()
}

// Pop removes the next entry and charges its flow. It returns nil if none
// waits.
func (q *Queue[T]) Pop() *Entry[T] {
	e := q.Peek()
	if e == nil {
		return nil
	}
	w := q.workspaces.nodes[e.flow.workspace]
	c := w.inner.callers.nodes[e.flow.caller]
	q.workspaces.advance(w)
	w.inner.callers.advance(c)
	q.subtract(w, c, e)
	c.inner.trim()
	w.inner.callers.charge(c, e.cost, c.inner.count > 0)
	q.workspaces.charge(w, e.cost, w.inner.count > 0)
	return e
}

// Charge charges a flow for an entry that was served without waiting. A cost
// below 1 counts as 1.
func (q *Queue[T]) Charge(flow Flow, cost float64) {
	w := q.workspaces.activate(flow.workspace, flow.weight)
	c := w.inner.callers.activate(flow.caller, 1)
	if q.count == 0 {
		q.workspaces.advance(w)
		w.inner.callers.advance(c)
	}
	w.inner.callers.charge(c, max(cost, 1), c.inner.count > 0)
	q.workspaces.charge(w, max(cost, 1), w.inner.count > 0)
}

// Remove removes an entry without charging its flow, for example when the caller
// has disconnected. It does nothing if the entry was removed or popped before.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.removed {
		return
	}
	w := q.workspaces.nodes[e.flow.workspace]
	c := w.inner.callers.nodes[e.flow.caller]
	q.subtract(w, c, e)
	c.inner.trim()
	if c.inner.count == 0 {
		w.inner.callers.deactivate(c)
	}
	if w.inner.count == 0 {
		q.workspaces.deactivate(w)
	}
}

// Settle corrects the charge of a flow by delta, which is the actual cost less
// the estimated cost. A refund does not move the start tag below the virtual
// time.
func (q *Queue[T]) Settle(flow Flow, delta float64) {
	w := q.workspaces.nodes[flow.workspace]
	if w == nil {
		if delta <= 0 {
			return
		}
		w = q.workspaces.activate(flow.workspace, flow.weight)
	}
	if c := w.inner.callers.nodes[flow.caller]; c != nil {
		w.inner.callers.charge(c, delta, c.inner.count > 0)
	} else if delta > 0 {
		w.inner.callers.charge(w.inner.callers.activate(flow.caller, 1), delta, false)
	}
	q.workspaces.charge(w, delta, w.inner.count > 0)
}

// CostAhead returns the cost that is served before an entry of the flow if the
// entry is pushed now and nothing else arrives.
func (q *Queue[T]) CostAhead(flow Flow) float64 {
	w := q.workspaces.nodes[flow.workspace]
	startTag, costBefore := q.workspaces.virtualTime, 0.0
	if w != nil {
		startTag = max(startTag, w.startTag)
		costBefore = w.inner.ahead(flow.caller)
	}
	activeWeight := q.workspaces.readyWeight
	if w == nil || !w.backlogged {
		activeWeight += flow.weight
	}
	ahead := (startTag+costBefore/flow.weight-q.workspaces.virtualTime)*activeWeight - flow.weight*(startTag-q.workspaces.virtualTime)
	return min(max(ahead, 0), q.cost)
}

// Reset clears all charges. The caller calls it at the end of a busy period,
// when nothing waits and nothing that was served is still running.
func (q *Queue[T]) Reset() {
	if q.count == 0 {
		q.workspaces = level[poplar.Workspace, workspaceQueue[T]]{}
	}
}

// subtract removes e from the counts and cost sums.
func (q *Queue[T]) subtract(w *node[poplar.Workspace, workspaceQueue[T]], c *node[poplar.Caller, callerQueue[T]], e *Entry[T]) {
	e.removed = true
	c.inner.count--
	w.inner.count--
	q.count--
	c.inner.cost = subtractCost(c.inner.cost, e.cost, c.inner.count)
	w.inner.cost = subtractCost(w.inner.cost, e.cost, w.inner.count)
	q.cost = subtractCost(q.cost, e.cost, q.count)
}

// subtractCost returns sum less cost. It returns 0 for an empty queue, so that
// rounding errors do not accumulate.
func subtractCost(sum, cost float64, count int) float64 {
	if count == 0 {
		return 0
	}
	return max(sum-cost, 0)
}

// ahead returns the cost that is served to the workspace before a new entry of
// the caller.
func (w *workspaceQueue[T]) ahead(caller poplar.Caller) float64 {
	c := w.callers.nodes[caller]
	if c == nil {
		return 0
	}
	activeWeight := w.callers.readyWeight
	if !c.backlogged {
		activeWeight++
	}
	lead := max(c.startTag-w.callers.virtualTime, 0)
	return min(lead*(activeWeight-1)+c.inner.cost*activeWeight, w.cost)
}

// head returns the first waiting entry of the caller, or nil.
func (c *callerQueue[T]) head() *Entry[T] {
	c.trim()
	if len(c.entries) == 0 {
		return nil
	}
	return c.entries[0]
}

// trim drops removed entries from the head.
func (c *callerQueue[T]) trim() {
	for len(c.entries) > 0 && c.entries[0].removed {
		c.entries[0] = nil
		c.entries = c.entries[1:]
	}
	if len(c.entries) == 0 {
		c.entries = nil
	}
}
