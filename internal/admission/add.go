package admission

import "time"

// Add queues a request and returns its predicted wait, or refuses it; displaced requests are returned as refusals too. A request
// with the key of a waiting one replaces it.
func (q *Queue) Add(now time.Duration, r Request) (wait time.Duration, queued bool, refusals []Refusal) {
	q.advance(now)
	r = bounded(q.now, r)
	replaced := q.Remove(r.Key)
	l := q.lane(&r)
	if !replaced {
		q.countOffer(&r, l)
	}
	wait, provisional, ok := q.mayWait(&r)
	if !ok {
		return wait, false, []Refusal{q.refuse(&r, l.tally, WaitTooLong)}
	}
	if q.Len() >= q.max {
		victim := q.victimFor(&r, l)
		if victim == nil {
			return wait, false, []Refusal{q.refuse(&r, l.tally, QueueFull)}
		}
		refusals = append(refusals, q.dropAndRefuse(victim, Displaced))
	}
	q.push(&r, l)
	if provisional {
		if !replaced && !r.Returning { // as for offered
			l.tally.window.at(q.now).provisional++
		}
		q.use(&r, l)
	} else {
		q.countArrival(&r, l)
	}
	return wait, true, refusals
}

// mayWait returns whether a request may wait, its predicted wait, and whether it waits provisionally.
func (q *Queue) mayWait(r *Request) (wait time.Duration, provisional, ok bool) {
	e := &entry{Request: *r, rank: rankOf(r, q.now), number: q.arrivals + 1}
	competitors := q.cachedCompetitors()
	wait, ok = q.predictEntry(e, onTimePart, competitors)
	if r.PatienceEnds <= q.now {
		return wait, false, false
	}
	if ok && q.now+wait <= r.PatienceEnds {
		return wait, false, true
	}
	if q.waitsProvisionally(e, onTimePart, competitors(levelOf(r.Priority, e.rank))) {
		return q.provisionalWait(r), true, true
	}
	return wait, false, false
}

// victimFor returns the waiting request that a new one displaces from a full queue, nil if there is none. Among requests of one
// priority, one is displaced only for a workspace whose weighted backlog stays shorter: otherwise a workspace that sends more than
// its share could keep all others out of a full queue.
func (q *Queue) victimFor(r *Request, l *lane) *entry {
	for level := levelCount - 1; level >= l.level; level-- {
		item := q.levels[level].fair.ShedCandidate()
		if item == nil {
			continue
		}
		if level > l.level || weightedBacklog(l, 1) < weightedBacklog(item.Value.lane, 0) {
			return item.Value
		}
		return nil
	}
	return nil
}

func weightedBacklog(l *lane, more int) float64 {
	return float64(len(l.entries)+more) / l.tally.weight
}

// Admit records a request that was granted a slot without waiting.
func (q *Queue) Admit(now time.Duration, r Request) {
	q.advance(now)
	r = bounded(q.now, r)
	l := q.lane(&r)
	q.countOffer(&r, l)
	q.countArrival(&r, l)
	q.levels[l.level].fair.Charge(r.Workspace, r.Weight, r.Cost)
	q.countGrant(&r, l.tally)
}

// PredictedWait returns the wait that Add would predict; ok is false if the forecast has no slot before the request's patience ends,
// also if it would wait provisionally.
func (q *Queue) PredictedWait(now time.Duration, r Request) (wait time.Duration, ok bool) {
	q.advance(now)
	r = bounded(q.now, r)
	wait, provisional, ok := q.mayWait(&r)
	return wait, ok && !provisional
}

// HasPlace reports whether Add would queue a request and refuse none.
func (q *Queue) HasPlace(now time.Duration, r Request) bool {
	q.advance(now)
	r = bounded(q.now, r)
	_, _, ok := q.mayWait(&r)
	return ok && q.Len() < q.max
}

// lane returns the lane of a request that has just arrived.
func (q *Queue) lane(r *Request) *lane {
	t, forgotten := q.ledger.of(r.Workspace, r.Weight)
	if forgotten != nil {
		for i, l := range forgotten.lanes {
			if l != nil {
				q.levels[i].forget(l)
			}
		}
	}
	return t.lane(levelOf(r.Priority, rankOf(r, q.now)))
}

// countOffer counts a request that asks. One of a returning caller was counted when it was refused, but adds to the demand.
func (q *Queue) countOffer(r *Request, l *lane) {
	q.levels[l.level].offered.add(q.now, q.capacity.smoothing(), r.Cost)
	l.arrivals[rankOf(r, q.now)].addUpTo(q.shareOf(r, l), q.now, q.capacity.smoothing(), r.Cost)
	if !r.Returning {
		l.tally.window.at(q.now).offered++
	}
}

// shareExcess is by how much the rate of arrivals of a workspace may exceed its share of the slots in forecasts. More than the share
// is not served, so it only would delay the notice that a wave is over.
const shareExcess = 1.4

// shareOf returns the work per second above which the arrivals of a workspace do not count.
func (q *Queue) shareOf(r *Request, l *lane) float64 {
	_, higher := q.higher(l.level)
	active := max(r.Weight, q.levels[l.level].fair.ActiveWeight())
	return shareExcess * max(0, q.capacity.perSecond()-higher) * r.Weight / active
}

// countArrival counts a request that was queued or granted at once. Returning callers come once and then no more, so they do not count
// as arrivals that forecasts of lower priorities expect to go on.
func (q *Queue) countArrival(r *Request, l *lane) {
	if !r.Returning {
		q.levels[l.level].arrivals.add(q.now, q.capacity.smoothing(), r.Cost)
	}
	q.use(r, l)
}

// use marks the lane of a request that was queued or granted as recently used.
func (q *Queue) use(r *Request, l *lane) {
	l.cost = r.Cost
	q.levels[l.level].use(l, q.now)
}

// countGrant counts a granted request. Only grants while requests wait show the capacity.
func (q *Queue) countGrant(r *Request, t *tally) {
	if q.waitingSince < q.now {
		q.capacity.grant(r.Cost)
	}
	q.ledger.granted(q.now, t, r)
}
