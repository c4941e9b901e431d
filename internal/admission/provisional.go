package admission

import "time"

// waitsProvisionally reports whether a request may wait although the forecast has no slot for it, because arrivals of more urgent
// priorities take the capacity: it would still be served in time if they ceased now. Nobody knows when a wave ends. If nothing waited
// then, slots would stay idle until refused callers return, who are late. What waits provisionally is bounded by what the slots do
// within the target latency. part is that of the time to the target latency within which the request must be served.
func (q *Queue) waitsProvisionally(e *entry, part float64, s *competitors) bool {
	a := q.aheadOf(e, e.rank, s)
	a.firstArrivals = 0
	wait, ok := a.wait()
	return ok && float64(wait) <= part*float64(e.OnTimeBy-q.now) && q.now+wait <= e.PatienceEnds
}

// provisionalWait is the longest provisional wait: a request that turns late goes on only if the forecast has a slot for it.
func (q *Queue) provisionalWait(r *Request) time.Duration {
	return min(r.OnTimeBy, r.PatienceEnds) - q.now
}
