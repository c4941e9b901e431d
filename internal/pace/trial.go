package pace

import "time"

const (
	// trialInterval is the time until a number of requests other than the limit is tried, which doubles up to maxTrialInterval while
	// trials confirm the limit. After a trial that has raised it, the next one follows after trialSuccessInterval.
	trialInterval        = 5 * time.Second
	maxTrialInterval     = 40 * time.Second
	trialSuccessInterval = time.Second
	// trialStreams is the length of a trial in usual streams: those that begin with it are to end in it. minTrial and maxTrial bound
	// it. It ends early when the engine has been observed sufficiently.
	trialStreams = 2
	minTrial     = 300 * time.Millisecond
	maxTrial     = 4 * time.Second
	// lengthRate is the weight of a new stream in the usual length.
	lengthRate = 0.1
)

// trial decides when a number of requests other than the limit is tried.
type trial struct {
	limit int           // the learned limit, zero if nothing is to be tried
	other int           // what is tried instead
	at    time.Duration // when the next trial begins
	until time.Duration // when the present one ends; zero if there is none
	wait  time.Duration // until the next trial after one that has changed nothing
	seen  int           // observations at the other number during the trial
}

// hold returns the limit, or the other number during a trial.
func (t *trial) hold(now time.Duration, limit, other int, lasts time.Duration) int {
	switch {
	case t.limit > 0 && limit == t.limit+1 && other > limit:
		*t = trial{limit: limit, other: other, at: now + trialSuccessInterval, wait: trialInterval}
	case limit != t.limit || other != t.other:
		*t = trial{limit: limit, other: other, at: now + trialInterval, wait: trialInterval}
	case t.until > 0 && (now >= t.until || t.seen >= minObservations):
		t.end(now)
	}
	if now < t.at {
		return limit
	}
	if t.until == 0 {
		t.until = now + lasts
	}
	return other
}

// end ends a trial that has not changed the limit.
func (t *trial) end(now time.Duration) {
	if t.seen > 0 {
		t.wait = min(2*t.wait, maxTrialInterval)
	}
	t.at, t.until, t.seen = now+t.wait, 0, 0
}

// observed counts an observation that belongs to the present trial, and reports whether it is the first.
func (t *trial) observed(now time.Duration, held int) bool {
	if t.until == 0 || now >= t.until || held != t.other {
		return false
	}
	t.seen++
	return t.seen == 1
}

// trialDuration is the longest time of a trial.
func (c *Curve) trialDuration() time.Duration {
	return min(max(minTrial, trialStreams*c.length), maxTrial)
}

// learnLength adds the duration of a stream to the usual length.
func (c *Curve) learnLength(d time.Duration) {
	if c.length == 0 {
		c.length = d
		return
	}
	c.length += time.Duration(lengthRate * float64(d-c.length))
}
