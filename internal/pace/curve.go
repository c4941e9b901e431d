// Package pace learns how the event interval of a model engine depends on the number of requests that it holds, and derives the
// number that it should hold. It is pure: time is an argument.
package pace

import (
	"math"
	"time"
)

const (
	// SpeedChange is the relative change of an engine's speed from which on earlier observations do not describe it any more.
	SpeedChange = 0.3

	// estimateTTL is how long an estimate counts without an observation near it.
	estimateTTL = 10 * time.Second
	// halfLife is the time in which the weight of an observation halves.
	halfLife = 2 * time.Second
	// minObservations is the number of observations of which an estimate consists at least.
	minObservations = 3
	// settledObservations is the number of observations from which on an estimate decides whether another one is an outlier.
	settledObservations = 6
	// settledFor is how long it does so after its latest observation.
	settledFor = 2 * time.Second
	// changeDuration is how long all observations must deviate until the speed has changed. Engines are slower for parts of a second.
	changeDuration = time.Second
	// fadedWeight is the weight in events that is left of an estimate when it is tried whether it still holds.
	fadedWeight = 1
	// maxHeld and maxEvents limit what one observation may state, so that memory is bounded and no stream outweighs all others.
	maxHeld   = 1024
	maxEvents = 100
)

// Curve is the event interval of one engine by the number of requests that it holds. The zero value knows nothing.
type Curve struct {
	// estimates are by the number of requests held, less one.
	estimates []estimate
	deviation deviation
	trial     trial
	length    time.Duration // of the streams lately observed
}

// estimate is the event interval at one number of requests: a mean weighted by events, in which older observations count less.
type estimate struct {
	sum    float64 // of interval x events, in nanoseconds
	weight float64 // events
	count  int     // observations
	at     time.Duration
}

func (e *estimate) known() bool { return e.count >= minObservations }

func (e *estimate) interval() time.Duration { return time.Duration(e.sum / e.weight) }

func (e *estimate) add(now, interval time.Duration, events int) {
	decay := math.Exp2(-float64(now-e.at) / float64(halfLife))
	w := float64(min(events, maxEvents))
	e.sum = e.sum*decay + float64(interval)*w
	e.weight = e.weight*decay + w
	e.count++
	e.at = now
}

// fade lets the next observation decide almost alone.
func (e *estimate) fade() {
	if e.weight > fadedWeight {
		e.sum *= fadedWeight / e.weight
		e.weight = fadedWeight
	}
}

// deviation is a run of observations that differ from their estimates in the same direction by more than SpeedChange.
type deviation struct {
	direction   int // 1 if the engine seems slower, -1 if it seems faster, 0 if there is no run
	since, last time.Duration
}

// Observe adds the mean interval between the events of a stream, during which the engine held so many requests. An observation that
// differs much from its estimate is left out until such observations have lasted; then all estimates are discarded.
func (c *Curve) Observe(now time.Duration, held int, interval time.Duration, events int) {
	if held < 1 || interval <= 0 || events < 1 {
		return
	}
	held = min(held, maxHeld)
	c.discard(now)
	for len(c.estimates) < held {
		c.estimates = append(c.estimates, estimate{})
	}
	if c.trial.observed(now, held) {
		c.estimates[held-1].fade()
	}
	c.learnLength(time.Duration(min(events, maxEvents)) * interval)
	if c.isOutlier(now, &c.estimates[held-1], interval) {
		return
	}
	// The estimates may be new ones by now.
	c.estimates[held-1].add(now, interval, events)
}

// isOutlier reports whether an observation is to be left out. It discards all estimates if the engine's speed has changed.
func (c *Curve) isOutlier(now time.Duration, e *estimate, interval time.Duration) bool {
	if e.count < settledObservations || now-e.at > settledFor {
		return false
	}
	d := &c.deviation
	direction := compare(interval, e.interval())
	switch {
	case direction == 0:
		*d = deviation{}
		return false
	case direction != d.direction || now-d.last > changeDuration:
		*d = deviation{direction, now, now}
		return true
	case now-d.since < changeDuration:
		d.last = now
		return true
	}
	clear(c.estimates)
	c.deviation = deviation{}
	return false
}

// compare returns 1 if an interval is longer than another one by more than SpeedChange, -1 if it is shorter by more, and otherwise 0.
func compare(interval, known time.Duration) int {
	switch {
	case float64(interval) > (1+SpeedChange)*float64(known):
		return 1
	case float64(interval)*(1+SpeedChange) < float64(known):
		return -1
	default:
		return 0
	}
}

// discard removes the estimates that are older than estimateTTL, as are those next to them.
func (c *Curve) discard(now time.Duration) {
	for i := range c.estimates {
		if !c.current(now, i) {
			c.estimates[i] = estimate{}
		}
	}
}

// current reports whether there was an observation near an estimate within estimateTTL.
func (c *Curve) current(now time.Duration, i int) bool {
	for _, near := range c.estimates[max(0, i-1):min(len(c.estimates), i+2)] {
		if near.count > 0 && now-near.at <= estimateTTL {
			return true
		}
	}
	return false
}

// own returns the estimate for a number of requests that was observed itself.
func (c *Curve) own(now time.Duration, held int) (time.Duration, bool) {
	if held < 1 || held > len(c.estimates) {
		return 0, false
	}
	e := &c.estimates[held-1]
	if !e.known() || !c.current(now, held-1) {
		return 0, false
	}
	return e.interval(), true
}

// Interval returns the event interval while the engine holds so many requests. If that was not observed, it is interpolated between
// the next lower and the next higher number that were; without both it is unknown.
func (c *Curve) Interval(now time.Duration, held int) (time.Duration, bool) {
	if t, ok := c.own(now, held); ok {
		return t, true
	}
	below, low := c.nearest(now, held, -1)
	above, high := c.nearest(now, held, 1)
	if below == 0 || above == 0 {
		return 0, false
	}
	part := float64(held-below) / float64(above-below)
	return low + time.Duration(part*float64(high-low)), true
}

// nearest returns the closest number of requests in one direction that was observed, and its interval; zero if there is none.
func (c *Curve) nearest(now time.Duration, held, step int) (int, time.Duration) {
	for n := held + step; n >= 1 && n <= len(c.estimates); n += step {
		if t, ok := c.own(now, n); ok {
			return n, t
		}
	}
	return 0, 0
}

// Reset discards all that is known, as after a new start of the engine.
func (c *Curve) Reset() { *c = Curve{} }
