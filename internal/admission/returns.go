package admission

import "time"

const (
	// returnPart is the part of the time that a caller has left up to which it honours the time to return.
	returnPart = 3
	// returnSpread is the time over which returns are spread if demand is above capacity, and with it everyone returns as late as
	// it honours. It separates requests that are refused together; longer would return callers earlier into the same overload.
	returnSpread = 250 * time.Millisecond
	// minReturn is the least time to return, as zero stands for unknown.
	minReturn = time.Millisecond
)

// returns is the schedule of refused callers' returns: by priority, the time of the next place.
type returns struct{ next [Priorities]time.Duration }

// place takes the next place between two times for a return that occupies the slots for a step. Less urgent returns come after it.
func (s *returns) place(priority int, from, to, step time.Duration) time.Duration {
	at := max(from, s.next[priority])
	if at > to {
		at = from // all places are taken: begin again
	}
	for p := priority; p < Priorities; p++ {
		if p == priority || s.next[p] < at+step {
			s.next[p] = at + step
		} else {
			s.next[p] += step
		}
	}
	return at
}

// retryAfter returns when a refused caller should return, zero if it has no time left.
func (q *Queue) retryAfter(r *Request) time.Duration {
	limit := (r.Deadline - q.now) / returnPart
	if limit < minReturn {
		return 0
	}
	from, free := q.backlog(r.Priority)
	if !free || from >= limit || q.overloaded(r.Priority) {
		from = max(0, limit-returnSpread)
	}
	from = max(from, minReturn)
	return q.returns.place(r.Priority, q.now+from, q.now+limit, q.step(r.Cost, limit)) - q.now
}

// step returns the time in which the slots do the work of one request.
func (q *Queue) step(cost float64, limit time.Duration) time.Duration {
	seconds := cost / q.capacity.perSecond()
	if !(seconds < limit.Seconds()) { // also without capacity
		return limit
	}
	return time.Duration(seconds * float64(time.Second))
}

// overloaded reports whether more is asked for at a priority and those above it than the slots can do.
func (q *Queue) overloaded(priority int) bool {
	sum := 0.0
	for p := 0; p <= priority; p++ {
		sum += q.levels[p].offered.perSecond(q.now, q.capacity.smoothing())
	}
	return sum >= q.capacity.perSecond()
}
