package pace

import "time"

const (
	// occupancySpacing is the least time between two recorded points, and occupancyPoints their number: the record covers six seconds.
	occupancySpacing = 50 * time.Millisecond
	occupancyPoints  = 128
)

// Occupancy records how many requests an engine has held, for the mean during a stream. The zero value is empty.
type Occupancy struct {
	points [occupancyPoints]point // a ring
	count  int                    // points recorded so far
	held   int                    // since the latest point
}

// point is the integral of the requests held up to a time.
type point struct {
	at  time.Duration
	sum float64
}

// Note records that the engine holds so many requests from now on.
func (o *Occupancy) Note(now time.Duration, held int) {
	if o.count > 0 && now-o.latest().at < occupancySpacing {
		return
	}
	o.points[o.count%occupancyPoints] = point{now, o.integral(now)}
	o.count++
	o.held = held
}

// Mean returns the mean number of requests held between two times, as far as it is recorded, and false if nothing is.
func (o *Occupancy) Mean(from, to time.Duration) (float64, bool) {
	if o.count == 0 {
		return 0, false
	}
	from = max(from, o.point(max(0, o.count-occupancyPoints)).at)
	if to <= from {
		return float64(o.held), true
	}
	return (o.integral(to) - o.integral(from)) / float64(to-from), true
}

func (o *Occupancy) latest() point { return o.point(o.count - 1) }

func (o *Occupancy) point(i int) point { return o.points[i%occupancyPoints] }

// integral returns the integral up to a time that is not before the oldest point.
func (o *Occupancy) integral(t time.Duration) float64 {
	if o.count == 0 {
		return 0
	}
	if last := o.latest(); t >= last.at {
		return last.sum + float64(o.held)*float64(t-last.at)
	}
	for i := o.count - 2; i >= max(0, o.count-occupancyPoints); i-- {
		a, b := o.point(i), o.point(i+1)
		if t >= a.at {
			return a.sum + (b.sum-a.sum)*float64(t-a.at)/float64(b.at-a.at)
		}
	}
	return 0
}
