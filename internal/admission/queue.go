package admission

import (
	"cmp"
	"slices"
	"time"

	"fireflyshift/internal/fairqueue"
	"fireflyshift/internal/indexheap"
)

// Queue holds the requests that wait at one owner for a slot of one service. Create it with New. It is not safe for concurrent use.
type Queue struct {
	max      int
	now      time.Duration // the latest time that was passed; it does not go back
	levels   [levelCount]level
	byKey    map[Key]*entry
	expiry   *indexheap.Heap[*entry] // by the end of patience
	onTime   *indexheap.Heap[*entry] // those not late, by the time at which they turn late
	ledger   ledger
	capacity capacity
	returns  returns
	arrivals uint64
	// waitingSince is when the queue was last empty.
	waitingSince time.Duration
	reviewedAt   time.Duration
}

// New returns an empty queue.
func New(c Config) *Queue {
	q := &Queue{
		max:      boundedMaxRequests(c.MaxRequests),
		byKey:    map[Key]*entry{},
		ledger:   newLedger(),
		capacity: newCapacity(),
		expiry: newEntryHeap(func(e *entry) time.Duration { return e.PatienceEnds },
			func(e *entry, i int) { e.expiryIndex = i }),
		onTime: newEntryHeap(func(e *entry) time.Duration { return e.OnTimeBy },
			func(e *entry, i int) { e.onTimeIndex = i }),
	}
	for p := range q.levels {
		q.levels[p].fair = fairqueue.New(before)
	}
	return q
}

func newEntryHeap(key func(*entry) time.Duration, setIndex func(*entry, int)) *indexheap.Heap[*entry] {
	less := func(a, b *entry) bool {
		if key(a) != key(b) {
			return key(a) < key(b)
		}
		return a.number < b.number
	}
	return indexheap.New(less, setIndex)
}

// SetRoom sets the number of slots and the mean time that a request occupies one. They are the assumed capacity until grants are
// observed; later, a measured rate changes in proportion to the slots. Without slots every request is refused.
func (q *Queue) SetRoom(slots int, service time.Duration) {
	q.capacity.slots = max(slots, 0)
	q.capacity.service = min(max(service, 0), maxTimeLeft)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.byKey) }

// advance sets the time, and moves the requests that can no longer be on time behind those that can.
func (q *Queue) advance(now time.Duration) {
	now = min(max(now, q.now), maxNow)
	q.capacity.pass(now-q.now, q.Len() > 0)
	q.now = now
	if q.Len() == 0 {
		q.waitingSince = now
	}
	for q.onTime.Len() > 0 && q.onTime.Min().OnTimeBy < now {
		q.turnLate(q.onTime.Min())
	}
}

func (q *Queue) turnLate(e *entry) {
	q.onTime.Remove(e.onTimeIndex)
	t := e.lane.tally
	q.levels[e.lane.level].fair.Remove(e.item)
	q.leaveLevel(e)
	e.rank = late
	q.enterLevel(e, t.lane(levelOf(e.Priority, late)))
}

// enterLevel adds a request to the level of a lane.
func (q *Queue) enterLevel(e *entry, l *lane) {
	v := &q.levels[l.level]
	e.lane = l
	e.item = v.fair.Push(e.Workspace, e.Weight, e.Cost, e)
	v.work += e.Cost
	v.use(l, q.now)
	l.insert(e)
}

// leaveLevel removes a request from its level but for the fair queue.
func (q *Queue) leaveLevel(e *entry) {
	v := &q.levels[e.lane.level]
	v.work -= e.Cost
	e.lane.remove(e)
	if v.fair.Len() == 0 {
		v.work = 0 // removes the rounding errors of the sum
	}
}

// push adds a request that is within its bounds.
func (q *Queue) push(r *Request, l *lane) {
	q.arrivals++
	e := &entry{Request: *r, rank: rankOf(r, q.now), arrived: q.now, number: q.arrivals}
	q.enterLevel(e, l)
	q.byKey[r.Key] = e
	q.expiry.Push(e)
	if e.rank < late {
		q.onTime.Push(e)
	}
	q.ledger.wait(l.tally, 1)
}

// unlink removes a request from everything but its fair queue.
func (q *Queue) unlink(e *entry) {
	q.leaveLevel(e)
	delete(q.byKey, e.Key)
	q.expiry.Remove(e.expiryIndex)
	if e.rank < late {
		q.onTime.Remove(e.onTimeIndex)
	}
	q.ledger.wait(e.lane.tally, -1)
}

func (q *Queue) drop(e *entry) {
	q.levels[e.lane.level].fair.Remove(e.item)
	q.unlink(e)
}

// refuse ends a request that is not or no longer in the queue.
func (q *Queue) refuse(r *Request, t *tally, c Cause) Refusal {
	t.window.at(q.now).refused++
	refusal := Refusal{Request: *r, Cause: c}
	if c != OwnerGone {
		refusal.RetryAfter = q.retryAfter(r)
	}
	return refusal
}

func (q *Queue) dropAndRefuse(e *entry, c Cause) Refusal {
	q.drop(e)
	return q.refuse(&e.Request, e.lane.tally, c)
}

// Remove removes a request without an answer: its caller is gone or it was placed elsewhere.
func (q *Queue) Remove(k Key) bool {
	e, ok := q.byKey[k]
	if ok {
		q.drop(e)
	}
	return ok
}

// RemoveHost removes and returns the requests of a host, in order of arrival.
func (q *Queue) RemoveHost(host string) []Request {
	var removed []Request
	for _, e := range q.byArrival() {
		if e.Key.Host == host {
			q.drop(e)
			removed = append(removed, e.Request)
		}
	}
	return removed
}

// Clear refuses all requests, in order of arrival, as the owner no longer serves them. They ask the next owner at once.
func (q *Queue) Clear() []Refusal {
	var refusals []Refusal
	for _, e := range q.byArrival() {
		refusals = append(refusals, q.dropAndRefuse(e, OwnerGone))
	}
	return refusals
}

func (q *Queue) byArrival() []*entry {
	entries := make([]*entry, 0, len(q.byKey))
	for _, e := range q.byKey {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.number, b.number) })
	return entries
}
