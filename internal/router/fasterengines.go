package router

import (
	"time"

	"fireflyshift/internal/admission"
	"fireflyshift/internal/routing"
)

// maxFasterEngineWait is how long a free slot may be kept from a request that would miss its target latency there. A longer wait
// would leave slots idle while callers wait.
const maxFasterEngineWait = 100 * time.Millisecond

// awaitsFasterEngine reports whether a queued stream should wait for another slot than the selected one: the engine prefills so slowly
// that the stream would miss its target latency there, and a faster one can still meet it. Other requests may take the slot. One whose
// patience ends within maxFasterEngineWait does not wait: it would be refused while the slot is free.
func (r *Router) awaitsFasterEngine(a *admission.Request, w *waitingRequest, c selection) bool {
	if !r.opt.Balancing.LearnedLimits || w.q.Route.Kind != routing.Streaming {
		return false
	}
	// A free slot is compared with the waiting requests again within misfitInterval.
	if r.now-w.since >= maxFasterEngineWait-misfitInterval || a.PatienceEnds-w.since <= maxFasterEngineWait || r.now > a.OnTimeBy {
		return false
	}
	s := r.newSelector(w.q, scopeOwned)
	prefill := time.Duration(c.backend.prefillBacklog(r.now)+w.q.PromptTok) * s.prefillPerToken(c.backend)
	return r.now+prefill > a.OnTimeBy+r.expectedPrefill(w.q)
}

// newAwaitsFasterEngine is awaitsFasterEngine for a request that does not wait yet. One that the queue would refuse takes the slot.
func (r *Router) newAwaitsFasterEngine(s *serviceQueue, a *admission.Request, w *waitingRequest, c selection) bool {
	if !r.awaitsFasterEngine(a, w, c) || !r.mayWaitHere(w) {
		return false
	}
	r.setRoom(s, w.q.service)
	return s.queue.HasPlace(r.now, *a)
}
