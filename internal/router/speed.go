package router

import (
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/pace"
)

const (
	// prefillDecreaseWeight and prefillIncreaseWeight are the weights of a new prefill time sample below and above the
	// estimate. Other prompts can only delay a stream's first event, so low samples are closer to the true value.
	prefillDecreaseWeight = 0.5
	prefillIncreaseWeight = 0.05
	// minPromptTokens is the shortest prompt whose time to first event is used as a prefill sample. With shorter
	// ones, network latency and the rest of a decoding step dominate.
	minPromptTokens = 300
	// maxPrefillPerToken limits the prefill time per token accepted from other hosts. Engines need tens of microseconds.
	maxPrefillPerToken = 10 * time.Millisecond
	// speedChangeThreshold is the relative change of a speed that is reported to other hosts.
	speedChangeThreshold = pace.SpeedChange
	// progressEvents is the number of event intervals that are measured for StreamProgress.
	progressEvents = 5
)

// speed is the observed speed of an engine: the interval between events and the prefill time per prompt token.
type speed struct{ interval, prefillPerToken time.Duration }

func (b *backend) speed() speed { return speed{b.interval, b.prefillPerToken} }

// differsFrom reports whether a speed differs enough from the one last reported to be reported again.
func (s speed) differsFrom(reported speed) bool {
	changed := func(a, b time.Duration) bool {
		d := float64(a - b)
		return a > 0 && (d > speedChangeThreshold*float64(b) || -d > speedChangeThreshold*float64(b))
	}
	return changed(s.interval, reported.interval) || changed(s.prefillPerToken, reported.prefillPerToken)
}

// handleStreamStarted processes the first event of a stream: its prompt has been prefilled.
func (r *Router) handleStreamStarted(e StreamStarted) {
	q, ok := r.requests[e.ID]
	if !ok || q.backend == nil {
		return
	}
	r.requestAdmitted(q)
	q.begun = true
	r.bindStarted(q)
	r.heard(q.backend)
	if q.prefillTokens == 0 {
		return
	}
	prefilled := q.prefillTokens
	q.prefillDone()
	r.markLoadChanged()
	var perToken time.Duration
	if q.PromptTok >= minPromptTokens && !q.queued && e.First > 0 && !r.ownPathLost(q) {
		perToken = e.First / time.Duration(q.PromptTok)
		q.backend.learnPrefill(perToken)
		r.serviceState(q.service).learnPrefill(perToken)
	}
	if to := r.reportTarget(q); to != "" {
		rep := q.newReport(q.backend, 0, -prefilled)
		rep.ReadNs, rep.AgeMs = uint32(perToken.Nanoseconds()), uint32((r.now - q.sentAt).Milliseconds())
		r.sendReport(to, rep)
	}
}

// handleStreamProgress applies the interval between a stream's first events, so that a slow engine is detected before its
// first stream ends.
func (r *Router) handleStreamProgress(e StreamProgress) {
	q, ok := r.requests[e.ID]
	if !ok || q.backend == nil {
		return
	}
	r.heard(q.backend)
	if q.backend.samples == 0 {
		r.serviceState(q.service).learnEventInterval(e.Interval)
	}
	q.backend.learnEventInterval(e.Interval)
	if !r.ownPathLost(q) {
		r.observePace(q.backend, e.Interval, progressEvents)
	}
}

func (b *backend) learnPrefill(perToken time.Duration) {
	b.prefillPerToken = smoothPrefill(b.prefillPerToken, perToken)
}

func smoothPrefill(known, seen time.Duration) time.Duration {
	switch {
	case known == 0:
		return seen
	case seen < known:
		return known - time.Duration(prefillDecreaseWeight*float64(known-seen))
	default:
		return known + time.Duration(prefillIncreaseWeight*float64(seen-known))
	}
}

// changedSpeeds returns the speeds that differ from those last reported to other hosts.
func (r *Router) changedSpeeds() []*gossippb.Speed {
	var out []*gossippb.Speed
	for _, b := range r.allBackends() {
		if b.removed || b.samples == 0 || !b.speed().differsFrom(b.reportedSpeed) {
			continue
		}
		b.reportedSpeed = b.speed()
		out = append(out, b.speedToProto())
	}
	return out
}

func (b *backend) speedToProto() *gossippb.Speed {
	return &gossippb.Speed{Backend: b.hash, IntervalUs: uint32(b.interval.Microseconds()), ReadNs: uint32(b.prefillPerToken.Nanoseconds())}
}

// applyOwnerSpeed applies the speed reported by a backend server's owner, which gets reports of all requests there.
func (b *backend) applyOwnerSpeed(s *gossippb.Speed) {
	if interval := time.Duration(s.IntervalUs) * time.Microsecond; interval > 0 && interval <= maxEventInterval {
		b.interval = interval
	}
	if perToken := time.Duration(s.ReadNs); perToken > 0 && perToken <= maxPrefillPerToken {
		b.prefillPerToken = perToken
	}
}

// applySpeeds applies other hosts' speeds of engines that this host has not observed itself.
func (r *Router) applySpeeds(list []*gossippb.Speed) {
	for _, s := range list {
		b, ok := r.byHash[s.Backend]
		if !ok {
			continue
		}
		if b.samples == 0 {
			b.interval = time.Duration(s.IntervalUs) * time.Microsecond
		}
		if perToken := time.Duration(s.ReadNs); b.prefillPerToken == 0 && perToken <= maxPrefillPerToken {
			b.prefillPerToken = perToken
		}
	}
}

// prefillBacklog estimates the prompt tokens an engine has yet to process. The part reported by other hosts shrinks
// with the time since the report.
func (b *backend) prefillBacklog(now time.Duration) int {
	others, at := b.othersLoad.prefillBacklog, b.othersReportedAt
	if b.useOwnerReport {
		others, at = b.ownerLoad.prefillBacklog, b.ownerReportedAt
	}
	if others > 0 && b.prefillPerToken > 0 {
		others = max(0, others-int((now-at)/b.prefillPerToken))
	}
	return b.ownLoad.prefillBacklog + others
}
