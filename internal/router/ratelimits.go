package router

import (
	"math"
	"strconv"
	"time"
)

// rateLimit is the rate that a backend server accepts from all hosts together, as stated in an answer.
type rateLimit struct {
	// perSecond is in requests per second; +Inf once it states no limit any more.
	perSecond float64
	// The statement was made between sentAt, when the answered request was sent, and heardAt, when the answer was received.
	sentAt, heardAt time.Duration
	// since is when a limit was first stated, and sent is the number of requests that this host has sent since.
	since time.Duration
	sent  int
}

// rateLimited reports whether the backend server states a rate limit.
func (b *backend) rateLimited() bool {
	return b.rateLimit != nil && !math.IsInf(b.rateLimit.perSecond, 1)
}

// observeRateLimit applies a statement of a backend server, received by the host source.
func (r *Router) observeRateLimit(b *backend, seen rateLimit, source string) {
	known := b.rateLimit
	if known == nil && math.IsInf(seen.perSecond, 1) {
		return
	}
	seen.since = seen.heardAt
	if b.rateLimited() {
		seen.since, seen.sent = known.since, known.sent
	}
	b.rateLimit = &seen
	switch {
	case known != nil && known.perSecond == seen.perSecond:
	case math.IsInf(seen.perSecond, 1):
		r.emit(Note{What: "backend server states no rate limit any more", Subject: b.ID, Detail: source, Age: r.now - seen.heardAt})
	default:
		r.emit(Note{What: "backend server states a rate limit", Subject: b.ID,
			Detail: source + " per_second=" + strconv.FormatFloat(seen.perSecond, 'g', -1, 64), Age: r.now - seen.heardAt})
	}
}

// rateLimitView returns a backend server's rate limit for operators, or nil if it states none.
func (r *Router) rateLimitView(b *backend) *RateLimitView {
	if !b.rateLimited() {
		return nil
	}
	return &RateLimitView{PerSecond: b.rateLimit.perSecond, Since: b.rateLimit.since, Sent: b.rateLimit.sent}
}
