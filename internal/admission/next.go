package admission

import "time"

const (
	// maxTries limits the requests for which Next asks whether a slot fits. It is the default of max-requests, so that in a queue
	// of that length no slot stays idle while a request that fits waits; in longer queues it bounds the time that one grant takes.
	maxTries = 512
	// triesPerWorkspace is how many requests of one workspace are tried before those of the next one. One workspace whose requests
	// do not fit then cannot use up the tries.
	triesPerWorkspace = 32
)

// Next grants a free slot to the first request in order for which fits reports true, and returns how long it waited; ok is false
// if there is none. Requests whose patience has ended are not granted; Expire refuses them.
func (q *Queue) Next(now time.Duration, fits func(*Request) bool) (r Request, waited time.Duration, ok bool) {
	q.advance(now)
	s := search{now: q.now, fits: fits, tries: maxTries}
	for p := range q.levels {
		if e := s.level(&q.levels[p]); e != nil {
			return e.Request, q.now - e.arrived, q.grant(e)
		}
	}
	return Request{}, 0, false
}

func (q *Queue) grant(e *entry) bool {
	q.countGrant(&e.Request, e.lane.tally)
	q.levels[e.Priority].fair.Serve(e.item)
	q.unlink(e)
	return true
}

// search looks for a request that fits a slot.
type search struct {
	now   time.Duration
	fits  func(*Request) bool
	tries int
}

func (s *search) fit(e *entry) bool {
	if e.PatienceEnds <= s.now || s.tries <= 0 {
		return false
	}
	s.tries--
	return s.fits(&e.Request)
}

// level returns the first request of a priority that fits.
func (s *search) level(v *level) *entry {
	if v.fair.Len() == 0 {
		return nil
	}
	var workspace *lane
	var skipped []*entry
	tried := 0
	for item := range v.fair.All() {
		e := item.Value
		if e.lane != workspace {
			workspace, tried = e.lane, 0
		}
		if tried++; tried > triesPerWorkspace {
			skipped = append(skipped, e)
			continue
		}
		if s.fit(e) {
			return e
		}
		if s.tries <= 0 {
			return nil
		}
	}
	for _, e := range skipped {
		if s.fit(e) {
			return e
		}
	}
	return nil
}
