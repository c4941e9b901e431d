package fairqueue

// Fix restores the order within a workspace after the value of a waiting item has changed in a way that less depends on. It keeps
// the item's age and its workspace's place. An item that has left the queue is ignored.
func (q *Queue[T]) Fix(it *Item[T]) {
	if it.parent != nil {
		it.parent.ordered.Fix(it.index)
	}
}

// Lead returns by how much a workspace's virtual time, at which its next item would wait, exceeds that of the latest service: the
// work per weight that each other workspace with waiting items is served before that item. It is zero for one that was idle.
func (q *Queue[T]) Lead(workspace string) float64 {
	if w, ok := q.workspaces[workspace]; ok {
		return max(0, w.virtualTime-q.virtualFloor)
	}
	return 0
}
