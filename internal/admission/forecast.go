package admission

import (
	"math"
	"time"
)

const (
	// forecastHorizon is the longest predicted wait. A request that would wait longer gets no slot: no caller is that patient.
	forecastHorizon = time.Minute
	// onTimePart is the part of the time to the target latency within which a new request must be predicted to get its slot to
	// count as on time. The rest covers the error of the prediction: a request that turns late goes behind all new ones and would
	// mostly be refused after having waited.
	onTimePart = 0.85
	// maxRivals limits the workspaces that a forecast distinguishes; it adds up the others. Its cost then does not grow with the
	// number of workspaces.
	maxRivals = 128
)

// rival is another workspace of the same priority: what waits of it, how fast more arrives, and what limits how much of both goes
// ahead.
type rival struct {
	lane     *lane   // nil for the sum of several
	work     float64 // milliseconds
	arrivals float64 // milliseconds per second
	weight   float64
	lead     float64 // what it received beyond the others, in work divided by weight
	cost     float64 // of one of its requests; zero if unknown
}

// due returns the work that the workspace is served before another one at a turn. Service is by whole requests, and of two workspaces
// with the same virtual time that with the lower name is served first: with equal costs and weights this decides a whole round.
func (r *rival) due(turn float64, name string) float64 {
	behind := turn - r.lead
	if behind < 0 {
		return 0
	}
	if r.lane == nil || r.cost <= 0 {
		return behind * r.weight
	}
	const rounding = 1e-6 // of one request, from sums of costs
	requests := behind * r.weight / r.cost
	whole := math.Floor(requests + rounding)
	if requests-whole > rounding || r.lane.tally.name < name {
		whole++
	}
	return whole * r.cost
}

// rivals are the workspaces of one priority with waiting requests or recent arrivals.
type rivals struct {
	each []rival // at most maxRivals
	rest rival   // the sum of the others
	dues []float64
}

func (s *rivals) add(r rival) {
	if len(s.each) < maxRivals {
		s.each = append(s.each, r)
		return
	}
	s.rest.work += r.work
	s.rest.arrivals += r.arrivals
	s.rest.weight += r.weight
}

// refused subtracts a refused request, so that the forecasts of the others need not count it.
func (s *rivals) refused(e *entry) {
	for i := range s.each {
		if s.each[i].lane == e.lane {
			s.each[i].work = max(0, s.each[i].work-e.Cost)
			return
		}
	}
	s.rest.work = max(0, s.rest.work-e.Cost)
}

// rivals returns the workspaces that compete at a priority, and forgets those that were idle for long.
func (q *Queue) rivals(priority int) rivals {
	v, smoothing := &q.levels[priority], q.capacity.smoothing()
	var s rivals
	for i := 0; i < len(v.lanes); {
		l := v.lanes[i]
		if len(l.entries) == 0 && q.now-l.lastUsed > forgetAfter*smoothing {
			v.forget(l)
			continue
		}
		r := rival{lane: l, work: l.work, arrivals: l.allArrivals(q.now, smoothing), weight: l.tally.weight}
		if len(s.each) < maxRivals {
			r.lead = v.fair.Lead(l.tally.name)
			r.cost = l.requestCost()
		}
		s.add(r)
		i++
	}
	return s
}

// ahead is what is served before a request. Work is in milliseconds, rates are in milliseconds per second.
type ahead struct {
	capacity float64
	// The work that always goes first: that of higher priorities, and that until the next slot becomes free.
	first, firstArrivals float64
	// The work of its own workspace.
	own, ownArrivals float64
	lane             *lane
	workspace        string
	// lead is what its workspace received beyond the others, in work divided by weight.
	lead, weight float64
	rivals       *rivals
}

// turn is the virtual time at which the request is served, measured from that of the latest service.
func (a *ahead) turn() float64 { return a.own/a.weight + a.lead }

// prepare calculates what each other workspace is due before the request's turn.
func (a *ahead) prepare() {
	a.rivals.dues = a.rivals.dues[:0]
	for i := range a.rivals.each {
		a.rivals.dues = append(a.rivals.dues, a.rivals.each[i].due(a.turn(), a.workspace))
	}
}

// within returns the work that is served before the request if it waits for some seconds, and how fast this grows. Of each other
// workspace this is what waits and arrives, but not more than weighted fair queuing serves before the request's own workspace has
// its turn.
func (a *ahead) within(seconds float64) (work, growth float64) {
	work, growth = a.first+a.firstArrivals*seconds+a.own+a.ownArrivals*seconds, a.firstArrivals+a.ownArrivals
	delay, delayGrowth := a.ownArrivals*seconds/a.weight, a.ownArrivals/a.weight
	count := func(r *rival, due float64) {
		demand, fair := r.work+r.arrivals*seconds, due+delay*r.weight
		if demand < fair {
			work, growth = work+demand, growth+r.arrivals
		} else {
			work, growth = work+fair, growth+delayGrowth*r.weight
		}
	}
	for i := range a.rivals.each {
		if r := &a.rivals.each[i]; r.lane != a.lane {
			count(r, a.rivals.dues[i])
		}
	}
	if a.rivals.rest.weight > 0 {
		count(&a.rivals.rest, a.rivals.rest.due(a.turn(), a.workspace))
	}
	return work, growth
}

// maxSteps ends the search for the wait. The work ahead is piecewise linear, and each step skips at least one of its bends, mostly
// many.
const maxSteps = 12

// wait returns the time after which the work ahead is done; ok is false if it is not done within the horizon. The work ahead is a
// concave function of the wait, so Newton's method from the horizon approaches the wait from above.
func (a *ahead) wait() (wait time.Duration, ok bool) {
	a.prepare()
	seconds := forecastHorizon.Seconds()
	for range maxSteps {
		work, growth := a.within(seconds)
		if work > a.capacity*seconds || growth >= a.capacity {
			break
		}
		next := (work - growth*seconds) / (a.capacity - growth)
		if seconds-next < 0.001 {
			seconds = next
			break
		}
		seconds = next
	}
	if !(seconds < forecastHorizon.Seconds()) { // also NaN
		return forecastHorizon, false
	}
	return time.Duration(max(0, seconds) * float64(time.Second)), true
}

// higher returns the work of higher priorities and that until the next slot becomes free, with the rate of arrivals.
func (q *Queue) higher(priority int) (work, arrivals float64) {
	work = q.capacity.grantWork()
	for p := range priority {
		work += q.levels[p].work
		arrivals += q.levels[p].arrivals.perSecond(q.now, q.capacity.smoothing())
	}
	return work, arrivals
}

// aheadOf returns what goes ahead of a request, without its own workspace.
func (q *Queue) aheadOf(r *Request, s *rivals) ahead {
	a := ahead{capacity: q.capacity.perSecond(), workspace: r.Workspace, weight: r.Weight, rivals: s}
	a.first, a.firstArrivals = q.higher(r.Priority)
	a.lead = q.levels[r.Priority].fair.Lead(r.Workspace)
	return a
}

// predict returns the wait of a request that is not in the queue.
func (q *Queue) predict(r *Request) (wait time.Duration, ok bool) {
	s := q.rivals(r.Priority)
	a := q.aheadOf(r, &s)
	if t := q.ledger.workspaces[r.Workspace]; t != nil {
		a.lane = &t.lanes[r.Priority]
	}
	e := entry{Request: *r, rank: rankOf(r, q.now), number: q.arrivals + 1}
	return q.predictEntry(&e, a, onTimePart)
}

// predictEntry predicts the wait of an entry by the rank that it will have: one that turns late before it is served goes behind
// those that are on time.
func (q *Queue) predictEntry(e *entry, a ahead, part float64) (wait time.Duration, ok bool) {
	if e.rank < late {
		wait, ok = q.predictAs(e, &a, e.rank)
		if ok && float64(wait) <= part*float64(e.OnTimeBy-q.now) {
			return wait, true
		}
	}
	return q.predictAs(e, &a, late)
}

func (q *Queue) predictAs(e *entry, a *ahead, as rank) (time.Duration, bool) {
	if a.lane != nil {
		ranked := entry{Request: e.Request, rank: as, number: e.number}
		a.own = a.lane.workBefore(&ranked)
		a.ownArrivals = a.lane.arrivalsBefore(as, q.now, q.capacity.smoothing())
	}
	return a.wait()
}

// backlog returns the time until all waiting work of a priority and those above it is done.
func (q *Queue) backlog(priority int) (time.Duration, bool) {
	a := ahead{capacity: q.capacity.perSecond(), weight: 1, rivals: &rivals{}, own: q.levels[priority].work}
	a.first, a.firstArrivals = q.higher(priority)
	return a.wait()
}
