package bound

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Cause is the reason why a request was not served in time.
type Cause string

// The causes. Requests with OverLimit do not count as owed, because their workspace exceeded its quota.
const (
	OverLimit  Cause = "over the limit"
	NoCapacity Cause = "no room"
	LateFirst  Cause = "late first event"
	LatePause  Cause = "late by a pause"
	LateAnswer Cause = "late answer"
	Failed     Cause = "broken"
	NotServing Cause = "not serving"
)

// causes lists the table's columns in order.
var causes = []Cause{NoCapacity, LateFirst, LatePause, LateAnswer, Failed, NotServing}

// causeByOutcome maps the outcome in the log to its cause. Other outcomes count as Failed.
var causeByOutcome = map[string]Cause{
	"over_quota": OverLimit, "overloaded": NoCapacity, "backends_rate_limited": NoCapacity, "no_configuration": NotServing, "no_backend": NotServing, "shutting_down": NotServing,
}

var causeByLateness = map[string]Cause{"first": LateFirst, "pause": LatePause, "answer": LateAnswer}

// callerOutcomes are outcomes that the caller caused and no scheduler could change.
var callerOutcomes = []string{"unknown_key", "no_route", "body_too_large", "slow_body", "body_broken"}

// scoredRequest is a request with its weight, the share of it that was served, and its share in the bound.
type scoredRequest struct {
	Request
	Weight, Served, Bound float64
	inTime, late          float64
	cause                 Cause
	work                  time.Duration
}

// Options set how requests are weighted and grouped.
type Options struct {
	// Weights are the routes' weights; 1 for a route that is not listed.
	Weights map[string]float64
	// BySize multiplies a request's weight by 0.3 plus 0.7 times its size relative to the mean of its route, at
	// most 4.
	BySize bool
	// LateShare is the value of a late response relative to one in time.
	LateShare float64
	// Window is the length of the rows by time; at least 1 s.
	Window time.Duration
}

// Row is one line of the result. Served, Bound and Lost are shares of Weight, the total weight of the requests owed.
type Row struct {
	Name   string
	Owed   int
	Weight float64
	Served float64
	Bound  float64
	Lost   map[Cause]float64
	// Used is the utilization of the model engines: the work of all requests sent to them, by arrival time,
	// relative to their capacity. It is zero in rows that are not time windows.
	Used float64
}

// Result compares what was owed, served and possible, in total and by route, zone and time window.
type Result struct {
	Models                      []*Model
	Total                       Row
	ByRoute, ByZone, ByWindow   []Row
	RefusedOverLimit, CallerOwn int
}

// Compute fits the models to the logs and computes the result.
func Compute(l *Logs, opt Options) *Result {
	models := fit(l)
	res := &Result{}
	byService := map[*Model][]*scoredRequest{}
	var all []*scoredRequest
	sizes := meanSizes(l.Requests)
	for _, q := range l.Requests {
		s := score(q, opt, sizes[q.Route])
		switch {
		case slices.Contains(callerOutcomes, q.Outcome):
			res.CallerOwn++
			continue
		case s.cause == OverLimit:
			res.RefusedOverLimit++
			continue
		}
		m := models[q.Route]
		if m == nil {
			continue // no request on the route was answered, so there is no model for it
		}
		all = append(all, s)
		byService[m] = append(byService[m], s)
	}
	services := slices.SortedFunc(maps.Keys(byService), func(a, b *Model) int { return cmp.Compare(a.Service, b.Service) })
	for _, m := range services {
		res.Models = append(res.Models, m)
		solve(l, m, byService[m], opt.LateShare)
	}
	res.Total = newRow("all", all)
	res.ByRoute = groupRows(all, func(s *scoredRequest) string { return s.Route })
	res.ByZone = groupRows(all, func(s *scoredRequest) string { return s.Zone })
	window := max(opt.Window, time.Second)
	res.ByWindow = groupRows(all, func(s *scoredRequest) string { return windowName(s.At, window) })
	res.setUtilization(l, all, window)
	return res
}

func windowName(at, window time.Duration) string {
	return fmt.Sprintf("%6.0f s", (at / window * window).Seconds())
}

// setUtilization sets the utilization of the engines in each time window.
func (r *Result) setUtilization(l *Logs, all []*scoredRequest, window time.Duration) {
	work := map[string]time.Duration{}
	for _, s := range all {
		if s.Attempts > 0 && s.Prompt > 0 {
			work[windowName(s.At, window)] += s.work
		}
	}
	available := map[string]float64{}
	for _, m := range r.Models {
		if m.Read == 0 {
			continue
		}
		for i, v := range serverTime(l, m, window) {
			available[windowName(time.Duration(i)*window, window)] += v
		}
	}
	for i := range r.ByWindow {
		if name := r.ByWindow[i].Name; available[name] > 0 {
			r.ByWindow[i].Used = float64(work[name]) / available[name]
		}
	}
}

// size returns a request's size in prompt tokens, with output tokens weighted by outputWeight.
func size(q Request) float64 { return float64(q.Prompt + outputWeight*q.Output) }

const (
	// outputWeight is the weight of an output token relative to a prompt token.
	outputWeight = 10
	// fixedWeight is the part of a request's weight that does not depend on its size. maxSizeFactor bounds the
	// factor by which size changes a weight.
	fixedWeight   = 0.3
	maxSizeFactor = 4
)

func meanSizes(list []Request) map[string]float64 {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, q := range list {
		sum[q.Route] += size(q)
		n[q.Route]++
	}
	for route := range sum {
		sum[route] /= n[route]
	}
	return sum
}

func score(q Request, opt Options, mean float64) *scoredRequest {
	s := &scoredRequest{Request: q, Weight: 1}
	if w, ok := opt.Weights[q.Route]; ok {
		s.Weight = w
	}
	if opt.BySize && mean > 0 {
		s.Weight *= min(maxSizeFactor, fixedWeight+(1-fixedWeight)*size(q)/mean)
	}
	switch {
	case q.Outcome == "answered" && q.Late == "":
		s.Served = 1
	case q.Outcome == "answered":
		s.Served = opt.LateShare
		s.cause = causeByLateness[q.Late]
	default:
		s.cause = Failed
		if c, ok := causeByOutcome[q.Outcome]; ok {
			s.cause = c
		}
	}
	return s
}

func newRow(name string, list []*scoredRequest) Row {
	r := Row{Name: name, Lost: map[Cause]float64{}}
	for _, s := range list {
		r.Owed++
		r.Weight += s.Weight
		r.Served += s.Weight * s.Served
		r.Bound += s.Weight * s.Bound
		if s.cause != "" {
			r.Lost[s.cause] += s.Weight * (1 - s.Served)
		}
	}
	if r.Weight == 0 {
		return r
	}
	r.Served /= r.Weight
	r.Bound /= r.Weight
	for c := range r.Lost {
		r.Lost[c] /= r.Weight
	}
	return r
}

func groupRows(list []*scoredRequest, key func(*scoredRequest) string) []Row {
	groups := map[string][]*scoredRequest{}
	for _, s := range list {
		groups[key(s)] = append(groups[key(s)], s)
	}
	var out []Row
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		out = append(out, newRow(name, groups[name]))
	}
	return out
}

// Table writes the result as a text table.
func (r *Result) Table(w io.Writer) {
	for _, m := range r.Models {
		fmt.Fprintf(w, "%s: %d servers observed, %d slots, reads a token in %.1f us, an event or answer takes %.1f ms at rest\n", m.Service, len(m.Speed),
			m.Slots, float64(m.Read.Nanoseconds())/1000, float64(m.Interval.Microseconds())/1000)
	}
	fmt.Fprintf(w, "not owed: %d over the limit, %d by the caller's own doing\n\n%-28s %6s %7s %7s", r.RefusedOverLimit, r.CallerOwn, "", "owed", "served", "bound")
	for _, c := range causes {
		fmt.Fprintf(w, " %16s", c)
	}
	fmt.Fprintf(w, " %7s\n", "used")
	for _, rows := range [][]Row{{r.Total}, r.ByRoute, r.ByZone, r.ByWindow} {
		for _, row := range rows {
			row.write(w)
		}
		fmt.Fprintln(w)
	}
}

func (r Row) write(w io.Writer) {
	fmt.Fprintf(w, "%-28s %6d %7.3f %7.3f", r.Name, r.Owed, r.Served, r.Bound)
	for _, c := range causes {
		fmt.Fprintf(w, " %16.3f", r.Lost[c])
	}
	if r.Used > 0 {
		fmt.Fprintf(w, " %7.2f", r.Used)
	}
	fmt.Fprintln(w)
}

// JSON writes the result as JSON.
func (r *Result) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return trace.Wrap(e.Encode(r))
}

// Plot draws the served and possible shares over time. The extension of path selects SVG or PNG.
func (r *Result) Plot(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "served and possible", "window", "share of the weight owed"
	p.Y.Min, p.Y.Max = 0, 1
	served, possible := plotter.XYs{}, plotter.XYs{}
	for i, row := range r.ByWindow {
		served = append(served, plotter.XY{X: float64(i), Y: row.Served})
		possible = append(possible, plotter.XY{X: float64(i), Y: row.Bound})
	}
	if err := plotutil.AddLinePoints(p, "served", served, "bound", possible); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(p.Save(16*vg.Centimeter, 10*vg.Centimeter, path))
}
