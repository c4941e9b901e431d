package spill

import "time"

// sample is the load of a zone at a time.
type sample struct {
	at time.Duration
	Load
}

// history holds the samples of one zone within trendWindow, the oldest first. It is never empty once a sample was added.
type history struct{ samples []sample }

func (h *history) latest() sample { return h.samples[len(h.samples)-1] }

func (h *history) add(at time.Duration, l Load) {
	if len(h.samples) > 0 && at <= h.latest().at {
		return
	}
	first := 0
	for first < len(h.samples) && (at-h.samples[first].at > trendWindow || len(h.samples)-first >= maxSamples) {
		first++
	}
	h.samples = append(h.samples[first:len(h.samples):len(h.samples)], sample{at, l})
}

// demandAfter returns the demand expected at a time after the latest sample: the regression line through the samples, which at the
// latest sample is limited to the demands seen, and then changes by maxTrend at most.
func (h *history) demandAfter(ahead time.Duration) float64 {
	level, slope := h.line()
	change := min(max(slope*ahead.Seconds(), -maxTrend*level), maxTrend*level)
	return level + change
}

// line returns the regression line's value at the latest sample, and its slope per second.
func (h *history) line() (level, slope float64) {
	last := h.latest()
	lowest, highest := last.Demand, last.Demand
	var meanTime, meanDemand float64
	n := float64(len(h.samples))
	for _, s := range h.samples {
		lowest, highest = min(lowest, s.Demand), max(highest, s.Demand)
		meanTime += (s.at - last.at).Seconds() / n
		meanDemand += s.Demand / n
	}
	var variance, covariance float64
	for _, s := range h.samples {
		t := (s.at - last.at).Seconds() - meanTime
		variance += t * t
		covariance += t * (s.Demand - meanDemand)
	}
	if variance > 0 {
		slope = covariance / variance
	}
	return min(max(meanDemand-slope*meanTime, lowest), highest), slope
}
