package sched

import (
	"container/list"
	"math"
	"math/bits"
	"time"

	"fireflyshift/internal/indexheap"
)

// queuedRequest is a request in the queue.
type queuedRequest struct {
	Request
	arrived time.Duration
	// latestStart is the last moment at which a start could still meet the deadline.
	latestStart      time.Duration
	cost             float64 // estimated slot-milliseconds
	workspaceElement *list.Element
	arrivalElement   *list.Element
	parent           *workspaceQueue
	expiryIndex      int // in the expiry heap
	costIndex        int // in the workspace's heap by cost
}

// workspaceQueue is the line of one workspace inside one tier. The shortest work is served first:
// where not all can be answered in time, most are answered so, and a short tag does not wait behind
// a long summary. What is shed is the newest.
type workspaceQueue struct {
	name        string
	weight      float64
	byArrival   *list.List // by arrival
	byCost      costHeap   // by cost
	totalCost   float64    // estimated work in the line
	virtualTime float64    // weighted work served; the least is served next
	heapIndex   [2]int     // positions in the two heaps
}

// backlog is what the longest-line eviction compares.
func (w *workspaceQueue) backlog() float64 { return float64(w.byArrival.Len()) / w.weight }

// costHeap orders the requests of one workspace by estimated work, then by arrival.
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

// expiryHeap orders waiting requests by the last useful start.
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

// workspaceHeap orders the workspaces of a tier by one of two measures.
type workspaceHeap = *indexheap.Heap[*workspaceQueue]

const (
	byVirtualTime = iota
	byBacklog
)

func newWorkspaceHeap(which int, measure func(*workspaceQueue) float64) workspaceHeap {
	less := func(a, b *workspaceQueue) bool {
		x, y := measure(a), measure(b)
		if x != y {
			return x < y
		}
		return a.name < b.name
	}
	return indexheap.New(less, func(q *workspaceQueue, i int) { q.heapIndex[which] = i })
}

// tierQueue serves the workspaces of one tier by weighted fair queuing.
type tierQueue struct {
	workspaces   map[string]*workspaceQueue
	next         workspaceHeap // by virtual time
	longest      workspaceHeap // by backlog
	virtualFloor float64       // virtual time of the latest service
	count        int
	activeWeight float64              // of the workspaces that wait
	costByBucket [costBuckets]float64 // waiting work by the size of its requests
}

// minWeight is the least that a workspace record can give.
const minWeight = 0.01

// costBuckets are powers of two of estimated slot-milliseconds.
const costBuckets = 32

func bucketOf(cost float64) int {
	return min(costBuckets-1, bits.Len64(uint64(max(cost, 0))))
}

// costUpTo is the work that waits in requests no longer than a given one, to a factor of two.
func (t *tierQueue) costUpTo(cost float64) float64 {
	sum := 0.0
	for b := 0; b <= bucketOf(cost); b++ {
		sum += t.costByBucket[b]
	}
	return sum
}

// maxIdleWorkspaces bounds the workspaces remembered without work in the queue.
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

// head is the request to serve next, nil if none waits.
func (t *tierQueue) head() *queuedRequest {
	if t.count == 0 {
		return nil
	}
	return t.next.Min().byCost.Min()
}

// heads are the next requests of up to n workspaces, the one to serve next first.
func (t *tierQueue) heads(n int) []*queuedRequest {
	var out []*queuedRequest
	for _, q := range t.next.Top(n) {
		out = append(out, q.byCost.Min())
	}
	return out
}

// shedCandidate is the request to shed first: the newest of the workspace with the greatest weighted backlog.
func (t *tierQueue) shedCandidate() *queuedRequest {
	if t.count == 0 {
		return nil
	}
	return t.longest.Min().byArrival.Back().Value.(*queuedRequest)
}

// serve removes the head and charges its workspace.
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

// queue holds all that waits in a group. Every operation costs at most the logarithm of its size.
// Suspended requests have lines of their own: they need a server that imports KV cache, and must
// not hold up fresh work that other servers could take.
type queue struct {
	newRequests [NumPriorities]*tierQueue
	resumed     [NumPriorities]*tierQueue
	byKey       map[Key]*queuedRequest
	expiry      expiryHeap
	arrival     *list.List // all, for the policy that serves first come, first served
}

func newQueue() *queue {
	q := &queue{byKey: map[Key]*queuedRequest{}, arrival: list.New(), expiry: newExpiryHeap()}
	for i := range q.newRequests {
		q.newRequests[i] = newTierQueue()
		q.resumed[i] = newTierQueue()
	}
	return q
}

func (q *queue) len() int { return len(q.byKey) }

func (q *queue) tierQueueOf(w *queuedRequest) *tierQueue {
	if w.Resume {
		return q.resumed[w.Priority]
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

// countAt is how many requests wait at a priority.
func (q *queue) countAt(priority uint32) int {
	return q.newRequests[priority].count + q.resumed[priority].count
}

// shedCandidate is the request to shed first: fresh work of the lowest tier before suspended work of it.
func (q *queue) shedCandidate() *queuedRequest {
	for p := 0; p < NumPriorities; p++ {
		if w := q.newRequests[p].shedCandidate(); w != nil {
			return w
		}
		if w := q.resumed[p].shedCandidate(); w != nil {
			return w
		}
	}
	return nil
}

// oldest is the request that came first, whatever its tier and workspace.
func (q *queue) oldest() *queuedRequest {
	e := q.arrival.Front()
	if e == nil {
		return nil
	}
	return e.Value.(*queuedRequest)
}

// costAhead is the estimated work that is served before a request: all of more urgent tiers, and of
// its own what was suspended and what fair shares put before it.
func (q *queue) costAhead(w *queuedRequest) float64 {
	sum := q.resumed[w.Priority].costUpTo(math.MaxInt64) + q.newRequests[w.Priority].costBefore(w)
	for p := int(w.Priority) + 1; p < NumPriorities; p++ {
		sum += q.newRequests[p].costUpTo(math.MaxInt64) + q.resumed[p].costUpTo(math.MaxInt64)
	}
	return sum
}

// costBefore is the work of a tier that is served before a request: at most what is no longer than
// itself, and at most its workspace's own line stretched by the workspace's share of the slots.
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

// hasWaitingFrom tells whether anything waits at a priority or above.
func (q *queue) hasWaitingFrom(priority uint32) bool {
	for p := int(priority); p < NumPriorities; p++ {
		if q.countAt(uint32(p)) > 0 {
			return true
		}
	}
	return false
}
