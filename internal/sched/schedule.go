package sched

import (
	"time"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/record"
)

// Limits of the retry delay in a refusal.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// hardQueueFactor is the factor over the normal bound up to which the queue may grow while preempted
	// runs make room.
	hardQueueFactor = 4
	// finishMargin is the safety factor on the estimated duration when it is compared with a deadline.
	finishMargin = 1.15
)

// schedule grants slots while the first waiting request fits on a server, then preempts runs for it.
func (g *Group) schedule(now time.Duration) {
	if !g.settled {
		return
	}
	for g.grantNext(now) {
	}
}

// grantNext grants a slot to one request and reports whether it did.
func (g *Group) grantNext(now time.Duration) bool {
	if ignoresTiers(g.service.Policy) {
		w := g.queue.oldest()
		return w != nil && g.tryGrant(now, w) == granted
	}
	for p := NumPriorities - 1; p >= 0; p-- {
		for _, tier := range []*tierQueue{g.queue.suspended[p], g.queue.newRequests[p]} {
			switch g.grantFromTier(now, tier) {
			case granted:
				return true
			case noFreeSlot:
				g.preemptFor(now, tier.head())
				if tier == g.queue.newRequests[p] {
					return false // slots that new requests of this priority could use must not go to lower ones
				}
			}
		}
	}
	return false
}

// placement is the result of an attempt to grant a slot to a request.
type placement int

const (
	granted placement = iota + 1
	// noFreeSlot: no server that could serve the request in time has a free slot.
	noFreeSlot
	// tooSlow: the servers with free slots would not finish the request in time.
	tooSlow
	// noneWaiting: no request waits.
	noneWaiting
)

// maxHeadsTried is how many workspaces of a tier are tried if the first one's request is too long for the
// free servers.
const maxHeadsTried = 8

// grantFromTier grants a slot to the next workspace of a tier, or to another whose request fits a free
// server.
func (g *Group) grantFromTier(now time.Duration, t *tierQueue) placement {
	out := noneWaiting
	for _, it := range t.fair.Heads(maxHeadsTried) {
		switch g.tryGrant(now, it.Value) {
		case granted:
			return granted
		case noFreeSlot:
			return noFreeSlot
		default:
			out = tooSlow
		}
	}
	return out
}

// tryGrant grants a slot to a request if a server can take it.
func (g *Group) tryGrant(now time.Duration, w *queuedRequest) placement {
	b, v := g.selectBackend(now, w)
	if v == granted {
		g.grantSlot(now, w, b)
	}
	return v
}

// selectBackend filters and scores the backend servers for a request. It returns nil if none can take it
// now.
func (g *Group) selectBackend(now time.Duration, w *queuedRequest) (*backend, placement) {
	score := scorers[g.service.Policy]
	if score == nil {
		score = scoreCost
	}
	var best *backend
	minScore := 0.0
	result := noFreeSlot
	for _, name := range g.sortedNames {
		b := g.backends[name]
		if !g.canServe(now, w, b) || len(b.runs) >= b.limitFor(g.reservedPercent(w.Priority)) {
			continue
		}
		if !g.finishesInTime(now, w, b) {
			result = tooSlow
			continue
		}
		if s := score(g, &w.Request, b); best == nil || s < minScore {
			best, minScore = b, s
		}
	}
	if best != nil {
		result = granted
	}
	return best, result
}

// canServe reports whether the server could serve the request if it had a free slot.
func (g *Group) canServe(now time.Duration, w *queuedRequest, b *backend) bool {
	return b.ready(now) && (!w.Resume || b.spec.CanSuspend)
}

// finishesInTime reports whether the server would finish the request before its deadline. It keeps long
// answers off slow servers, where they would be canceled halfway and their prefill wasted.
func (g *Group) finishesInTime(now time.Duration, w *queuedRequest, b *backend) bool {
	if ignoresTiers(g.service.Policy) {
		return true
	}
	return now+fromMS(b.measuredEstimate(&w.Request, g.outputRatio)*finishMargin) <= w.Deadline
}

func (g *Group) reservedPercent(priority uint32) int {
	if ignoresTiers(g.service.Policy) {
		return 0
	}
	return g.reservePercent[priority]
}

// grantSlot reserves a slot and emits the grant.
func (g *Group) grantSlot(now time.Duration, w *queuedRequest, b *backend) {
	g.queue.serve(w)
	g.grants++
	g.start(b, &run{
		Held: Held{Key: w.Key, Attempt: w.Attempt, Backend: b.spec.Name, Workspace: w.Workspace,
			Priority: w.Priority, OutputTokens: w.OutputTokens, NonIdempotent: w.NonIdempotent},
		grantedAt: now, confirmedAt: now, uncached: b.uncached(&w.Request),
	})
	b.prefixes.add(w.Prefix)
	g.inv.Check(!b.spec.Leaving, "granted request %d a slot on leaving backend server %s", w.Key.Request, b.spec.Name)
	g.decisions = append(g.decisions, Grant{w.Key, w.Attempt, b.spec.Name, g.opt.Lease})
}

// admit refuses requests that cannot be served in time. It returns ok, or the kind of refusal and a retry
// delay.
func (g *Group) admit(now time.Duration, w *queuedRequest) (fault.Kind, time.Duration, bool) {
	if len(g.sortedNames) == 0 || !g.anyActive() {
		return fault.NoBackend, time.Second, false
	}
	if now > w.latestStart {
		return fault.DeadlineUnmeetable, 0, false
	}
	if w.Resume || ignoresTiers(g.service.Policy) {
		return "", 0, true
	}
	if w.Spilled && !g.acceptsSpill(w.Priority) {
		return fault.Overloaded, minRetryAfter, false
	}
	// Runs of a lower priority can still be preempted, so the wait is unknown and nothing is refused.
	if g.countRunningBelow(w.Priority) > 0 {
		return "", 0, true
	}
	if wait := g.estimateWait(w); g.allMeasured() && now+wait > w.latestStart {
		return fault.DeadlineUnmeetable, clampRetryAfter(wait), false
	}
	return "", 0, true
}

// acceptsSpill reports whether requests spilled from another availability zone are accepted: only if they
// start at once, on a free slot or by preemption. This keeps two zones from filling each other's queues.
func (g *Group) acceptsSpill(priority uint32) bool {
	if g.queue.hasWaitingFrom(priority) {
		return false
	}
	return g.countRunningBelow(priority) > 0 || g.totalSlots() > len(g.runs)
}

func (g *Group) anyActive() bool {
	for _, b := range g.backends {
		if !b.spec.Leaving {
			return true
		}
	}
	return false
}

// estimateWait estimates how long a request waits before it starts.
func (g *Group) estimateWait(w *queuedRequest) time.Duration {
	slots := g.totalSlots()
	if slots == 0 {
		return maxRetryAfter
	}
	return fromMS(g.queue.costAhead(w) / float64(slots))
}

// allMeasured reports whether every server in use has samples, so that estimates do not rest on initial
// values.
func (g *Group) allMeasured() bool {
	for _, b := range g.backends {
		if !b.spec.Leaving && b.samples == 0 {
			return false
		}
	}
	return true
}

func (g *Group) totalSlots() int {
	n := 0
	for _, b := range g.backends {
		if !b.spec.Leaving {
			n += b.limit()
		}
	}
	return n
}

func (g *Group) countRunningBelow(priority uint32) int {
	n := 0
	for p := uint32(0); p < priority; p++ {
		n += g.runningByPriority[p]
	}
	return n
}

// enforceQueueBound sheds the lowest-ranked requests while the queue is over its bound.
//
// A request is shed only if no run of a lower priority is left that could be preempted for it. Until then
// the queue may exceed its bound, up to a hard bound, and those runs are preempted at once instead of
// after PreemptAfter.
func (g *Group) enforceQueueBound(now time.Duration) {
	bound := max(g.opt.MinQueue, g.opt.QueuePerSlot*g.totalSlots())
	for g.queue.len() > bound {
		w := g.queue.shedCandidate()
		if ignoresTiers(g.service.Policy) {
			g.shed(now, w)
			continue
		}
		g.preemptAllBelow(now, w)
		if g.countRunningBelow(w.Priority) > 0 && g.queue.len() <= hardQueueFactor*bound {
			return
		}
		if g.countRunningBelow(w.Priority) > 0 {
			g.HardBoundSheds++
		}
		g.shed(now, w)
	}
}

func (g *Group) shed(now time.Duration, w *queuedRequest) {
	if !ignoresTiers(g.service.Policy) {
		r := g.selectVictim(now, w)
		g.inv.Check(r == nil, "shed request %d at priority %d while runs of a lower priority could be preempted", w.Key.Request, w.Priority)
	}
	wait := clampRetryAfter(g.estimateWait(w))
	g.queue.remove(w)
	g.refuse(w, fault.Overloaded, wait)
}

func (g *Group) refuse(w *queuedRequest, kind fault.Kind, after time.Duration) {
	g.decisions = append(g.decisions, Refuse{w.Key, w.Attempt, kind, after})
}

// expire refuses requests that can no longer meet their deadline, so that callers get their answer at
// once.
func (g *Group) expire(now time.Duration) {
	for g.queue.len() > 0 && g.queue.expiry.Min().latestStart < now {
		w := g.queue.expiry.Min()
		wait := clampRetryAfter(g.estimateWait(w))
		g.queue.remove(w)
		g.refuse(w, fault.DeadlineUnmeetable, wait)
	}
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Summary is the load of a group as reported to other hosts.
type Summary struct {
	Free          int
	Waiting       int
	LowestRunning int // lowest priority of the runs, -1 if there are none
}

// Summary returns the load of the group; only servers that may get requests count for free slots.
func (g *Group) Summary(now time.Duration) Summary {
	s := Summary{Waiting: g.queue.len(), LowestRunning: -1}
	for _, b := range g.backends {
		if b.ready(now) {
			s.Free += max(0, b.limit()-len(b.runs))
		}
	}
	for p, n := range g.runningByPriority {
		if n > 0 {
			s.LowestRunning = p
			break
		}
	}
	return s
}

// BackendStatus is the state of one backend server as shown to operators.
type BackendStatus struct {
	Name     string  `json:"name"`
	Zone     string  `json:"zone"`
	Addr     string  `json:"addr"`
	Leaving  bool    `json:"leaving"`
	Cooling  bool    `json:"cooling"`
	Running  int     `json:"running"`
	Window   int     `json:"window"`
	Slots    int     `json:"slots"`
	Interval float64 `json:"token_interval_ms"`
}

// Status returns the state of the servers, sorted by name.
func (g *Group) Status(now time.Duration) []BackendStatus {
	out := make([]BackendStatus, 0, len(g.sortedNames))
	for _, name := range g.sortedNames {
		b := g.backends[name]
		out = append(out, BackendStatus{name, b.spec.Zone, b.spec.Addr, b.spec.Leaving, now < b.coolUntil,
			len(b.runs), b.limit(), b.spec.Slots, b.interval})
	}
	return out
}

// suspendable reports whether runs on a backend server can be suspended.
func (g *Group) suspendable(b *backend) bool {
	return g.service.Kind == record.ServiceModel && b.spec.CanSuspend
}
