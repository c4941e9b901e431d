package admission

import "time"

const (
	// returnPart is the part of the time that a caller has left up to which it honours the time to return.
	returnPart = 3
	// earliestPart is the part of that time before which nobody returns if demand is above capacity: the overload would still last.
	earliestPart = 3
	// minReturn is the least time to return, as zero stands for unknown.
	minReturn = time.Millisecond
	// priorityStep is the time by which callers of a priority return before those of the next one if both return as late as they
	// honour. It is enough for a first request to take its place in the queue.
	priorityStep = 10 * time.Millisecond
)

const (
	// placeTime is the time that one place in the schedule of returns stands for. It is short against the waits that callers accept,
	// so that those who return at the same place are served soon after one another.
	placeTime = 50 * time.Millisecond
	// places is the length of the schedule. Callers with more than three times as long left return without a place.
	places = 600
)

// returns is the schedule of refused callers' returns: the work that is expected at each place of a ring, by priority.
type returns struct {
	booked [places][Priorities]float64
	// begin is the number of the first place that is not over.
	begin int64
}

func placeOf(t time.Duration) int64 { return int64(t / placeTime) }

// pass clears the places that are over.
func (s *returns) pass(now time.Duration) {
	current := placeOf(now)
	for i := max(s.begin, current-places); i < current; i++ {
		s.booked[i%places] = [Priorities]float64{}
	}
	s.begin = max(s.begin, current)
}

// at returns the work that is booked at a place at a priority and those above it.
func (s *returns) at(place int64, priority int) float64 {
	sum := 0.0
	for _, work := range s.booked[place%places][:priority+1] {
		sum += work
	}
	return sum
}

// choose returns the first place between two, the second included, at which less than the room is booked; without one, that with the
// least work. It searches backwards if last is below first.
func (s *returns) choose(priority int, first, last int64, room float64) int64 {
	step := int64(1)
	if last < first {
		step = -1
	}
	best := first
	for i := first; ; i += step {
		if s.at(i, priority) < room {
			return i
		}
		if s.at(i, priority) < s.at(best, priority) {
			best = i
		}
		if i == last {
			return best
		}
	}
}

// retryAfter returns when a refused caller should return, zero if it has no time left. If the waiting work will be done in time, the
// caller returns at the first place after this. If demand is above capacity, it returns at the last place that it still honours:
// nobody knows when the demand ends. Others that are refused meanwhile return at places before it, so that returns arrive no faster
// than they can be served.
func (q *Queue) retryAfter(r *Request) time.Duration {
	limit := (r.Deadline - q.now) / returnPart
	if limit < minReturn {
		return 0
	}
	if limit >= (places-1)*placeTime {
		return limit
	}
	q.returns.pass(q.now)
	first, last := limit-time.Duration(Priorities-1-r.Priority)*priorityStep, limit/earliestPart
	if ready, ok := q.backlog(r.Priority); ok && ready < limit && !q.overloaded(r.Priority) {
		first, last = ready, limit
	}
	room := q.capacity.perSecond() * placeTime.Seconds()
	place := q.returns.choose(r.Priority, placeOf(q.now+max(first, 0)), placeOf(q.now+last), room)
	return min(max(q.book(r, place), minReturn), limit)
}

// book books a place and returns the time to it. Within a place, callers follow one another by the work that is booked before them.
func (q *Queue) book(r *Request, place int64) time.Duration {
	before := q.returns.at(place, r.Priority)
	q.returns.booked[place%places][r.Priority] += r.Cost
	within := before / max(q.capacity.perSecond(), minCost)
	at := time.Duration(place)*placeTime + time.Duration(min(within, placeTime.Seconds())*float64(time.Second))
	return at - q.now
}

// overloaded reports whether more is asked for at a priority and those above it than the slots can do.
func (q *Queue) overloaded(priority int) bool {
	sum := 0.0
	for p := 0; p <= priority; p++ {
		sum += q.levels[p].offered.perSecond(q.now, q.capacity.smoothing())
	}
	return sum >= q.capacity.perSecond()
}
