package router

import (
	"time"

	"fireflyshift/internal/limit"
)

const (
	// unknownPace, unknownRead and unknownEvents stand for a service's time between events, time to read a
	// prompt token and length of a stream until any has been observed.
	unknownPace   = 20 * time.Millisecond
	unknownRead   = 20 * time.Microsecond
	unknownEvents = 30
	// eventsRate is the weight of a stream's length: lengths differ a hundredfold.
	eventsRate = 0.02
)

// service is what this host believes of one service as a whole.
type service struct {
	// pace is the learned mean of its backend servers' intervals.
	pace time.Duration
	// read is the learned time to read a prompt token, and events the learned length of a stream.
	read   time.Duration
	events float64
	budget *limit.Budget
}

// serviceNamed finds what is believed of a service, which may be nothing yet.
func (r *Router) serviceNamed(name string) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{}
		r.services[name] = s
	}
	return s
}

func (s *service) learnPace(pace time.Duration) {
	if pace > 0 {
		s.pace += time.Duration(learnRate * float64(pace-s.pace))
	}
}

func (s *service) learnRead(read time.Duration) { s.read = learned(s.read, read) }

// learnEvents learns the length of a stream; zero is no stream.
func (s *service) learnEvents(events int) {
	if events > 0 {
		s.events = s.usualEvents() + eventsRate*(float64(events)-s.usualEvents())
	}
}

func (s *service) usualPace() time.Duration {
	if s.pace > 0 {
		return s.pace
	}
	return unknownPace
}

func (s *service) usualRead() time.Duration {
	if s.read > 0 {
		return s.read
	}
	return unknownRead
}

func (s *service) usualEvents() float64 {
	if s.events > 0 {
		return s.events
	}
	return unknownEvents
}
