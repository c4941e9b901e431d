package sched

import "time"

// victimRetryInterval is when a preempted run that still runs may be preempted again.
const victimRetryInterval = time.Second

// preemptFor preempts runs of a lower priority, one for each waiting request of w's priority, once w has
// waited for PreemptAfter.
func (g *Group) preemptFor(now time.Duration, w *queuedRequest) {
	if ignoresTiers(g.service.Policy) || now-w.arrived < g.opt.PreemptAfter {
		return
	}
	wanted := g.queue.countAt(w.Priority)
	for g.pendingSlots(now, w.Priority) < wanted {
		victim := g.selectVictim(now, w)
		if victim == nil {
			return
		}
		g.preempt(now, victim)
	}
}

// pendingSlots counts the slots that pending preemptions will free for a priority. A preemption that stays
// unanswered no longer counts after PreemptTimeout: the entry host may be dead or paused.
func (g *Group) pendingSlots(now time.Duration, priority uint32) int {
	n := 0
	for _, b := range g.backends {
		for _, r := range b.runs {
			if r.preempting && r.Priority < priority && now-r.preemptedAt < g.opt.PreemptTimeout {
				n++
			}
		}
	}
	return n
}

// preemptAllBelow preempts every run of a lower priority on a server that could serve the request.
func (g *Group) preemptAllBelow(now time.Duration, w *queuedRequest) {
	for r := g.selectVictim(now, w); r != nil; r = g.selectVictim(now, w) {
		g.preempt(now, r)
	}
}

func (g *Group) preempt(now time.Duration, r *run) {
	r.preempting, r.preemptedAt = true, now
	g.decisions = append(g.decisions, Preempt{r.Key, r.Attempt})
}

// selectVictim selects the run to preempt for a waiting request, nil if there is none.
func (g *Group) selectVictim(now time.Duration, w *queuedRequest) *run {
	var victim *run
	for _, name := range g.sortedNames {
		b := g.backends[name]
		if !g.suspendable(b) || !g.canServe(now, w, b) {
			continue
		}
		for _, r := range b.runs {
			pending := r.preempting && now-r.preemptedAt < victimRetryInterval
			if pending || r.Priority >= w.Priority || r.orphanedAt > 0 {
				continue
			}
			if victim == nil || betterVictim(r, victim) {
				victim = r
			}
		}
	}
	return victim
}

// betterVictim prefers the lowest priority, then idempotent requests, then the largest output limit, then
// the latest start. The key breaks ties, so that the choice is deterministic.
func betterVictim(a, b *run) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.NonIdempotent != b.NonIdempotent {
		return !a.NonIdempotent
	}
	if a.OutputTokens != b.OutputTokens {
		return a.OutputTokens > b.OutputTokens
	}
	if a.grantedAt != b.grantedAt {
		return a.grantedAt > b.grantedAt
	}
	return a.Key.Less(b.Key)
}
