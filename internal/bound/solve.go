package bound

import (
	"cmp"
	"slices"
	"time"
)

// maxCells bounds the grid of moments: the solver holds a triangle of its square.
const maxCells = 600

// capacity is what a service's servers can do in each cell of time, in work of the usual server.
type capacity struct {
	cell time.Duration
	// slack[s][t-s] is what is left to give to work that has to lie inside the cells s to t.
	slack [][]float64
}

// serverTime adds up what a service's servers can do in each cell of time, in work of the usual one.
func serverTime(l *Logs, m *Model, cell time.Duration) []float64 {
	per := make([]float64, int(l.End/cell)+1)
	for _, s := range l.Servers {
		if s.Service != m.Service {
			continue
		}
		to := s.To
		if to == 0 {
			to = l.End + cell
		}
		for i := range per {
			if at := time.Duration(i) * cell; at+cell > s.From && at < to {
				per[i] += m.speedOf(s.ID) * float64(cell)
			}
		}
	}
	return per
}

func newCapacity(l *Logs, m *Model, cell time.Duration) *capacity {
	per := serverTime(l, m, cell)
	n := len(per)
	c := &capacity{cell: cell}
	for s := 0; s < n; s++ {
		row := make([]float64, n-s)
		sum := 0.0
		for t := s; t < n; t++ {
			sum += per[t]
			row[t-s] = sum
		}
		c.slack = append(c.slack, row)
	}
	return c
}

// take gives as much of some work as fits between two moments beside what was given before, and returns it.
// Work that may be split and moved within its window fits if and only if no span of time is given more than
// it has, summed over all windows inside it. The sets of work that fit form a polymatroid, so that giving
// in order of worth, each as much as fits, is best.
func (c *capacity) take(from, to time.Duration, work float64) float64 {
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

// job is one request before the solver.
type job struct {
	q      *scored
	work   float64
	target time.Duration // until when its work is done in time
	last   time.Duration // until when at all
}

// solve gives each request of one service its share of the best: in time first, then late.
func solve(l *Logs, m *Model, list []*scored, lateShare float64) {
	cell := max(l.End/maxCells, time.Millisecond)
	c := newCapacity(l, m, cell)
	var jobs []job
	for _, s := range list {
		s.work = m.work(s.Request)
		work := float64(s.work)
		target := s.At + s.Allowed
		if s.Target > 0 {
			target = min(target, s.At+s.Target+m.alone(s.Request))
		}
		jobs = append(jobs, job{s, max(1, work), target, s.At + max(s.Allowed, s.Target)})
	}
	byDensity := func(a, b job) int {
		return cmp.Or(cmp.Compare(b.q.Weight/b.work, a.q.Weight/a.work), cmp.Compare(a.q.At, b.q.At))
	}
	slices.SortStableFunc(jobs, byDensity)
	for i := range jobs {
		j := &jobs[i]
		j.q.inTime = c.take(j.q.At, j.target, j.work) / j.work
	}
	for i := range jobs {
		j := &jobs[i]
		if left := 1 - j.q.inTime; left > 0 && j.last > j.target {
			j.q.late = c.take(j.q.At, j.last, left*j.work) / j.work
		}
		j.q.Bound = j.q.inTime + lateShare*j.q.late
	}
}
