// Package fairqueue orders waiting items by weighted fair queuing over workspaces: the workspace that has been served the least
// work for its weight is served next. It is pure: there is no I/O, clock, goroutine or randomness, and the same calls give the
// same order. A queue is not safe for concurrent use.
package fairqueue

import (
	"container/list"
	"iter"
	"math"

	"fireflyshift/internal/indexheap"
)

// Limits of what an item may state. They keep virtual times finite, and far below the size at which adding a usual cost to a
// float64 has no effect.
const (
	// MinWeight and MaxWeight bound the weight of a workspace.
	MinWeight = 0.001
	MaxWeight = 1000
	// MaxCost bounds the cost of an item.
	MaxCost = 1e12
	// maxIdleWorkspaces bounds the workspaces that are remembered while none of their items waits.
	maxIdleWorkspaces = 4096
)

// Item is an item that waits in a queue. Callers must not change its fields.
type Item[T any] struct {
	Value     T
	Workspace string
	Cost      float64 // in the caller's unit of work, from 0 to MaxCost

	parent  *workspace[T] // nil once the item has left the queue
	arrival *list.Element
	index   int // in the workspace's heap
}

// workspace holds the waiting items of one workspace.
type workspace[T any] struct {
	name        string
	weight      float64 // while items wait
	byArrival   *list.List
	ordered     *indexheap.Heap[*Item[T]]
	waitingCost float64
	virtualTime float64 // work served divided by the weight; the lowest is served next
	heapIndex   [heaps]int
}

// backlog is the weighted queue length, which decides whose items are shed first.
func (w *workspace[T]) backlog() float64 { return float64(w.byArrival.Len()) / w.weight }

// The heaps that hold workspaces.
const (
	byVirtualTime = iota // those with waiting items
	byBacklog            // those with waiting items
	byIdleTime           // those without, by virtual time
	heaps
)

// Queue orders items by weighted fair queuing over workspaces. Create it with New. Every operation takes at most logarithmic time
// unless its comment says otherwise.
type Queue[T any] struct {
	less         func(a, b *Item[T]) bool
	workspaces   map[string]*workspace[T]
	next         *indexheap.Heap[*workspace[T]]
	longest      *indexheap.Heap[*workspace[T]]
	idle         *indexheap.Heap[*workspace[T]]
	virtualFloor float64 // virtual time of the latest service
	count        int
	activeWeight float64 // total weight of the workspaces with waiting items
}

// New returns an empty queue. less is the order of service within a workspace, a strict total order over the items that wait
// together.
func New[T any](less func(a, b T) bool) *Queue[T] {
	virtualTime := func(w *workspace[T]) float64 { return w.virtualTime }
	return &Queue[T]{
		less:       func(a, b *Item[T]) bool { return less(a.Value, b.Value) },
		workspaces: map[string]*workspace[T]{},
		next:       newWorkspaceHeap(byVirtualTime, virtualTime),
		longest:    newWorkspaceHeap(byBacklog, func(w *workspace[T]) float64 { return -w.backlog() }),
		idle:       newWorkspaceHeap(byIdleTime, virtualTime),
	}
}

func newWorkspaceHeap[T any](id int, measure func(*workspace[T]) float64) *indexheap.Heap[*workspace[T]] {
	return indexheap.New(byMeasure(measure), func(w *workspace[T], i int) { w.heapIndex[id] = i })
}

// byMeasure orders workspaces by a measure, equal ones by name.
func byMeasure[T any](measure func(*workspace[T]) float64) func(a, b *workspace[T]) bool {
	return func(a, b *workspace[T]) bool {
		x, y := measure(a), measure(b)
		if x != y {
			return x < y
		}
		return a.name < b.name
	}
}

// Push adds an item. The weight holds for the workspace until none of its items waits; weights of later items are ignored until
// then. A weight that is not a positive finite number counts as 1, others are limited to MinWeight and MaxWeight. A cost that is
// negative or not a number counts as 0, which is served without a charge; others are limited to MaxCost.
func (q *Queue[T]) Push(workspace string, weight, cost float64, v T) *Item[T] {
	w := q.workspaceOf(workspace)
	if w.byArrival.Len() == 0 {
		q.idle.Remove(w.heapIndex[byIdleTime])
		w.weight = validWeight(weight)
		w.virtualTime = max(w.virtualTime, q.virtualFloor)
		q.activeWeight += w.weight
		q.next.Push(w)
		q.longest.Push(w)
	}
	it := &Item[T]{Value: v, Workspace: workspace, Cost: validCost(cost), parent: w}
	it.arrival = w.byArrival.PushBack(it)
	w.ordered.Push(it)
	w.waitingCost += it.Cost
	q.count++
	q.longest.Fix(w.heapIndex[byBacklog])
	return it
}

// workspaceOf returns a workspace, new ones as idle.
func (q *Queue[T]) workspaceOf(name string) *workspace[T] {
	w, ok := q.workspaces[name]
	if !ok {
		w = &workspace[T]{name: name, byArrival: list.New(),
			ordered: indexheap.New(q.less, func(it *Item[T], i int) { it.index = i })}
		q.workspaces[name] = w
		q.idle.Push(w)
	}
	return w
}

// Remove removes an item without service. An item that has left the queue is ignored.
func (q *Queue[T]) Remove(it *Item[T]) {
	w := it.parent
	if w == nil {
		return
	}
	it.parent = nil
	w.byArrival.Remove(it.arrival)
	w.ordered.Remove(it.index)
	w.waitingCost -= it.Cost
	q.count--
	if w.byArrival.Len() > 0 {
		q.next.Fix(w.heapIndex[byVirtualTime])
		q.longest.Fix(w.heapIndex[byBacklog])
		return
	}
	q.activeWeight -= w.weight
	q.next.Remove(w.heapIndex[byVirtualTime])
	q.longest.Remove(w.heapIndex[byBacklog])
	q.idle.Push(w)
	q.evictIdle()
}

// Serve removes an item and charges its cost to its workspace. An item that has left the queue is ignored.
func (q *Queue[T]) Serve(it *Item[T]) {
	w := it.parent
	if w == nil {
		return
	}
	q.virtualFloor = max(q.virtualFloor, w.virtualTime)
	w.virtualTime += it.Cost / w.weight
	q.Remove(it)
}

// Charge charges a workspace for work that was served without having waited. Weight and cost are limited as by Push.
func (q *Queue[T]) Charge(workspace string, weight, cost float64) {
	w := q.workspaceOf(workspace)
	start := max(w.virtualTime, q.virtualFloor)
	w.virtualTime = start + validCost(cost)/validWeight(weight)
	q.virtualFloor = start
	if w.byArrival.Len() > 0 {
		q.next.Fix(w.heapIndex[byVirtualTime])
		return
	}
	q.idle.Fix(w.heapIndex[byIdleTime])
	q.evictIdle()
}

// evictIdle forgets the idle workspaces with the lowest virtual times. One at or below the floor would resume at the floor in
// any case; others lose the memory of their last service, which only matters with more than maxIdleWorkspaces of them.
func (q *Queue[T]) evictIdle() {
	for q.idle.Len() > maxIdleWorkspaces {
		w := q.idle.Min()
		q.idle.Remove(w.heapIndex[byIdleTime])
		delete(q.workspaces, w.name)
	}
}

// Head returns the item to serve next, nil if none waits.
func (q *Queue[T]) Head() *Item[T] {
	if q.count == 0 {
		return nil
	}
	return q.next.Min().ordered.Min()
}

// Heads returns the next items of up to n workspaces, the one to serve next first. The others are near the front, but not fully
// sorted. It takes time in proportion to n.
func (q *Queue[T]) Heads(n int) []*Item[T] {
	var out []*Item[T]
	for _, w := range q.next.Top(n) {
		out = append(out, w.ordered.Min())
	}
	return out
}

// All yields every waiting item: workspaces by virtual time, and the items of each in its order. The queue must not be changed
// before the iteration ends; an iteration that ends early sorts only what it has yielded. Each step takes logarithmic time.
func (q *Queue[T]) All() iter.Seq[*Item[T]] {
	return func(yield func(*Item[T]) bool) {
		workspaceLess := byMeasure(func(w *workspace[T]) float64 { return w.virtualTime })
		for w := range sorted(q.next, workspaceLess) {
			for it := range sorted(w.ordered, q.less) {
				if !yield(it) {
					return
				}
			}
		}
	}
}

// sorted yields the items of a heap in order. It walks the heap's tree from the top and keeps the children of what it has
// yielded, so that the first k items take time in proportion to k log k.
func sorted[T any](h *indexheap.Heap[T], less func(a, b T) bool) iter.Seq[T] {
	return func(yield func(T) bool) {
		items := h.Top(h.Len())
		reached := indexheap.New(func(a, b int) bool { return less(items[a], items[b]) }, func(int, int) {})
		for i := 0; i < len(items); {
			if !yield(items[i]) {
				return
			}
			for child := 2*i + 1; child <= 2*i+2 && child < len(items); child++ {
				reached.Push(child)
			}
			if reached.Len() == 0 {
				return
			}
			i = reached.Min()
			reached.Remove(0)
		}
	}
}

// ShedCandidate returns the item to shed first: the newest of the workspace with the largest backlog; nil if none waits.
func (q *Queue[T]) ShedCandidate() *Item[T] {
	if q.count == 0 {
		return nil
	}
	return q.longest.Min().byArrival.Back().Value.(*Item[T])
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.count }

// ActiveWeight returns the sum of the weights of the workspaces with waiting items.
func (q *Queue[T]) ActiveWeight() float64 { return q.activeWeight }

// Waiting returns the number of waiting items of a workspace.
func (q *Queue[T]) Waiting(workspace string) int {
	if w, ok := q.workspaces[workspace]; ok {
		return w.byArrival.Len()
	}
	return 0
}

// WaitingCost returns the sum of the costs of a workspace's waiting items.
func (q *Queue[T]) WaitingCost(workspace string) float64 {
	if w, ok := q.workspaces[workspace]; ok && w.byArrival.Len() > 0 {
		return w.waitingCost
	}
	return 0
}

// Backlog returns the number of waiting items of a workspace divided by its weight.
func (q *Queue[T]) Backlog(workspace string) float64 {
	if w, ok := q.workspaces[workspace]; ok && w.byArrival.Len() > 0 {
		return w.backlog()
	}
	return 0
}

func validWeight(weight float64) float64 {
	if !(weight > 0) || math.IsInf(weight, 1) {
		return 1
	}
	return min(max(weight, MinWeight), MaxWeight)
}

func validCost(cost float64) float64 {
	if !(cost > 0) {
		return 0
	}
	return min(cost, MaxCost)
}
