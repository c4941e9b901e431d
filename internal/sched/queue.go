package sched

import (
	"container/list"
	"math"
	"math/bits"
	"time"

	"fireflyshift/internal/indexheap"
)

// queuedRequest is a waiting request with its positions in the queue.
type queuedRequest struct {
	Request
	arrived time.Duration
	// latestStart is the latest time at which a start could still meet the deadline.
	latestStart      time.Duration
	cost             float64 // estimated slot-milliseconds
	workspaceElement *list.Element
	arrivalElement   *list.Element
	parent           *workspaceQueue
	expiryIndex      int // index in the expiry heap
	costIndex        int // index in the workspace's cost heap
}

// workspaceQueue holds the waiting requests of one workspace in one tier. The shortest is served first: if
// not all can be answered in time, this answers the most, and a short request does not wait behind a long
// one. The newest is shed first.
type workspaceQueue struct {
	name        string
	weight      float64
	byArrival   *list.List
	byCost      costHeap
	totalCost   float64 // of all waiting requests
	virtualTime float64 // work served divided by the weight; the lowest is served next
	heapIndex   [2]int  // indexes in the heaps byVirtualTime and byBacklog
}

// backlog is the weighted queue length, which decides whose requests are shed first.
func (w *workspaceQueue) backlog() float64 { return float64(w.byArrival.Len()) / w.weight }

// costHeap orders the requests of one workspace by estimated cost, then by arrival.
type costHeap = *indexheap.Heap[*queuedRequest]

func newCostHeap() costHeap {
	less := func(a, b *queuedRequest) bool {
		if a.cost != b.cost {
			return a.cost < b.cost
		}
		if a.arrived != b.arrived {
			return a.arrived < b.arrived
		}
		return a.Key.Less(b.Key)
	}
	return indexheap.New(less, func(w *queuedRequest, i int) { w.costIndex = i })
}

// expiryHeap orders waiting requests by their latest start.
type expiryHeap = *indexheap.Heap[*queuedRequest]

func newExpiryHeap() expiryHeap {
	less := func(a, b *queuedRequest) bool {
		if a.latestStart != b.latestStart {
			return a.latestStart < b.latestStart
		}
		return a.Key.Less(b.Key)
	}
	return indexheap.New(less, func(w *queuedRequest, i int) { w.expiryIndex = i })
}

// workspaceHeap orders the workspaces of a tier by virtual time or by backlog.
type workspaceHeap = *indexheap.Heap[*workspaceQueue]

const (
	byVirtualTime = iota
	byBacklog
)

func newWorkspaceHeap(heapID int, measure func(*workspaceQueue) float64) workspaceHeap {
	less := func(a, b *workspaceQueue) bool {
		x, y := measure(a), measure(b)
		if x != y {
			return x < y
		}
		return a.name < b.name
	}
	return indexheap.New(less, func(q *workspaceQueue, i int) { q.heapIndex[heapID] = i })
}

// tierQueue serves the workspaces of one tier by weighted fair queuing.
type tierQueue struct {
	workspaces   map[string]*workspaceQueue
	next         workspaceHeap // by virtual time
	longest      workspaceHeap // by backlog
	virtualFloor float64       // virtual time of the latest service
	count        int
	activeWeight float64              // total weight of the workspaces with waiting requests
	costByBucket [costBuckets]float64 // waiting cost by size of the request
}

// minWeight is the lowest weight that a workspace record can set.
const minWeight = 0.01

// costBuckets is the number of buckets; bucket i holds costs below 2^i slot-milliseconds.
const costBuckets = 32

func bucketOf(cost float64) int {
	return min(costBuckets-1, bits.Len64(uint64(max(cost, 0))))
}

// costUpTo returns the cost of the waiting requests that are not larger than a given cost, to a factor of
// two.
func (t *tierQueue) costUpTo(cost float64) float64 {
	sum := 0.0
	for b := 0; b <= bucketOf(cost); b++ {
		sum += t.costByBucket[b]
	}
	return sum
}

// maxIdleWorkspaces limits the workspaces that are tracked without waiting requests.
const maxIdleWorkspaces = 4096

func newTierQueue() *tierQueue {
	return &tierQueue{
		workspaces: map[string]*workspaceQueue{},
		next:       newWorkspaceHeap(byVirtualTime, func(q *workspaceQueue) float64 { return q.virtualTime }),
		longest:    newWorkspaceHeap(byBacklog, func(q *workspaceQueue) float64 { return -q.backlog() }),
	}
}

func (t *tierQueue) push(w *queuedRequest) {
	q, ok := t.workspaces[w.Workspace]
	if !ok {
		t.evictIdle()
		q = &workspaceQueue{name: w.Workspace, byArrival: list.New(), byCost: newCostHeap()}
		t.workspaces[w.Workspace] = q
	}
	if q.byArrival.Len() == 0 {
		q.weight = max(w.Weight, minWeight)
		t.activeWeight += q.weight
		q.virtualTime = max(q.virtualTime, t.virtualFloor)
		t.next.Push(q)
		t.longest.Push(q)
	}
	w.workspaceElement = q.byArrival.PushBack(w)
	q.byCost.Push(w)
	w.parent = q
	t.count++
	t.costByBucket[bucketOf(w.cost)] += w.cost
	q.totalCost += w.cost
	t.fixHeaps(q)
}

func (t *tierQueue) fixHeaps(q *workspaceQueue) {
	t.next.Fix(q.heapIndex[byVirtualTime])
	t.longest.Fix(q.heapIndex[byBacklog])
}

func (t *tierQueue) remove(w *queuedRequest) {
	q := w.parent
	q.byArrival.Remove(w.workspaceElement)
	q.byCost.Remove(w.costIndex)
	t.count--
	t.costByBucket[bucketOf(w.cost)] -= w.cost
	q.totalCost -= w.cost
	if q.byArrival.Len() == 0 {
		t.activeWeight -= q.weight
		t.next.Remove(q.heapIndex[byVirtualTime])
		t.longest.Remove(q.heapIndex[byBacklog])
		return
	}
	t.fixHeaps(q)
}

// head returns the request to serve next, nil if none waits.
func (t *tierQueue) head() *queuedRequest {
	if t.count == 0 {
		return nil
	}
	return t.next.Min().byCost.Min()
}

// heads returns the next requests of up to n workspaces, the one to serve next first.
func (t *tierQueue) heads(n int) []*queuedRequest {
	var out []*queuedRequest
	for _, q := range t.next.Top(n) {
		out = append(out, q.byCost.Min())
	}
	return out
}

// shedCandidate returns the request to shed first: the newest of the workspace with the largest weighted
// backlog.
func (t *tierQueue) shedCandidate() *queuedRequest {
	if t.count == 0 {
		return nil
	}
	return t.longest.Min().byArrival.Back().Value.(*queuedRequest)
}

// serve removes a request and charges its cost to its workspace.
func (t *tierQueue) serve(w *queuedRequest) {
	q := w.parent
	t.virtualFloor = max(t.virtualFloor, q.virtualTime)
	q.virtualTime += w.cost / q.weight
	t.remove(w)
}

func (t *tierQueue) evictIdle() {
	if len(t.workspaces) < maxIdleWorkspaces {
		return
	}
	for name, q := range t.workspaces {
		if q.byArrival.Len() == 0 && q.virtualTime <= t.virtualFloor {
			delete(t.workspaces, name)
		}
	}
}

// queue holds the waiting requests of a group. Every operation takes at most logarithmic time. Suspended
// requests are queued separately: they need a server that can import their KV cache, and must not block
// new requests that other servers could take.
type queue struct {
	newRequests [NumPriorities]*tierQueue
	suspended   [NumPriorities]*tierQueue
	byKey       map[Key]*queuedRequest
	expiry      expiryHeap
	arrival     *list.List // all requests, for policies that serve in order of arrival
}

func newQueue() *queue {
	q := &queue{byKey: map[Key]*queuedRequest{}, arrival: list.New(), expiry: newExpiryHeap()}
	for i := range q.newRequests {
		q.newRequests[i] = newTierQueue()
		q.suspended[i] = newTierQueue()
	}
	return q
}

func (q *queue) len() int { return len(q.byKey) }

func (q *queue) tierQueueOf(w *queuedRequest) *tierQueue {
	if w.Resume {
		return q.suspended[w.Priority]
	}
	return q.newRequests[w.Priority]
}

func (q *queue) push(w *queuedRequest) {
	q.byKey[w.Key] = w
	q.tierQueueOf(w).push(w)
	q.expiry.Push(w)
	w.arrivalElement = q.arrival.PushBack(w)
}

func (q *queue) remove(w *queuedRequest) {
	q.tierQueueOf(w).remove(w)
	q.unindex(w)
}

func (q *queue) serve(w *queuedRequest) {
	q.tierQueueOf(w).serve(w)
	q.unindex(w)
}

func (q *queue) unindex(w *queuedRequest) {
	delete(q.byKey, w.Key)
	q.expiry.Remove(w.expiryIndex)
	q.arrival.Remove(w.arrivalElement)
}

// countAt returns the number of requests that wait at a priority.
func (q *queue) countAt(priority uint32) int {
	return q.newRequests[priority].count + q.suspended[priority].count
}

// shedCandidate returns the request to shed first: of the lowest tier, new requests before suspended ones.
func (q *queue) shedCandidate() *queuedRequest {
	for p := 0; p < NumPriorities; p++ {
		if w := q.newRequests[p].shedCandidate(); w != nil {
			return w
		}
		if w := q.suspended[p].shedCandidate(); w != nil {
			return w
		}
	}
	return nil
}

// oldest returns the request that arrived first, of any tier and workspace.
func (q *queue) oldest() *queuedRequest {
	e := q.arrival.Front()
	if e == nil {
		return nil
	}
	return e.Value.(*queuedRequest)
}

// costAhead estimates the cost that is served before a request: all of higher priorities, and of its own
// priority the suspended requests and those that fair queuing puts before it.
func (q *queue) costAhead(w *queuedRequest) float64 {
	sum := q.suspended[w.Priority].costUpTo(math.MaxInt64) + q.newRequests[w.Priority].costBefore(w)
	for p := int(w.Priority) + 1; p < NumPriorities; p++ {
		sum += q.newRequests[p].costUpTo(math.MaxInt64) + q.suspended[p].costUpTo(math.MaxInt64)
	}
	return sum
}

// costBefore estimates the cost of a tier that is served before a request: at most the requests that are
// not larger, and at most those of its own workspace divided by that workspace's share of the slots.
func (t *tierQueue) costBefore(w *queuedRequest) float64 {
	weight, own := t.activeWeight, 0.0
	if q, ok := t.workspaces[w.Workspace]; ok && q.byArrival.Len() > 0 {
		own = q.totalCost
	} else {
		weight += w.Weight
	}
	stretched := (own + w.cost) * weight / max(w.Weight, minWeight)
	return min(t.costUpTo(w.cost), stretched)
}

// hasWaitingFrom reports whether a request waits at a priority or above.
func (q *queue) hasWaitingFrom(priority uint32) bool {
	for p := int(priority); p < NumPriorities; p++ {
		if q.countAt(uint32(p)) > 0 {
			return true
		}
	}
	return false
}
