package pace

import "time"

const (
	// workTolerance is the relative decrease of the work per second that is not told apart from errors of the estimates.
	workTolerance = 0.05
	// minLimitDivisor determines the least limit, half of the slots: what wrong estimates may cost.
	minLimitDivisor = 2

	// probeInterval is the time until a limit below the slots is raised by one on trial, which doubles up to maxProbeInterval while
	// trials confirm the limit. After a trial that has raised it, the next one follows after probeSuccessInterval.
	probeInterval        = 5 * time.Second
	maxProbeInterval     = 40 * time.Second
	probeSuccessInterval = time.Second
	// probeDuration is the longest time of a trial. It ends early when the engine has been observed sufficiently.
	probeDuration = time.Second
)

// Limit returns the most requests that the engine should hold, which is the learned limit or, during a trial, one more.
// longestPause is the longest interval that the streams' callers accept; zero if there is no bound.
func (c *Curve) Limit(now time.Duration, slots int, longestPause time.Duration) int {
	slots = max(1, slots)
	return c.probe.raise(now, c.Learned(now, slots, longestPause), slots)
}

// Learned returns the greatest number of requests up to which the event interval is within longestPause and each further request
// adds to the work per second: the slots while too little is known, and at least half of them.
func (c *Curve) Learned(now time.Duration, slots int, longestPause time.Duration) int {
	slots = max(1, slots)
	for n := max(1, slots/minLimitDivisor); n < slots; n++ {
		if c.tooMany(now, n+1, longestPause) {
			return n
		}
	}
	return slots
}

// tooMany reports whether the engine is observed to be too slow with so many requests.
func (c *Curve) tooMany(now time.Duration, held int, longestPause time.Duration) bool {
	interval, ok := c.own(now, held)
	if !ok {
		return false
	}
	if longestPause > 0 && interval > longestPause {
		return true
	}
	fewer, ok := c.Interval(now, held-1)
	return ok && work(held, interval) < (1-workTolerance)*work(held-1, fewer)
}

// work returns the events per nanosecond of all streams together.
func work(held int, interval time.Duration) float64 { return float64(held) / float64(interval) }

// probe decides when a limit is raised by one on trial.
type probe struct {
	limit int           // the learned limit, zero if it is the slots
	at    time.Duration // when the next trial begins
	until time.Duration // when the present one ends; zero if there is none
	wait  time.Duration // until the next trial after a failed one
	seen  int           // observations above the limit during the trial
}

// raise returns the learned limit, or one more during a trial.
func (p *probe) raise(now time.Duration, learned, slots int) int {
	if learned >= slots {
		*p = probe{}
		return slots
	}
	switch {
	case p.limit == 0 || learned < p.limit:
		*p = probe{limit: learned, at: now + probeInterval, wait: probeInterval}
	case learned > p.limit:
		*p = probe{limit: learned, at: now + probeSuccessInterval, wait: probeInterval}
	case p.until > 0 && (now >= p.until || p.seen >= minObservations):
		p.end(now)
	}
	if now < p.at {
		return learned
	}
	if p.until == 0 {
		p.until = now + probeDuration
	}
	return learned + 1
}

// end ends a trial that has not raised the limit.
func (p *probe) end(now time.Duration) {
	if p.seen > 0 {
		p.wait = min(2*p.wait, maxProbeInterval)
	}
	p.at, p.until, p.seen = now+p.wait, 0, 0
}

// observed counts an observation that belongs to the present trial.
func (p *probe) observed(now time.Duration, held int) {
	if p.until > 0 && now < p.until && held > p.limit {
		p.seen++
	}
}
