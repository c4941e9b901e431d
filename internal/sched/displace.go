package sched

import "time"

// victimRetryInterval is when a run that was asked to give way, and still runs, is asked again.
const victimRetryInterval = time.Second

// displace makes room for waiting urgent work by suspending lower work, one slot for each request
// that has waited longer than DisplaceAfter.
func (g *Group) displace(now time.Duration, w *queuedRequest) {
	if ignoresTiers(g.service.Policy) || now-w.arrived < g.opt.DisplaceAfter {
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

// pendingSlots counts the slots that preemptions under way will free for a priority. One that stays
// unanswered no longer counts: its entry host may be dead or paused.
func (g *Group) pendingSlots(now time.Duration, priority uint32) int {
	n := 0
	for _, b := range g.backends {
		for _, r := range b.runs {
			if r.displacing && r.Priority < priority && now-r.preemptedAt < g.opt.PreemptTimeout {
				n++
			}
		}
	}
	return n
}

// displaceAllBelow suspends every lower run on a server that could serve the request.
func (g *Group) displaceAllBelow(now time.Duration, w *queuedRequest) {
	for r := g.selectVictim(now, w); r != nil; r = g.selectVictim(now, w) {
		g.preempt(now, r)
	}
}

func (g *Group) preempt(now time.Duration, r *run) {
	r.displacing, r.preemptedAt = true, now
	g.decisions = append(g.decisions, Preempt{r.Key, r.Attempt})
}

// selectVictim picks the victim for a waiting request, nil if there is none.
func (g *Group) selectVictim(now time.Duration, w *queuedRequest) *run {
	var victim *run
	for _, name := range g.sortedNames {
		b := g.backends[name]
		if !g.suspendable(b) || !g.canServe(now, w, b) {
			continue
		}
		for _, r := range b.runs {
			asked := r.displacing && now-r.preemptedAt < victimRetryInterval
			if asked || r.Priority >= w.Priority || r.orphanedAt > 0 {
				continue
			}
			if victim == nil || betterVictim(r, victim) {
				victim = r
			}
		}
	}
	return victim
}

// betterVictim prefers the lowest tier, then idempotent work, then the most left to do, then the
// latest start; the key breaks ties so that the choice replays.
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
