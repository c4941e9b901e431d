package admission

import "time"

// SetMaxRequests changes the number of requests that may wait. Those beyond it are refused, the one served last first.
func (q *Queue) SetMaxRequests(now time.Duration, n int) []Refusal {
	q.advance(now)
	q.max = boundedMaxRequests(n)
	var refusals []Refusal
	for level := levelCount - 1; level >= 0 && q.Len() > q.max; level-- {
		refusals = append(refusals, q.refuseLast(level, q.Len()-q.max)...)
	}
	return refusals
}

// refuseLast refuses up to n requests of a level, the one served last first.
func (q *Queue) refuseLast(level, n int) []Refusal {
	order := q.inReverse(level)
	refusals := make([]Refusal, 0, min(n, len(order)))
	for _, next := range order[:min(n, len(order))] {
		refusals = append(refusals, q.dropAndRefuse(next.entry, QueueFull))
	}
	return refusals
}
