// Package indexheap is a binary heap whose items know their place, so that any of them can be
// removed or moved in logarithmic time.
package indexheap

import "container/heap"

// Heap holds items in an order. Create it with New.
type Heap[T any] struct{ inner inner[T] }

// inner is what container/heap works on.
type inner[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(item T, index int)
}

// New returns an empty heap. less must order any two different items; place is told the index of
// an item each time that it moves.
func New[T any](less func(a, b T) bool, place func(item T, index int)) *Heap[T] {
	return &Heap[T]{inner[T]{less: less, place: place}}
}

// Len is the number of items.
func (h *Heap[T]) Len() int { return len(h.inner.items) }

// Min is the first item; the heap must not be empty.
func (h *Heap[T]) Min() T { return h.inner.items[0] }

// Top lists up to n items near the top, the first one first, the others in no full order.
func (h *Heap[T]) Top(n int) []T { return h.inner.items[:min(n, len(h.inner.items))] }

// Push adds an item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.inner, item) }

// Remove takes out the item at an index.
func (h *Heap[T]) Remove(index int) { heap.Remove(&h.inner, index) }

// Fix moves the item at an index to where it belongs after a change.
func (h *Heap[T]) Fix(index int) { heap.Fix(&h.inner, index) }

func (h *inner[T]) Len() int           { return len(h.items) }
func (h *inner[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }
func (h *inner[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.place(h.items[i], i)
	h.place(h.items[j], j)
}
func (h *inner[T]) Push(x any) {
	item := x.(T)
	h.place(item, len(h.items))
	h.items = append(h.items, item)
}
func (h *inner[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero // so that the memory can go
	h.items = h.items[:last]
	return item
}
