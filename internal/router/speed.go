package router

import (
	"time"

	"fireflyshift/internal/gossip/gossippb"
)

const (
	// prefillDecreaseWeight and readGrow are the weights of an observation of an engine's reading speed. Others'
	// prompts make a stream begin later, never sooner: low values are near the truth.
	prefillDecreaseWeight = 0.5
	prefillIncreaseWeight = 0.05
	// minPromptTokens is the shortest prompt, in tokens, whose first event tells the reading speed: below it
	// the rest of a step and the way there weigh more.
	minPromptTokens = 300
	// maxPrefillTime bounds what another host's word of a reading speed can do; engines here read a token in
	// tens of microseconds.
	maxPrefillTime = 10 * time.Millisecond
	// speedChangeThreshold is by how much a speed must change to be told again.
	speedChangeThreshold = 0.3
)

// speed is what is observed of an engine.
type speed struct{ interval, prefillTime time.Duration }

func (b *backend) speed() speed { return speed{b.interval, b.prefillPerToken} }

// differsFrom tells whether a speed is worth telling to those who know another.
func (s speed) differsFrom(told speed) bool {
	off := func(a, b time.Duration) bool {
		d := float64(a - b)
		return a > 0 && (d > speedChangeThreshold*float64(b) || -d > speedChangeThreshold*float64(b))
	}
	return off(s.interval, told.interval) || off(s.prefillTime, told.prefillTime)
}

// handleBegan takes the first event of a stream: its prompt is read.
func (r *Router) handleBegan(e StreamStarted) {
	q, ok := r.requests[e.ID]
	if !ok || q.backend == nil || q.prefillTokens == 0 {
		return
	}
	done := q.prefillTokens
	q.prefillDone()
	r.markLoadChanged()
	var read time.Duration
	if q.PromptTok >= minPromptTokens && !q.queued && e.First > 0 {
		read = e.First / time.Duration(q.PromptTok)
		q.backend.learnPrefillTime(read)
		r.serviceState(q.service).learnPrefill(read)
	}
	if to := r.reportTarget(q); to != "" {
		rep := q.newReport(0, -done)
		rep.ReadNs = uint32(read.Nanoseconds())
		r.sendReport(to, rep)
	}
}

// handlePaced takes the speed of a stream's first events, so that a slow engine is known before the first
// stream there has ended.
func (r *Router) handlePaced(e StreamProgress) {
	q, ok := r.requests[e.ID]
	if !ok || q.backend == nil {
		return
	}
	if q.backend.samples == 0 {
		r.serviceState(q.service).learnEventInterval(e.Interval)
	}
	q.backend.learnEventInterval(e.Interval)
}

func (b *backend) learnPrefillTime(read time.Duration) {
	b.prefillPerToken = smoothPrefillTime(b.prefillPerToken, read)
}

func smoothPrefillTime(known, seen time.Duration) time.Duration {
	switch {
	case known == 0:
		return seen
	case seen < known:
		return known - time.Duration(prefillDecreaseWeight*float64(known-seen))
	default:
		return known + time.Duration(prefillIncreaseWeight*float64(seen-known))
	}
}

// changedSpeeds are the speeds that others have not been told.
func (r *Router) changedSpeeds() []*gossippb.Speed {
	var out []*gossippb.Speed
	for _, b := range r.allBackends() {
		if b.removed || b.samples == 0 || !b.speed().differsFrom(b.reportedSpeed) {
			continue
		}
		b.reportedSpeed = b.speed()
		out = append(out, b.speedMessage())
	}
	return out
}

func (b *backend) speedMessage() *gossippb.Speed {
	return &gossippb.Speed{Backend: b.hash, IntervalUs: uint32(b.interval.Microseconds()), ReadNs: uint32(b.prefillPerToken.Nanoseconds())}
}

// applyOwnerSpeed takes the word of a backend server's owner, which hears of all requests there.
func (b *backend) applyOwnerSpeed(s *gossippb.Speed) {
	if pace := time.Duration(s.IntervalUs) * time.Microsecond; pace > 0 && pace <= maxEventInterval {
		b.interval = pace
	}
	if read := time.Duration(s.ReadNs); read > 0 && read <= maxPrefillTime {
		b.prefillPerToken = read
	}
}

// applySpeeds takes others' word of engines that this host has not observed itself.
func (r *Router) applySpeeds(list []*gossippb.Speed) {
	for _, s := range list {
		b, ok := r.byHash[s.Backend]
		if !ok {
			continue
		}
		if b.samples == 0 {
			b.interval = time.Duration(s.IntervalUs) * time.Microsecond
		}
		if read := time.Duration(s.ReadNs); b.prefillPerToken == 0 && read <= maxPrefillTime {
			b.prefillPerToken = read
		}
	}
}

// prefillBacklog is how many prompt tokens an engine is believed to have still to read. What others told is
// worked off since.
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
