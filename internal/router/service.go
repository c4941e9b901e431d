package router

import (
	"time"

	"fireflyshift/internal/limit"
)

const (
	// defaultEventInterval, defaultPrefillPerToken and defaultStreamLength are used for a service until values have been
	// observed. The stream length is in events.
	defaultEventInterval   = 20 * time.Millisecond
	defaultPrefillPerToken = 20 * time.Microsecond
	defaultStreamLength    = 30
	// streamLengthRate is the weight of a new stream's length. It is small because lengths differ a hundredfold.
	streamLengthRate = 0.02
)

// service is what this host has learned about one service as a whole.
type service struct {
	// eventInterval is the learned mean of its backend servers' intervals.
	eventInterval time.Duration
	// prefillPerToken is the learned time to prefill one prompt token, and streamLength the learned number of events of a stream.
	prefillPerToken time.Duration
	streamLength    float64
	budget          *limit.Budget
	// returnAt is when the next caller that is refused because of rate limits may return, by priority.
	returnAt [priorities]time.Duration
	// brittleLimit is the lowest limit on rejected requests that its backend servers state; nil if none does.
	brittleLimit *float64
	// endedVersions are the software versions of starts that were replaced under the same ID, with the time of that.
	endedVersions map[string]time.Duration
}

// serviceState returns the state of a service and creates it if necessary.
func (r *Router) serviceState(name string) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{}
		r.services[name] = s
	}
	return s
}

func (s *service) learnEventInterval(interval time.Duration) {
	if interval > 0 {
		s.eventInterval += time.Duration(learnRate * float64(interval-s.eventInterval))
	}
}

func (s *service) learnPrefill(perToken time.Duration) {
	s.prefillPerToken = smoothPrefill(s.prefillPerToken, perToken)
}

// learnStreamLength adds the number of events of a stream; zero means that it was none.
func (s *service) learnStreamLength(events int) {
	if events > 0 {
		s.streamLength = s.expectedStreamLength() + streamLengthRate*(float64(events)-s.expectedStreamLength())
	}
}

func (s *service) expectedEventInterval() time.Duration {
	if s.eventInterval > 0 {
		return s.eventInterval
	}
	return defaultEventInterval
}

func (s *service) expectedPrefillPerToken() time.Duration {
	if s.prefillPerToken > 0 {
		return s.prefillPerToken
	}
	return defaultPrefillPerToken
}

func (s *service) expectedStreamLength() float64 {
	if s.streamLength > 0 {
		return s.streamLength
	}
	return defaultStreamLength
}
