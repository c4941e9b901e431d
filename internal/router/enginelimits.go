package router

import (
	"fmt"
	"time"

	"fireflyshift/internal/pace"
	"fireflyshift/internal/routing"
)

// minLimitNoteInterval is the shortest time between two log lines on the learned limit of one engine. Trials and changes of speed can
// change it several times a second.
const minLimitNoteInterval = time.Second

// staleCountMargin is the part of an engine's limit that stays free where hosts decide by each other's heartbeats: two of them take
// its last slot at once more often than not under load.
const staleCountMargin = 1

// learnedPace is what this host has learned of the pace of one engine. It belongs to one start of the engine.
type learnedPace struct {
	curve pace.Curve
	held  pace.Occupancy
	// noted is the limit that was last logged and counted, zero if it was the slots, and notedAt when that was.
	noted   int
	notedAt time.Duration
}

// LimitCounts counts how often learned limits have changed since this host started.
type LimitCounts struct {
	Lowered, Raised int
}

// pauseBounds are the longest pauses that the streams of each service accept, of one configuration.
type pauseBounds struct {
	table     *routing.Table
	byService map[string]time.Duration
}

// longestPause returns the longest pause that all streams of a service accept, the shortest of its routes' longest gaps; zero if no
// route bounds it. The streams of all routes share the engines, so the strictest route decides.
func (r *Router) longestPause(service string) time.Duration {
	if r.table == nil {
		return 0
	}
	if r.pauses.table != r.table {
		r.pauses = pauseBounds{r.table, pausesOf(r.table.Config)}
	}
	return r.pauses.byService[service]
}

func pausesOf(c *routing.Config) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, route := range c.Routes {
		if route.Kind != routing.Streaming || route.MaxGap <= 0 {
			continue
		}
		for _, s := range route.Shares {
			if known, ok := out[s.Service]; s.Weight > 0 && (!ok || route.MaxGap < known) {
				out[s.Service] = route.MaxGap
			}
		}
	}
	return out
}

// paceOf returns what this host has learned of an engine's pace, or nil if it does not learn it. If backend servers have owners, only
// the owner learns: it counts the requests of all hosts and gets reports of them. A cold engine is limited by its rate, and what it
// shows does not hold afterwards.
func (r *Router) paceOf(b *backend) *learnedPace {
	if !r.opt.Balancing.LearnedLimits || b.cold(r.now) || r.usesOwners() && !r.owns(b) {
		b.pace = nil
		return nil
	}
	if s := r.serviceConfig(b); s == nil || !s.Model {
		return nil
	}
	if b.pace == nil {
		b.pace = &learnedPace{}
	}
	return b.pace
}

// observePace adds the mean interval of a stream's latest events to what is known of its engine.
func (r *Router) observePace(b *backend, interval time.Duration, events int) {
	p := r.paceOf(b)
	if p == nil || interval <= 0 || events < 1 {
		return
	}
	held, ok := p.held.Mean(r.now-time.Duration(min(events, maxEvents))*interval, r.now)
	if !ok {
		return
	}
	// Requests beyond the slots wait in the engine's own queue.
	p.curve.Observe(r.now, min(int(held+0.5), max(1, b.Slots)), interval, events)
}

// slotLimit returns the number of an engine's slots that are to be used: its learned limit, or all of them.
func (r *Router) slotLimit(b *backend) int {
	slots := max(1, b.Slots)
	p := r.paceOf(b)
	if p == nil {
		return slots
	}
	return p.curve.Limit(r.now, slots, r.longestPause(b.Service))
}

// capBySlotLimit lowers a limit on the requests at an engine to its learned limit. Beyond that no request waits in the engine's own
// queue: the engine would start it. Trials leave no margin: with it, no engine would hold the number of requests that is tried.
func (r *Router) capBySlotLimit(b *backend, limit int) int {
	learned := r.slotLimit(b)
	if learned >= max(1, b.Slots) {
		return limit
	}
	if !r.usesOwners() && r.hostCount() > 1 && learned == r.learnedLimit(b) {
		learned = max(pace.MinLimit(b.Slots), learned-staleCountMargin)
	}
	return min(limit, learned)
}

// sampleOccupancy records how many requests the engines hold whose pace this host learns, and logs changes of their limits.
func (r *Router) sampleOccupancy() {
	if !r.opt.Balancing.LearnedLimits {
		return
	}
	for _, b := range r.observedBackends() {
		if p := r.paceOf(b); p != nil {
			p.held.Note(r.now, b.inFlight())
			r.noteLimit(b, p)
		}
	}
}

func (r *Router) observedBackends() []*backend {
	if r.usesOwners() {
		return r.owned()
	}
	return r.allBackends()
}

// noteLimit logs and counts a change of a learned limit.
func (r *Router) noteLimit(b *backend, p *learnedPace) {
	learned := r.learnedLimit(b)
	if learned == p.noted || p.notedAt > 0 && r.now-p.notedAt < minLimitNoteInterval {
		return
	}
	if learned > 0 && (p.noted == 0 || learned < p.noted) {
		r.limitCounts.Lowered++
	} else {
		r.limitCounts.Raised++
	}
	p.noted, p.notedAt = learned, r.now
	what := "learned limit"
	if learned == 0 {
		what = "learned limit lifted"
	}
	interval, _ := p.curve.Interval(r.now, learned)
	above, _ := p.curve.Interval(r.now, learned+1)
	r.emit(Note{What: what, Subject: b.ID, Detail: fmt.Sprintf("limit=%d slots=%d interval=%s one_more=%s longest_pause=%s",
		learned, b.Slots, interval.Round(time.Microsecond), above.Round(time.Microsecond), r.longestPause(b.Service))})
}

// learnedLimit returns an engine's learned limit, zero if there is none below its slots.
func (r *Router) learnedLimit(b *backend) int {
	p := b.pace
	if p == nil {
		return 0
	}
	slots := max(1, b.Slots)
	if n := p.curve.Learned(r.now, slots, r.longestPause(b.Service)); n < slots {
		return n
	}
	return 0
}

// promptDelay returns by how much a prompt delays the other streams at an engine together: each by the time to prefill it, if that is
// a longer pause than their callers accept.
func (s *selector) promptDelay(b *backend, held int) time.Duration {
	if !s.r.opt.Balancing.LearnedLimits || s.q.Route.Kind != routing.Streaming || s.q.PromptTok == 0 {
		return 0
	}
	prefill := time.Duration(s.q.PromptTok) * s.prefillPerToken(b)
	if longest := s.r.longestPause(b.Service); longest == 0 || prefill <= longest {
		return 0
	}
	return time.Duration(held) * prefill
}

// prefillPerToken returns the learned time to prefill a prompt token at a backend server, or the service's mean if unknown.
func (s *selector) prefillPerToken(b *backend) time.Duration {
	if b.prefillPerToken > 0 {
		return b.prefillPerToken
	}
	return s.svc.expectedPrefillPerToken()
}
