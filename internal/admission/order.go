package admission

import (
	"sort"
	"time"

	"fireflyshift/internal/fairqueue"
)

// rank orders the requests of a workspace before their deadlines do.
type rank int

const (
	// onTime is a new request that can still meet the route's target latency.
	onTime rank = iota
	// returningOnTime is one of a returning caller. It goes after new ones: otherwise, under sustained demand above capacity, only
	// returning callers would be served, all late.
	returningOnTime
	// late is one that cannot meet the target latency.
	late
	ranks
)

func rankOf(r *Request, now time.Duration) rank {
	switch {
	case now > r.OnTimeBy:
		return late
	case r.Returning:
		return returningOnTime
	default:
		return onTime
	}
}

// levelCount is the number of levels. Each priority has two: requests that can meet the target latency are served before those that
// cannot, of whichever workspace, as an answer in time is worth more to a caller than one that is late anyway.
const levelCount = 2 * Priorities

// levelOf returns the level of a request of some rank. Lower levels are served first.
func levelOf(priority int, as rank) int {
	if as == late {
		return 2*priority + 1
	}
	return 2 * priority
}

// lastLevel returns the last level of a priority.
func lastLevel(priority int) int { return levelOf(priority, late) }

// entry is a waiting request.
type entry struct {
	Request
	rank    rank
	arrived time.Duration
	number  uint64 // of the arrival; makes the order total
	lane    *lane
	item    *fairqueue.Item[*entry]
	// Indexes in the heaps of the queue.
	expiryIndex, onTimeIndex int
}

// before is the order within a workspace and level.
func before(a, b *entry) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.number < b.number
}

// lane holds the waiting requests of one workspace and level in their order.
type lane struct {
	tally   *tally
	level   int
	entries []*entry
	work    float64 // of the entries
	// before[i] is the work of the entries before the i-th, up to the first that has changed since it was needed.
	before []float64
	// arrivals are the rates of work that was asked for, up to the limit of shareOf.
	arrivals [ranks]rate
	// cost is that of the latest request.
	cost     float64
	lastUsed time.Duration
	recent   int // index among the recently used lanes of the level, -1 if not there
}

func (l *lane) position(e *entry) int {
	return sort.Search(len(l.entries), func(i int) bool { return !before(l.entries[i], e) })
}

func (l *lane) insert(e *entry) {
	i := l.position(e)
	l.entries = append(l.entries, nil)
	copy(l.entries[i+1:], l.entries[i:])
	l.entries[i] = e
	l.work += e.Cost
	l.changed(i)
}

func (l *lane) remove(e *entry) {
	i := l.position(e)
	copy(l.entries[i:], l.entries[i+1:])
	l.entries[len(l.entries)-1] = nil
	l.entries = l.entries[:len(l.entries)-1]
	l.work -= e.Cost
	l.changed(i)
	if len(l.entries) == 0 {
		l.work = 0 // removes the rounding errors of the sum
	}
}

// workBefore returns the work of the entries that go before one that need not be in the lane.
func (l *lane) workBefore(e *entry) float64 {
	i := l.position(e)
	if len(l.before) == 0 {
		l.before = append(l.before, 0)
	}
	for n := len(l.before); n <= i; n++ {
		l.before = append(l.before, l.before[n-1]+l.entries[n-1].Cost)
	}
	return l.before[i]
}

// changed forgets the sums that an insertion or removal at an index has changed.
func (l *lane) changed(i int) { l.before = l.before[:min(len(l.before), i+1)] }

// arrivalsBefore returns the rate of arrivals that go before a request of a rank. Those of the same rank have later deadlines.
func (l *lane) arrivalsBefore(r rank, now, smoothing time.Duration) float64 {
	sum := 0.0
	for i := onTime; i < r; i++ {
		sum += l.arrivals[i].perSecond(now, smoothing)
	}
	return sum
}

func (l *lane) allArrivals(now, smoothing time.Duration) float64 {
	return l.arrivalsBefore(ranks, now, smoothing)
}

// requestCost returns the cost of one request: the mean of those that wait, or the latest.
func (l *lane) requestCost() float64 {
	if len(l.entries) == 0 {
		return max(l.cost, minCost)
	}
	return l.work / float64(len(l.entries))
}

// level holds the waiting requests of one priority that can meet the target latency, or those that cannot.
type level struct {
	fair *fairqueue.Queue[*entry]
	work float64 // of the waiting requests
	// arrivals is the rate of work that was queued or granted at once, offered that of all that asked.
	arrivals, offered rate
	lanes             []*lane // with waiting requests or recent arrivals
}

// forgetAfter is the number of smoothing times after which a lane without arrivals no longer counts in forecasts.
const forgetAfter = 3

// use marks a lane as recently used.
func (v *level) use(l *lane, now time.Duration) {
	l.lastUsed = now
	if l.recent < 0 {
		l.recent = len(v.lanes)
		v.lanes = append(v.lanes, l)
	}
}

func (v *level) forget(l *lane) {
	if l.recent < 0 {
		return
	}
	last := v.lanes[len(v.lanes)-1]
	v.lanes[l.recent] = last
	last.recent = l.recent
	v.lanes[len(v.lanes)-1] = nil
	v.lanes = v.lanes[:len(v.lanes)-1]
	l.recent = -1
}
