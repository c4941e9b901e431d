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
	if q.now-q.reviewed < reviewInterval {
		return refusals
	}
	q.reviewed = q.now
	for p := range q.levels {
		refusals = append(refusals, q.review(p)...)
	}
	return refusals
}

// reviewed is a waiting request with its place in the order.
type reviewed struct {
	entry *entry
	turn  float64 // work of its workspace up to it divided by the weight
}

// review refuses the requests of a priority that would not be served within their patience. It begins with those served last: their
// refusal shortens no other wait, and those before them then need not be refused for work that is no longer there.
func (q *Queue) review(priority int) []Refusal {
	order := q.inReverse(priority)
	if len(order) == 0 {
		return nil
	}
	s := q.rivals(priority)
	var refusals []Refusal
	for _, next := range order {
		e := next.entry
		a := q.aheadOf(&e.Request, &s)
		a.lane = e.lane
		wait, ok := q.predictEntry(e, a, reviewTolerance)
		if ok && float64(wait) <= reviewTolerance*float64(e.PatienceEnds-q.now) {
			continue
		}
		s.refused(e)
		refusals = append(refusals, q.dropAndRefuse(e, WaitTooLong))
	}
	return refusals
}

// inReverse returns the requests of a priority, the one served last first.
func (q *Queue) inReverse(priority int) []reviewed {
	var order []reviewed
	v := &q.levels[priority]
	for _, l := range v.lanes {
		turn := 0.0
		for _, e := range l.entries {
			turn += e.Cost / l.tally.weight
			order = append(order, reviewed{e, turn})
		}
	}
	slices.SortFunc(order, func(a, b reviewed) int {
		return cmp.Or(cmp.Compare(b.turn, a.turn), cmp.Compare(b.entry.number, a.entry.number))
	})
	return order
}
