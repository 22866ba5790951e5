package fair

import "container/heap"

// This file implements one level of start-time fair queueing.

// node is one flow of a level: a workspace or a caller.
type node[K comparable, I any] struct {
	key    K
	weight float64 // invariant: > 0
	// startTag is the start tag of the next entry: the finish tag of the last
	// one.
	startTag   float64
	backlogged bool   // true while the flow has entries waiting
	arrival    uint64 // breaks ties by order of arrival
	heapIndex  int    // index in the heap that contains the node
	inner      I      // queue of the workspace or caller
}

// level schedules the flows of one level. Flows with entries waiting are in
// ready, ordered by start tag. The others stay in idle only while their start
// tag is ahead of the virtual time.
type level[K comparable, I any] struct {
	virtualTime float64 // invariant: never decreases
	readyWeight float64 // invariant: sum of the weights in ready
	arrivals    uint64
	nodes       map[K]*node[K, I] // invariant: the nodes of ready and idle
	ready       nodeHeap[K, I]
	idle        nodeHeap[K, I]
}

// activate sets the weight of the node of key, makes sure that the node is in
// ready, and returns it.
func (l *level[K, I]) activate(key K, weight float64) *node[K, I] {
	if l.nodes == nil {
		l.nodes = map[K]*node[K, I]{}
	}
	n := l.nodes[key]
	switch {
	case n == nil:
		n = &node[K, I]{key: key, weight: weight, startTag: l.virtualTime}
		l.nodes[key] = n
	case n.backlogged:
		l.readyWeight += weight - n.weight
		n.weight = weight
		return n
	default:
		heap.Remove(&l.idle, n.heapIndex)
		n.weight = weight
		n.startTag = max(n.startTag, l.virtualTime)
	}
	l.arrivals++
	n.arrival = l.arrivals
	n.backlogged = true
	l.readyWeight += weight
	heap.Push(&l.ready, n)
	return n
}

// first returns the backlogged flow with the lowest start tag, or nil.
func (l *level[K, I]) first() *node[K, I] {
	if len(l.ready) == 0 {
		return nil
	}
	return l.ready[0]
}

// advance moves the virtual time to the start tag of n, which is being served.
func (l *level[K, I]) advance(n *node[K, I]) {
	l.virtualTime = max(l.virtualTime, n.startTag)
	for len(l.idle) > 0 && l.idle[0].startTag <= l.virtualTime {
		expired := heap.Pop(&l.idle).(*node[K, I])
		delete(l.nodes, expired.key)
	}
}

// charge moves the start tag of n by cost divided by its weight. The cost may
// be negative, but the tag does not fall below the virtual time. backlogged
// states whether n still has entries waiting.
func (l *level[K, I]) charge(n *node[K, I], cost float64, backlogged bool) {
	n.startTag = max(n.startTag+cost/n.weight, l.virtualTime)
	switch {
	case n.backlogged && backlogged:
		heap.Fix(&l.ready, n.heapIndex)
	case n.backlogged:
		l.deactivate(n)
	case n.startTag <= l.virtualTime:
		heap.Remove(&l.idle, n.heapIndex)
		delete(l.nodes, n.key)
	default:
		heap.Fix(&l.idle, n.heapIndex)
	}
}

// deactivate removes n, which has no entries waiting, from ready. It frees n
// unless its start tag is ahead of the virtual time.
func (l *level[K, I]) deactivate(n *node[K, I]) {
	if !n.backlogged {
		return
	}
	heap.Remove(&l.ready, n.heapIndex)
	n.backlogged = false
	l.readyWeight -= n.weight
	if len(l.ready) == 0 {
		l.readyWeight = 0
	}
	if n.startTag <= l.virtualTime {
		delete(l.nodes, n.key)
		return
	}
	heap.Push(&l.idle, n)
}

// nodeHeap is a heap of nodes ordered by start tag.
type nodeHeap[K comparable, I any] []*node[K, I]

func (h nodeHeap[K, I]) Len() int { return len(h) }

func (h nodeHeap[K, I]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].arrival < h[j].arrival
}

func (h nodeHeap[K, I]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *nodeHeap[K, I]) Push(x any) {
	n := x.(*node[K, I])
	n.heapIndex = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *nodeHeap[K, I]) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return n
}
