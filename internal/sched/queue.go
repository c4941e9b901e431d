package sched

import (
	"container/list"
	"math"
	"math/bits"
	"time"

	"fireflyshift/internal/indexheap"
)

// waiting is a request in the queue.
type waiting struct {
	Request
	arrived time.Duration
	// latest is the last moment at which a start could still meet the deadline.
	latest  time.Duration
	cost    float64 // estimated slot-milliseconds
	element *list.Element
	came    *list.Element
	owner   *workspaceQueue
	index   int // in the expiry heap
	place   int // in the workspace's heap by cost
}

// workspaceQueue is the line of one workspace inside one tier. The shortest work is served first:
// where not all can be answered in time, most are answered so, and a short tag does not wait behind
// a long summary. What is shed is the newest.
type workspaceQueue struct {
	name    string
	weight  float64
	line    *list.List // by arrival
	short   costHeap   // by cost
	cost    float64    // estimated work in the line
	virtual float64    // weighted work served; the least is served next
	index   [2]int     // positions in the two heaps
}

// backlog is what the longest-line eviction compares.
func (w *workspaceQueue) backlog() float64 { return float64(w.line.Len()) / w.weight }

// costHeap orders the requests of one workspace by estimated work, then by arrival.
type costHeap = *indexheap.Heap[*waiting]

func newCostHeap() costHeap {
	less := func(a, b *waiting) bool {
		if a.cost != b.cost {
			return a.cost < b.cost
		}
		if a.arrived != b.arrived {
			return a.arrived < b.arrived
		}
		return a.Key.Less(b.Key)
	}
	return indexheap.New(less, func(w *waiting, i int) { w.place = i })
}

// expiryHeap orders waiting requests by the last useful start.
type expiryHeap = *indexheap.Heap[*waiting]

func newExpiryHeap() expiryHeap {
	less := func(a, b *waiting) bool {
		if a.latest != b.latest {
			return a.latest < b.latest
		}
		return a.Key.Less(b.Key)
	}
	return indexheap.New(less, func(w *waiting, i int) { w.index = i })
}

// workspaceHeap orders the workspaces of a tier by one of two measures.
type workspaceHeap = *indexheap.Heap[*workspaceQueue]

const (
	byVirtual = iota
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
	return indexheap.New(less, func(q *workspaceQueue, i int) { q.index[which] = i })
}

// tierQueue serves the workspaces of one tier by weighted fair queuing.
type tierQueue struct {
	workspaces map[string]*workspaceQueue
	next       workspaceHeap // by virtual time
	longest    workspaceHeap // by backlog
	floor      float64       // virtual time of the latest service
	count      int
	weight     float64              // of the workspaces that wait
	cost       [costBuckets]float64 // waiting work by the size of its requests
}

// leastWeight is the least that a workspace record can give.
const leastWeight = 0.01

// costBuckets are powers of two of estimated slot-milliseconds.
const costBuckets = 32

func bucketOf(cost float64) int {
	return min(costBuckets-1, bits.Len64(uint64(max(cost, 0))))
}

// costUpTo is the work that waits in requests no longer than a given one, to a factor of two.
func (t *tierQueue) costUpTo(cost float64) float64 {
	sum := 0.0
	for b := 0; b <= bucketOf(cost); b++ {
		sum += t.cost[b]
	}
	return sum
}

// maxIdleWorkspaces bounds the workspaces remembered without work in the queue.
const maxIdleWorkspaces = 4096

func newTierQueue() *tierQueue {
	return &tierQueue{
		workspaces: map[string]*workspaceQueue{},
		next:       newWorkspaceHeap(byVirtual, func(q *workspaceQueue) float64 { return q.virtual }),
		longest:    newWorkspaceHeap(byBacklog, func(q *workspaceQueue) float64 { return -q.backlog() }),
	}
}

func (t *tierQueue) push(w *waiting) {
	q, ok := t.workspaces[w.Workspace]
	if !ok {
		t.dropIdle()
		q = &workspaceQueue{name: w.Workspace, line: list.New(), short: newCostHeap()}
		t.workspaces[w.Workspace] = q
	}
	if q.line.Len() == 0 {
		q.weight = max(w.Weight, leastWeight)
		t.weight += q.weight
		q.virtual = max(q.virtual, t.floor)
		t.next.Push(q)
		t.longest.Push(q)
	}
	w.element = q.line.PushBack(w)
	q.short.Push(w)
	w.owner = q
	t.count++
	t.cost[bucketOf(w.cost)] += w.cost
	q.cost += w.cost
	t.fix(q)
}

func (t *tierQueue) fix(q *workspaceQueue) {
	t.next.Fix(q.index[byVirtual])
	t.longest.Fix(q.index[byBacklog])
}

func (t *tierQueue) remove(w *waiting) {
	q := w.owner
	q.line.Remove(w.element)
	q.short.Remove(w.place)
	t.count--
	t.cost[bucketOf(w.cost)] -= w.cost
	q.cost -= w.cost
	if q.line.Len() == 0 {
		t.weight -= q.weight
		t.next.Remove(q.index[byVirtual])
		t.longest.Remove(q.index[byBacklog])
		return
	}
	t.fix(q)
}

// head is the request to serve next, nil if none waits.
func (t *tierQueue) head() *waiting {
	if t.count == 0 {
		return nil
	}
	return t.next.Min().short.Min()
}

// heads are the next requests of up to n workspaces, the one to serve next first.
func (t *tierQueue) heads(n int) []*waiting {
	var out []*waiting
	for _, q := range t.next.Top(n) {
		out = append(out, q.short.Min())
	}
	return out
}

// tail is the request to shed first: the newest of the workspace with the greatest weighted backlog.
func (t *tierQueue) tail() *waiting {
	if t.count == 0 {
		return nil
	}
	return t.longest.Min().line.Back().Value.(*waiting)
}

// serve removes the head and charges its workspace.
func (t *tierQueue) serve(w *waiting) {
	q := w.owner
	t.floor = max(t.floor, q.virtual)
	q.virtual += w.cost / q.weight
	t.remove(w)
}

func (t *tierQueue) dropIdle() {
	if len(t.workspaces) < maxIdleWorkspaces {
		return
	}
	for name, q := range t.workspaces {
		if q.line.Len() == 0 && q.virtual <= t.floor {
			delete(t.workspaces, name)
		}
	}
}

// queue holds all that waits in a group. Every operation costs at most the logarithm of its size.
// Suspended requests have lines of their own: they need a server that imports KV cache, and must
// not hold up fresh work that other servers could take.
type queue struct {
	fresh   [Priorities]*tierQueue
	resumed [Priorities]*tierQueue
	byKey   map[Key]*waiting
	expiry  expiryHeap
	arrival *list.List // all, for the policy that serves first come, first served
}

func newQueue() *queue {
	q := &queue{byKey: map[Key]*waiting{}, arrival: list.New(), expiry: newExpiryHeap()}
	for i := range q.fresh {
		q.fresh[i] = newTierQueue()
		q.resumed[i] = newTierQueue()
	}
	return q
}

func (q *queue) len() int { return len(q.byKey) }

func (q *queue) lineOf(w *waiting) *tierQueue {
	if w.Resume {
		return q.resumed[w.Priority]
	}
	return q.fresh[w.Priority]
}

func (q *queue) push(w *waiting) {
	q.byKey[w.Key] = w
	q.lineOf(w).push(w)
	q.expiry.Push(w)
	w.came = q.arrival.PushBack(w)
}

func (q *queue) remove(w *waiting) {
	q.lineOf(w).remove(w)
	q.forget(w)
}

func (q *queue) serve(w *waiting) {
	q.lineOf(w).serve(w)
	q.forget(w)
}

func (q *queue) forget(w *waiting) {
	delete(q.byKey, w.Key)
	q.expiry.Remove(w.index)
	q.arrival.Remove(w.came)
}

// countAt is how many requests wait at a priority.
func (q *queue) countAt(priority uint32) int {
	return q.fresh[priority].count + q.resumed[priority].count
}

// last is the request to shed first: fresh work of the lowest tier before suspended work of it.
func (q *queue) last() *waiting {
	for p := 0; p < Priorities; p++ {
		if w := q.fresh[p].tail(); w != nil {
			return w
		}
		if w := q.resumed[p].tail(); w != nil {
			return w
		}
	}
	return nil
}

// oldest is the request that came first, whatever its tier and workspace.
func (q *queue) oldest() *waiting {
	e := q.arrival.Front()
	if e == nil {
		return nil
	}
	return e.Value.(*waiting)
}

// costAhead is the estimated work that is served before a request: all of more urgent tiers, and of
// its own what was suspended and what fair shares put before it.
func (q *queue) costAhead(w *waiting) float64 {
	sum := q.resumed[w.Priority].costUpTo(math.MaxInt64) + q.fresh[w.Priority].costBefore(w)
	for p := int(w.Priority) + 1; p < Priorities; p++ {
		sum += q.fresh[p].costUpTo(math.MaxInt64) + q.resumed[p].costUpTo(math.MaxInt64)
	}
	return sum
}

// costBefore is the work of a tier that is served before a request: at most what is no longer than
// itself, and at most its workspace's own line stretched by the workspace's share of the slots.
func (t *tierQueue) costBefore(w *waiting) float64 {
	weight, own := t.weight, 0.0
	if q, ok := t.workspaces[w.Workspace]; ok && q.line.Len() > 0 {
		own = q.cost
	} else {
		weight += w.Weight
	}
	stretched := (own + w.cost) * weight / max(w.Weight, leastWeight)
	return min(t.costUpTo(w.cost), stretched)
}

// waitsFrom tells whether anything waits at a priority or above.
func (q *queue) waitsFrom(priority uint32) bool {
	for p := int(priority); p < Priorities; p++ {
		if q.countAt(uint32(p)) > 0 {
			return true
		}
	}
	return false
}
