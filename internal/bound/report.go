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

// Cause is why a request was not served in time.
type Cause string

// The causes. OverLimit is not owed: its workspace asked for more than its quota.
const (
	OverLimit Cause = "over the limit"
	NoRoom    Cause = "no room"
	LateFirst Cause = "late first event"
	LatePause Cause = "late by a pause"
	LateWhole Cause = "late answer"
	Broken    Cause = "broken"
	NotYet    Cause = "not serving"
)

// causes in the order of the table.
var causes = []Cause{NoRoom, LateFirst, LatePause, LateWhole, Broken, NotYet}

// outcomes tells the cause by the log's word for a request's end.
var outcomes = map[string]Cause{
	"over_quota": OverLimit, "overloaded": NoRoom, "no_configuration": NotYet, "no_backend": NotYet, "shutting_down": NotYet,
}

var lateness = map[string]Cause{"first": LateFirst, "pause": LatePause, "answer": LateWhole}

// callersOwn are ends that no scheduler could change.
var callersOwn = []string{"unknown_key", "no_route", "body_too_large", "slow_body", "body_broken"}

// scored is a request with its weight and what the bound gives it.
type scored struct {
	Request
	Weight, Served, Bound float64
	inTime, late          float64
	cause                 Cause
	work                  time.Duration
}

// Options are the operator's choices.
type Options struct {
	// Weights are the routes' weights; one where none is given.
	Weights map[string]float64
	// BySize weighs a request by its size too: three tenths, and seven tenths of its tokens against the
	// mean of its route, at most four times the mean.
	BySize bool
	// LateShare is what an answer is worth that comes, but late.
	LateShare float64
	// Window is the length of the rows by time.
	Window time.Duration
}

// Row is one line of the result. Shares are of the weight owed.
type Row struct {
	Name   string
	Owed   int
	Weight float64
	Served float64
	Bound  float64
	Lost   map[Cause]float64
	// Used is the work of all that was sent to model engines against what these can do in the time, by
	// the moment of arrival; zero where the row is not a time.
	Used float64
}

// Result is what was owed, served and could have been, in several cuts.
type Result struct {
	Models                      []*Model
	Total                       Row
	ByRoute, ByZone, ByWindow   []Row
	RefusedOverLimit, CallerOwn int
}

// Compute judges logs.
func Compute(l *Logs, opt Options) *Result {
	models := fit(l)
	res := &Result{}
	byService := map[*Model][]*scored{}
	var all []*scored
	sizes := meanSizes(l.Requests)
	for _, q := range l.Requests {
		s := score(q, opt, sizes[q.Route])
		switch {
		case slices.Contains(callersOwn, q.Outcome):
			res.CallerOwn++
			continue
		case s.cause == OverLimit:
			res.RefusedOverLimit++
			continue
		}
		m := models[q.Route]
		if m == nil {
			continue // nothing of the route was ever answered: there is no model of it
		}
		all = append(all, s)
		byService[m] = append(byService[m], s)
	}
	services := slices.SortedFunc(maps.Keys(byService), func(a, b *Model) int { return cmp.Compare(a.Service, b.Service) })
	for _, m := range services {
		res.Models = append(res.Models, m)
		solve(l, m, byService[m], opt.LateShare)
	}
	res.Total = sum("all", all)
	res.ByRoute = group(all, func(s *scored) string { return s.Route })
	res.ByZone = group(all, func(s *scored) string { return s.Zone })
	window := max(opt.Window, time.Second)
	res.ByWindow = group(all, func(s *scored) string { return windowName(s.At, window) })
	res.use(l, all, window)
	return res
}

func windowName(at, window time.Duration) string {
	return fmt.Sprintf("%6.0f s", (at / window * window).Seconds())
}

// use fills in how busy the engines were in each window.
func (r *Result) use(l *Logs, all []*scored, window time.Duration) {
	work := map[string]time.Duration{}
	for _, s := range all {
		if s.Attempts > 0 && s.Prompt > 0 {
			work[windowName(s.At, window)] += s.work
		}
	}
	can := map[string]float64{}
	for _, m := range r.Models {
		if m.Read == 0 {
			continue
		}
		for i, v := range serverTime(l, m, window) {
			can[windowName(time.Duration(i)*window, window)] += v
		}
	}
	for i := range r.ByWindow {
		if name := r.ByWindow[i].Name; can[name] > 0 {
			r.ByWindow[i].Used = float64(work[name]) / can[name]
		}
	}
}

// tokens is the size of a request.
func tokens(q Request) float64 { return float64(q.Prompt + outputWeight*q.Output) }

const (
	// outputWeight is how much more an output token counts than one of the prompt.
	outputWeight = 10
	// sizeBase is the part of a request's weight that does not depend on its size, and sizeMost bounds
	// the size that counts, in means of its route.
	sizeBase = 0.3
	sizeMost = 4
)

func meanSizes(list []Request) map[string]float64 {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, q := range list {
		sum[q.Route] += tokens(q)
		n[q.Route]++
	}
	for route := range sum {
		sum[route] /= n[route]
	}
	return sum
}

func score(q Request, opt Options, mean float64) *scored {
	s := &scored{Request: q, Weight: 1}
	if w, ok := opt.Weights[q.Route]; ok {
		s.Weight = w
	}
	if opt.BySize && mean > 0 {
		s.Weight *= min(sizeMost, sizeBase+(1-sizeBase)*tokens(q)/mean)
	}
	switch {
	case q.Outcome == "answered" && q.Late == "":
		s.Served = 1
	case q.Outcome == "answered":
		s.Served = opt.LateShare
		s.cause = lateness[q.Late]
	default:
		s.cause = Broken
		if c, ok := outcomes[q.Outcome]; ok {
			s.cause = c
		}
	}
	return s
}

func sum(name string, list []*scored) Row {
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

func group(list []*scored, key func(*scored) string) []Row {
	groups := map[string][]*scored{}
	for _, s := range list {
		groups[key(s)] = append(groups[key(s)], s)
	}
	var out []Row
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		out = append(out, sum(name, groups[name]))
	}
	return out
}

// Table writes the result for people.
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

// JSON writes the result for programs.
func (r *Result) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return trace.Wrap(e.Encode(r))
}

// Plot draws what was served and what could have been over time, as SVG or PNG by the path's ending.
func (r *Result) Plot(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "served and possible", "window", "share of the weight owed"
	p.Y.Min, p.Y.Max = 0, 1
	served, most := plotter.XYs{}, plotter.XYs{}
	for i, row := range r.ByWindow {
		served = append(served, plotter.XY{X: float64(i), Y: row.Served})
		most = append(most, plotter.XY{X: float64(i), Y: row.Bound})
	}
	if err := plotutil.AddLinePoints(p, "served", served, "bound", most); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(p.Save(16*vg.Centimeter, 10*vg.Centimeter, path))
}
