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
	// maxCompetitors limits the workspaces that a forecast distinguishes in each of its steps; it adds up the others. Collecting them
	// still visits each workspace with recent requests once.
	maxCompetitors = 128
)

// competitor is another workspace of the same level: what waits of it, how fast more arrives, and what limits how much of both goes
// ahead.
type competitor struct {
	lane     *lane   // nil for the sum of several
	work     float64 // milliseconds
	arrivals float64 // milliseconds per second
	weight   float64
	lead     float64 // what it received beyond the others, in work divided by weight
	cost     float64 // of one of its requests; zero if unknown
}

// allotment returns the work that the workspace is served before another one at a virtual start time. Service is by whole requests,
// and of two workspaces with the same virtual time that with the lower name is served first: with equal costs and weights this decides
// a whole round.
func (r *competitor) allotment(virtualStart float64, name string) float64 {
	behind := virtualStart - r.lead
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

// competitors are the workspaces of one level with waiting requests or recent arrivals.
type competitors struct {
	each       []competitor // at most maxCompetitors
	rest       competitor   // the sum of the others
	allotments []float64
}

func (s *competitors) add(r competitor) {
	if len(s.each) < maxCompetitors {
		s.each = append(s.each, r)
		return
	}
	s.rest.work += r.work
	s.rest.arrivals += r.arrivals
	s.rest.weight += r.weight
}

// refused subtracts a refused request, so that the forecasts of the others need not count it.
func (s *competitors) refused(e *entry) {
	for i := range s.each {
		if s.each[i].lane == e.lane {
			s.each[i].work = max(0, s.each[i].work-e.Cost)
			return
		}
	}
	s.rest.work = max(0, s.rest.work-e.Cost)
}

// competitors returns the workspaces that compete at a level, and forgets those that were idle for long.
func (q *Queue) competitors(level int) *competitors {
	v, smoothing := &q.levels[level], q.capacity.smoothing()
	s := competitors{each: make([]competitor, 0, min(len(v.lanes), maxCompetitors))}
	for i := 0; i < len(v.lanes); {
		l := v.lanes[i]
		if len(l.entries) == 0 && q.now-l.lastUsed > forgetAfter*smoothing {
			v.forget(l)
			continue
		}
		r := competitor{lane: l, work: l.work, arrivals: l.allArrivals(q.now, smoothing), weight: l.tally.weight}
		if len(s.each) < maxCompetitors {
			r.lead = v.fair.Lead(l.tally.name)
			r.cost = l.requestCost()
		}
		s.add(r)
		i++
	}
	return &s
}

// cachedCompetitors returns competitors as of the first call for each level.
func (q *Queue) cachedCompetitors() func(level int) *competitors {
	var byLevel [levelCount]*competitors
	return func(level int) *competitors {
		if byLevel[level] == nil {
			byLevel[level] = q.competitors(level)
		}
		return byLevel[level]
	}
}

// ahead is what is served before a request. Work is in milliseconds, rates are in milliseconds per second.
type ahead struct {
	capacity float64
	// The work that always goes first: that of lower levels, and that until the next slot becomes free.
	first, firstArrivals float64
	// The work of its own workspace.
	own, ownArrivals float64
	lane             *lane
	workspace        string
	// lead is what its workspace received beyond the others, in work divided by weight.
	lead, weight float64
	competitors  *competitors
}

// virtualStart returns the virtual time of the request's service, relative to that of the latest service.
func (a *ahead) virtualStart() float64 { return a.own/a.weight + a.lead }

// prepare calculates what each other workspace is served before the request.
func (a *ahead) prepare() {
	a.competitors.allotments = a.competitors.allotments[:0]
	for i := range a.competitors.each {
		a.competitors.allotments = append(a.competitors.allotments, a.competitors.each[i].allotment(a.virtualStart(), a.workspace))
	}
}

// within returns the work that is served before the request if it waits for some seconds, and how fast this grows. Of each other
// workspace this is what waits and arrives, but not more than weighted fair queuing serves before the request's own workspace has
// its next service.
func (a *ahead) within(seconds float64) (work, growth float64) {
	work, growth = a.first+a.firstArrivals*seconds+a.own+a.ownArrivals*seconds, a.firstArrivals+a.ownArrivals
	delay, delayGrowth := a.ownArrivals*seconds/a.weight, a.ownArrivals/a.weight
	count := func(r *competitor, allotment float64) {
		demand, fair := r.work+r.arrivals*seconds, allotment+delay*r.weight
		if demand < fair {
			work, growth = work+demand, growth+r.arrivals
		} else {
			work, growth = work+fair, growth+delayGrowth*r.weight
		}
	}
	for i := range a.competitors.each {
		if r := &a.competitors.each[i]; r.lane != a.lane {
			count(r, a.competitors.allotments[i])
		}
	}
	if a.competitors.rest.weight > 0 {
		count(&a.competitors.rest, a.competitors.rest.allotment(a.virtualStart(), a.workspace))
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

// higher returns the work of the levels before one and that until the next slot becomes free, with the rate of arrivals.
func (q *Queue) higher(level int) (work, arrivals float64) {
	work = q.capacity.grantWork()
	for i := range level {
		work += q.levels[i].work
		arrivals += q.levels[i].arrivals.perSecond(q.now, q.capacity.smoothing())
	}
	return work, arrivals
}

// predictEntry predicts the wait of an entry by the rank that it will have: one that turns late before it is served goes behind
// those that are on time. competitorsAt returns the workspaces that compete at a level.
func (q *Queue) predictEntry(e *entry, part float64, competitorsAt func(level int) *competitors) (wait time.Duration, ok bool) {
	if e.rank < late {
		wait, ok = q.predictAs(e, e.rank, competitorsAt(levelOf(e.Priority, e.rank)))
		if ok && float64(wait) <= part*float64(e.OnTimeBy-q.now) {
			return wait, true
		}
	}
	return q.predictAs(e, late, competitorsAt(levelOf(e.Priority, late)))
}

// predictAs predicts the wait of an entry of some rank.
func (q *Queue) predictAs(e *entry, as rank, s *competitors) (time.Duration, bool) {
	a := q.aheadOf(e, as, s)
	return a.wait()
}

// aheadOf returns what is served before an entry of some rank.
func (q *Queue) aheadOf(e *entry, as rank, s *competitors) ahead {
	level := levelOf(e.Priority, as)
	a := ahead{capacity: q.capacity.perSecond(), workspace: e.Workspace, weight: e.Weight, competitors: s}
	a.first, a.firstArrivals = q.higher(level)
	a.lead = q.levels[level].fair.Lead(e.Workspace)
	if t := q.ledger.workspaces[e.Workspace]; t != nil && t.lanes[level] != nil {
		a.lane = t.lanes[level]
		ranked := e
		if e.rank != as {
			ranked = &entry{Request: e.Request, rank: as, number: e.number}
		}
		a.own = a.lane.workBefore(ranked)
		a.ownArrivals = a.lane.arrivalsBefore(as, q.now, q.capacity.smoothing())
	}
	return a
}

// backlog returns the time until all waiting work of a priority and those above it is done.
func (q *Queue) backlog(priority int) (time.Duration, bool) {
	a := ahead{capacity: q.capacity.perSecond(), weight: 1, competitors: &competitors{}, own: q.levels[lastLevel(priority)].work}
	a.first, a.firstArrivals = q.higher(lastLevel(priority))
	return a.wait()
}
