package router

import (
	"time"

	"fireflyshift/internal/limit"
)

const (
	// defaultEventInterval, unknownRead and unknownEvents stand for a service's time between events, time to read a
	// prompt token and length of a stream until any has been observed.
	defaultEventInterval   = 20 * time.Millisecond
	defaultPrefillPerToken = 20 * time.Microsecond
	defaultStreamLength    = 30
	// streamLengthRate is the weight of a stream's length: lengths differ a hundredfold.
	streamLengthRate = 0.02
)

// service is what this host believes of one service as a whole.
type service struct {
	// eventInterval is the learned mean of its backend servers' intervals.
	eventInterval time.Duration
	// prefillPerToken is the learned time to prefillPerToken a prompt token, and events the learned length of a stream.
	prefillPerToken time.Duration
	streamLength    float64
	budget          *limit.Budget
}

// serviceState finds what is believed of a service, which may be nothing yet.
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

func (s *service) learnPrefill(read time.Duration) {
	s.prefillPerToken = smoothPrefillTime(s.prefillPerToken, read)
}

// learnStreamLength learns the length of a stream; zero is no stream.
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
