package admission

import "time"

// windowSeconds is the time that operators see, in buckets of a second.
const windowSeconds = 10

// bucket counts what happened to the requests of one workspace in one second.
type bucket struct {
	second                    int64
	work                      float64 // cost of the granted requests
	offered, granted, refused int
	provisional               int // queued without a predicted slot
}

// window holds the last ten seconds of one workspace.
type window struct{ buckets [windowSeconds]bucket }

func (w *window) at(now time.Duration) *bucket {
	second := int64(now / time.Second)
	b := &w.buckets[((second%windowSeconds)+windowSeconds)%windowSeconds]
	if b.second != second {
		*b = bucket{second: second}
	}
	return b
}

// sum returns the counts of the last ten seconds, the current one included.
func (w *window) sum(now time.Duration) bucket {
	second := int64(now / time.Second)
	var s bucket
	for i := range w.buckets {
		b := &w.buckets[i]
		if b.second <= second-windowSeconds {
			continue
		}
		s.work += b.work
		s.offered += b.offered
		s.granted += b.granted
		s.refused += b.refused
		s.provisional += b.provisional
	}
	return s
}
