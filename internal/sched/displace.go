package sched

import "time"

// askVictimAgain is when a run that was asked to give way, and still runs, is asked again.
const askVictimAgain = time.Second

// displace makes room for waiting urgent work by suspending lower work, one slot for each request
// that has waited longer than DisplaceAfter.
func (g *Group) displace(now time.Duration, w *waiting) {
	if ignoresTiers(g.service.Policy) || now-w.arrived < g.opt.DisplaceAfter {
		return
	}
	wanted := g.queue.countAt(w.Priority)
	for g.coming(now, w.Priority) < wanted {
		victim := g.displaceable(now, w)
		if victim == nil {
			return
		}
		g.preempt(now, victim)
	}
}

// coming counts the slots that preemptions under way will free for a priority. One that stays
// unanswered no longer counts: its entry host may be dead or paused.
func (g *Group) coming(now time.Duration, priority uint32) int {
	n := 0
	for _, b := range g.backends {
		for _, r := range b.runs {
			if r.displacing && r.Priority < priority && now-r.preempted < g.opt.PreemptAgain {
				n++
			}
		}
	}
	return n
}

// displaceAllBelow suspends every lower run on a server that could serve the request.
func (g *Group) displaceAllBelow(now time.Duration, w *waiting) {
	for r := g.displaceable(now, w); r != nil; r = g.displaceable(now, w) {
		g.preempt(now, r)
	}
}

func (g *Group) preempt(now time.Duration, r *run) {
	r.displacing, r.preempted = true, now
	g.out = append(g.out, Preempt{r.Key, r.Attempt})
}

// displaceable picks the victim for a waiting request, nil if there is none.
func (g *Group) displaceable(now time.Duration, w *waiting) *run {
	var victim *run
	for _, name := range g.order {
		b := g.backends[name]
		if !g.suspendable(b) || !g.able(now, w, b) {
			continue
		}
		for _, r := range b.runs {
			asked := r.displacing && now-r.preempted < askVictimAgain
			if asked || r.Priority >= w.Priority || r.orphanAt > 0 {
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
	if a.granted != b.granted {
		return a.granted > b.granted
	}
	return a.Key.Less(b.Key)
}
