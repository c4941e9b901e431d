package admission

import (
	"math"
	"time"
)

const (
	// minSmoothing is the shortest time over which rates are smoothed. Waves of demand last seconds, so a longer time would let
	// too many requests wait before a wave is noticed.
	minSmoothing = time.Second
	// maxSmoothing limits it for services with few slots and long answers.
	maxSmoothing = 30 * time.Second
	// smoothedGrants is the number of grants that a rate must span. With fewer, one long request would look like an overload.
	smoothedGrants = 8
)

// smoothing returns the time constant of all rates of a service with a number of slots.
func smoothing(slots int, service time.Duration) time.Duration {
	interval := grantInterval(slots, service)
	if interval >= maxSmoothing/smoothedGrants {
		return maxSmoothing
	}
	return max(minSmoothing, smoothedGrants*interval)
}

// grantInterval is the mean time between two slots that become free while all are busy.
func grantInterval(slots int, service time.Duration) time.Duration {
	return max(service, 0) / time.Duration(max(slots, 1))
}

// rate is an exponentially smoothed rate of work in milliseconds per second.
type rate struct {
	value float64
	at    time.Duration
}

// decay returns the factor by which a smoothed value falls in a time.
func decay(elapsed, smoothing time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-elapsed.Seconds() / smoothing.Seconds())
}

func (r *rate) add(now, smoothing time.Duration, work float64) {
	r.value = r.perSecond(now, smoothing) + work/smoothing.Seconds()
	r.at = now
}

// addUpTo adds work as long as the rate stays below a limit.
func (r *rate) addUpTo(limit float64, now, smoothing time.Duration, work float64) {
	before := r.perSecond(now, smoothing)
	r.add(now, smoothing, work)
	r.value = max(before, min(r.value, limit))
}

func (r *rate) perSecond(now, smoothing time.Duration) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * decay(now-r.at, smoothing)
}

const (
	// assumedRate is the work per second of one slot until grants are observed: a slot is busy with one request at a time, and
	// costs are predicted milliseconds.
	assumedRate = 1000.0
	// assumedPart is the part of the smoothing time that the assumption weighs at first, so that the first grants do not decide
	// alone.
	assumedPart = 0.25
	// relaxation is the time constant with which a measured rate returns to the assumed one while no request waits. Without it, a
	// rate near zero from a stalled engine would refuse every request, and nothing would be granted that corrects the rate.
	relaxation = 30 * time.Second
)

// capacity measures the work granted per second while requests wait, which is all that the slots can do.
type capacity struct {
	slots   int
	service time.Duration
	// granted is the work per slot granted while requests waited in milliseconds, and waited that time in seconds, both smoothed.
	granted, waited float64
	// pending is the time in which requests waited that is not yet counted: slots that were taken together become free only after
	// one answer's time, so until then a silence tells nothing.
	pending time.Duration
}

func newCapacity() capacity {
	c := capacity{slots: 1}
	c.waited = assumedPart * minSmoothing.Seconds()
	c.granted = assumedRate * c.waited
	return c
}

func (c *capacity) smoothing() time.Duration { return smoothing(c.slots, c.service) }

// perSecond returns the work per second in milliseconds.
func (c *capacity) perSecond() float64 { return float64(c.slots) * c.granted / c.waited }

// grantWork is the work that is granted between two slots that become free.
func (c *capacity) grantWork() float64 {
	return c.perSecond() * grantInterval(c.slots, c.service).Seconds()
}

// pass records time in which requests waited or did not.
func (c *capacity) pass(elapsed time.Duration, waiting bool) {
	if elapsed <= 0 {
		return
	}
	if !waiting {
		c.pending = 0
		c.granted += (assumedRate*c.waited - c.granted) * (1 - decay(elapsed, relaxation))
		return
	}
	if c.pending += elapsed; c.pending > c.service {
		c.countPending()
	}
}

func (c *capacity) countPending() {
	f := decay(c.pending, c.smoothing())
	c.granted *= f
	c.waited = c.waited*f + c.smoothing().Seconds()*(1-f)
	c.pending = 0
}

// grant records a grant while requests waited.
func (c *capacity) grant(cost float64) {
	c.countPending()
	c.granted += cost / float64(max(c.slots, 1))
}
