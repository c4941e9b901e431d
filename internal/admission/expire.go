package admission

import (
	"cmp"
	"slices"
	"time"
)

// reviewInterval is the least time between two predictions for all waiting requests. It bounds their cost; a caller whose wait has
// grown too long is refused at most 100 ms later, so it must be below this with the interval of the passes.
const reviewInterval = 50 * time.Millisecond

// reviewTolerance is the factor by which a prediction must exceed the patience that is left before a waiting request is refused. Rates
// are smoothed over about a second and vary by a fifth and more; without a tolerance, requests that are served in time would be refused.
// One that is not served is refused when its patience is down to two thirds of the predicted wait.
const reviewTolerance = 1.5

// Expire refuses the requests whose patience has ended and those whose predicted wait has grown beyond it.
func (q *Queue) Expire(now time.Duration) []Refusal {
	q.advance(now)
	var refusals []Refusal
	for q.expiry.Len() > 0 && q.expiry.Min().PatienceEnds <= q.now {
		refusals = append(refusals, q.dropAndRefuse(q.expiry.Min(), Expired))
	}
	if q.now-q.reviewedAt < reviewInterval {
		return refusals
	}
	q.reviewedAt = q.now
	for level := range q.levels {
		refusals = append(refusals, q.review(level)...)
	}
	return refusals
}

// reviewEntry is a waiting request with its place in the order.
type reviewEntry struct {
	entry        *entry
	virtualStart float64 // work of its workspace up to it divided by the weight
}

// review refuses the requests of a level that would not be served within their patience. It begins with those served last: their
// refusal shortens no other wait, and those before them then need not be refused for work that is no longer there.
func (q *Queue) review(level int) []Refusal {
	order := q.inReverse(level)
	if len(order) == 0 {
		return nil
	}
	cached := q.cachedCompetitors()
	var refusals []Refusal
	for _, next := range order {
		e := next.entry
		wait, ok := q.predictEntry(e, reviewTolerance, cached)
		if ok && float64(wait) <= reviewTolerance*float64(e.PatienceEnds-q.now) {
			continue
		}
		if q.waitsProvisionally(e, 1, cached(level)) {
			continue
		}
		cached(level).refused(e)
		refusals = append(refusals, q.dropAndRefuse(e, WaitTooLong))
	}
	return refusals
}

// inReverse returns the requests of a level, the one served last first.
func (q *Queue) inReverse(level int) []reviewEntry {
	var order []reviewEntry
	v := &q.levels[level]
	for _, l := range v.lanes {
		virtualStart := 0.0
		for _, e := range l.entries {
			virtualStart += e.Cost / l.tally.weight
			order = append(order, reviewEntry{e, virtualStart})
		}
	}
	slices.SortFunc(order, func(a, b reviewEntry) int {
		return cmp.Or(cmp.Compare(b.virtualStart, a.virtualStart), cmp.Compare(b.entry.number, a.entry.number))
	})
	return order
}
