package pace

import "time"

const (
	// workTolerance is the relative decrease of the work per second that is attributed to errors of the estimates. A smaller one
	// limits engines that are only slower for parts of a second, and leaves slots unused.
	workTolerance = 0.15
)

// MinLimit returns the least limit of an engine, half of its slots: wrong estimates may cost the other half.
func MinLimit(slots int) int { return max(1, slots/2) }

// Limit returns the most requests that the engine should hold: the learned limit or, during a trial, one more or fewer. A limit below
// the slots is tried one higher, so that a wrong estimate is corrected. If the engine is always full, so that nothing shows whether
// the last request adds to its work, one fewer is tried. longestPause is the longest interval that the streams' callers accept;
// zero if there is no bound.
func (c *Curve) Limit(now time.Duration, slots int, longestPause time.Duration) int {
	slots = max(1, slots)
	learned := c.Learned(now, slots, longestPause)
	switch {
	case learned < slots:
		return c.trial.hold(now, learned, learned+1, c.trialDuration())
	case c.onlyFull(now, slots):
		return c.trial.hold(now, slots, slots-1, c.trialDuration())
	}
	c.trial = trial{}
	return slots
}

// onlyFull reports whether the engine was observed with all slots taken but not with one fewer.
func (c *Curve) onlyFull(now time.Duration, slots int) bool {
	if slots <= 1 {
		return false
	}
	_, full := c.own(now, slots)
	_, fewer := c.Interval(now, slots-1)
	return full && !fewer
}

// Learned returns the greatest number of requests up to which the event interval is within longestPause and each further request
// adds to the work per second: the slots while too little is known, and at least half of them.
func (c *Curve) Learned(now time.Duration, slots int, longestPause time.Duration) int {
	slots = max(1, slots)
	observed := min(slots, len(c.estimates))
	for n := MinLimit(slots); n < observed; n++ {
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
