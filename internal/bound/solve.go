package bound

import (
	"cmp"
	"slices"
	"time"
)

// maxCells bounds the number of time cells: the solver's memory grows with its square.
const maxCells = 600

// capacity is the work that a service's servers can do per time cell, in time of the reference server.
type capacity struct {
	cell time.Duration
	// slack[s][t-s] is the unallocated capacity for work that must be done within the cells s to t.
	slack [][]float64
}

// serverTime returns the work that a service's servers can do in each time cell, in time of the reference server.
func serverTime(l *Logs, m *Model, cell time.Duration) []float64 {
	perCell := make([]float64, int(l.End/cell)+1)
	for _, s := range l.Servers {
		if s.Service != m.Service {
			continue
		}
		to := s.To
		if to == 0 {
			to = l.End + cell
		}
		for i := range perCell {
			if at := time.Duration(i) * cell; at+cell > s.From && at < to {
				perCell[i] += m.speedOf(s.ID) * float64(cell)
			}
		}
	}
	return perCell
}

func newCapacity(l *Logs, m *Model, cell time.Duration) *capacity {
	perCell := serverTime(l, m, cell)
	n := len(perCell)
	c := &capacity{cell: cell}
	for s := 0; s < n; s++ {
		row := make([]float64, n-s)
		sum := 0.0
		for t := s; t < n; t++ {
			sum += perCell[t]
			row[t-s] = sum
		}
		c.slack = append(c.slack, row)
	}
	return c
}

// allocate allocates as much of the given work as fits between two times beside earlier allocations, and returns the
// amount. Work that may be split and moved within its window fits if and only if no span of time is allocated more
// than its capacity, summed over all windows inside the span. The feasible allocations form a polymatroid, so the
// greedy algorithm is optimal: in order of value, allocate to each as much as fits.
func (c *capacity) allocate(from, to time.Duration, work float64) float64 {
	last := len(c.slack) - 1
	a := min(max(0, int(from/c.cell)), last)
	d := min(max(a, int(to/c.cell)), last)
	fits := work
	for s := 0; s <= a; s++ {
		for _, v := range c.slack[s][d-s:] {
			fits = min(fits, v)
		}
	}
	fits = max(0, fits)
	if fits == 0 {
		return 0
	}
	for s := 0; s <= a; s++ {
		row := c.slack[s][d-s:]
		for t := range row {
			row[t] -= fits
		}
	}
	return fits
}

// job is one request in the solver.
type job struct {
	q      *scoredRequest
	work   float64
	target time.Duration // work done by then is in time
	last   time.Duration // work done by then is late, but counts
}

// solve sets the bound of each request of one service. Requests with the highest weight per work come first; work
// that is in time is allocated before work that is late.
func solve(l *Logs, m *Model, list []*scoredRequest, lateShare float64) {
	cell := max(l.End/maxCells, time.Millisecond)
	c := newCapacity(l, m, cell)
	var jobs []job
	for _, s := range list {
		s.work = m.work(s.Request)
		work := float64(s.work)
		target := s.At + s.Allowed
		if s.Target > 0 {
			target = min(target, s.At+s.Target+m.minStreamTime(s.Request))
		}
		jobs = append(jobs, job{s, max(1, work), target, s.At + max(s.Allowed, s.Target)})
	}
	byDensity := func(a, b job) int {
		return cmp.Or(cmp.Compare(b.q.Weight/b.work, a.q.Weight/a.work), cmp.Compare(a.q.At, b.q.At))
	}
	slices.SortStableFunc(jobs, byDensity)
	for i := range jobs {
		j := &jobs[i]
		j.q.inTime = c.allocate(j.q.At, j.target, j.work) / j.work
	}
	for i := range jobs {
		j := &jobs[i]
		if left := 1 - j.q.inTime; left > 0 && j.last > j.target {
			j.q.late = c.allocate(j.q.At, j.last, left*j.work) / j.work
		}
		j.q.Bound = j.q.inTime + lateShare*j.q.late
	}
}
