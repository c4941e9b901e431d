// Package indexheap provides a binary heap whose items track their index, so that any item can be
// removed or reordered in logarithmic time.
package indexheap

import "container/heap"

// Heap is a binary min-heap. Create it with New.
type Heap[T any] struct{ inner inner[T] }

// inner implements heap.Interface.
type inner[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(item T, index int)
}

// New returns an empty heap. less must be a strict total order over the items; setIndex is called
// with the new index of an item whenever it moves.
func New[T any](less func(a, b T) bool, setIndex func(item T, index int)) *Heap[T] {
	return &Heap[T]{inner[T]{less: less, setIndex: setIndex}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.inner.items) }

// Min returns the first item without removing it. The heap must not be empty.
func (h *Heap[T]) Min() T { return h.inner.items[0] }

// Top returns up to n items near the top: the first is the minimum, the others are not fully sorted.
// The slice shares memory with the heap.
func (h *Heap[T]) Top(n int) []T { return h.inner.items[:min(n, len(h.inner.items))] }

// Push adds an item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.inner, item) }

// Remove removes the item at an index.
func (h *Heap[T]) Remove(index int) { heap.Remove(&h.inner, index) }

// Fix restores the order after the item at an index has changed.
func (h *Heap[T]) Fix(index int) { heap.Fix(&h.inner, index) }

func (h *inner[T]) Len() int           { return len(h.items) }
func (h *inner[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }
func (h *inner[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}
func (h *inner[T]) Push(x any) {
	item := x.(T)
	h.setIndex(item, len(h.items))
	h.items = append(h.items, item)
}
func (h *inner[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero // releases the reference
	h.items = h.items[:last]
	return item
}
