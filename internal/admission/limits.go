package admission

import (
	"math"
	"time"

	"fireflyshift/internal/fairqueue"
)

// DefaultMaxRequests is the limit of waiting requests if the settings name none, and MaxRequests the highest that can be set.
const (
	DefaultMaxRequests = 512
	MaxRequests        = 4096
)

// Values from other hosts are brought into these bounds, so that no sum overflows and no virtual time becomes infinite.
const (
	minCost     = 1       // milliseconds; a grant without a cost would never count against its workspace
	maxCost     = 3600000 // milliseconds; no answer takes more than an hour
	maxTimeLeft = time.Hour
)

func boundedWeight(w float64) float64 {
	if !(w > 0) || math.IsInf(w, 1) { // also NaN
		return 1
	}
	return min(max(w, fairqueue.MinWeight), fairqueue.MaxWeight)
}

func boundedCost(c float64) float64 {
	if !(c > minCost) { // also NaN
		return minCost
	}
	return min(c, maxCost)
}

// boundedTime limits a time to an hour from now, in both directions.
func boundedTime(now, t time.Duration) time.Duration {
	return min(max(t, now-maxTimeLeft), now+maxTimeLeft)
}

// bounded returns a request with every value within its bounds.
func bounded(now time.Duration, r Request) Request {
	r.Weight = boundedWeight(r.Weight)
	r.Cost = boundedCost(r.Cost)
	r.Priority = min(max(r.Priority, 0), Priorities-1)
	r.OnTimeBy = boundedTime(now, r.OnTimeBy)
	r.PatienceEnds = boundedTime(now, r.PatienceEnds)
	r.Deadline = boundedTime(now, r.Deadline)
	return r
}

// maxNow keeps sums of times within the range of a duration.
const maxNow = time.Duration(math.MaxInt64 / 4)

func boundedMaxRequests(n int) int {
	if n <= 0 {
		return DefaultMaxRequests
	}
	return min(n, MaxRequests)
}
