package sched

import (
	"container/list"
	"math"
	"math/bits"
	"time"

	"fireflyshift/internal/fairqueue"
	"fireflyshift/internal/indexheap"
)

// queuedRequest is a waiting request with its positions in the queue.
type queuedRequest struct {
	Request
	arrived time.Duration
	// latestStart is the latest time at which a start could still meet the deadline.
	latestStart    time.Duration
	cost           float64 // estimated slot-milliseconds
	fair           *fairItem
	arrivalElement *list.Element
	expiryIndex    int // index in the expiry heap
}

type fairItem = fairqueue.Item[*queuedRequest]

// servedBefore is the order within a workspace. The shortest request is served first: if not all can be answered in time, this
// answers the most, and a short request does not wait behind a long one.
func servedBefore(a, b *queuedRequest) bool {
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	if a.arrived != b.arrived {
		return a.arrived < b.arrived
	}
	return a.Key.Less(b.Key)
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

// tierQueue serves the workspaces of one tier by weighted fair queuing.
type tierQueue struct {
	fair         *fairqueue.Queue[*queuedRequest]
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

func newTierQueue() *tierQueue { return &tierQueue{fair: fairqueue.New(servedBefore)} }

func (t *tierQueue) push(w *queuedRequest) {
	w.fair = t.fair.Push(w.Workspace, max(w.Weight, minWeight), w.cost, w)
	t.costByBucket[bucketOf(w.cost)] += w.cost
}

func (t *tierQueue) remove(w *queuedRequest) {
	t.fair.Remove(w.fair)
	t.costByBucket[bucketOf(w.cost)] -= w.cost
}

// serve removes a request and charges its cost to its workspace.
func (t *tierQueue) serve(w *queuedRequest) {
	t.fair.Serve(w.fair)
	t.costByBucket[bucketOf(w.cost)] -= w.cost
}

// head returns the request to serve next, nil if none waits.
func (t *tierQueue) head() *queuedRequest { return requestOf(t.fair.Head()) }

// shedCandidate returns the request to shed first, nil if none waits.
func (t *tierQueue) shedCandidate() *queuedRequest { return requestOf(t.fair.ShedCandidate()) }

func requestOf(it *fairItem) *queuedRequest {
	if it == nil {
		return nil
	}
	return it.Value
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
	return q.newRequests[priority].fair.Len() + q.suspended[priority].fair.Len()
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
	weight, own := t.fair.ActiveWeight(), t.fair.WaitingCost(w.Workspace)
	if t.fair.Waiting(w.Workspace) == 0 {
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
