package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"fireflyshift/internal/record"
)

// Plan selects the trials of a table: all combinations of its fields.
type Plan struct {
	Mixes    []string
	Policies []string
	Loads    []float64
	Faults   []string
	Seeds    []uint64
}

// The plans of 'measure policy'. Quick takes minutes, all together take up to half an hour.
var (
	Quick = Plan{[]string{"agency", "exchange"}, record.Policies, []float64{2}, []string{""}, []uint64{1}}
	Loads = Plan{[]string{"agency", "exchange"}, record.Policies, []float64{0.7, 1, 3}, []string{""}, []uint64{1}}
	Seeds = Plan{[]string{"agency", "exchange"}, []string{"cost", "least-loaded", "two-choices"}, []float64{2}, []string{""}, []uint64{2, 3}}
	// Faults pauses a zone instead of partitioning it from the others; the tests cover partitions.
	Faults  = Plan{[]string{"agency"}, []string{"cost", "least-loaded", "two-choices"}, []float64{2}, []string{"slow engine", "host killed", "zone paused", "platform outage", "roll"}, []uint64{1}}
	Untuned = Plan{[]string{"untuned"}, record.Policies, []float64{2}, []string{""}, []uint64{7}}
)

func findMix(name string) mix {
	for _, m := range []mix{agency, exchange, untuned} {
		if m.name == name {
			return m
		}
	}
	return agency
}

// Policies runs the trials of plans, prints a table to out, and writes JSON and plots into a folder.
func Policies(out io.Writer, bin, folder string, length time.Duration, plans ...Plan) error {
	x := runner{bin: bin, length: length, log: out}
	var all []result
	writeHeader(out)
	for _, p := range plans {
		for _, t := range p.trials() {
			r, err := x.run(findMix(t.Mix), t)
			if err != nil {
				return err
			}
			writeRow(out, r)
			all = append(all, r)
		}
	}
	return writeFiles(folder, all)
}

func (p Plan) trials() []trial {
	var out []trial
	for _, m := range p.Mixes {
		for _, f := range p.Faults {
			for _, l := range p.Loads {
				for _, s := range p.Seeds {
					for _, policy := range p.Policies {
						out = append(out, trial{m, policy, l, f, s})
					}
				}
			}
		}
	}
	return out
}

func writeHeader(out io.Writer) {
	fmt.Fprintf(out, "%-9s %-12s %4s %-15s %4s | %-13s %-13s %-13s | %-13s %7s %6s | %17s %17s | %6s %5s %8s\n", "mix", "policy", "load",
		"fault", "seed", "top/bound", "mid/bound", "low/bound", "total/bound", "wasted", "share", "first ms 50/95/99", "gap ms 50/95/99",
		"B/s", "cpu%", "recovery")
}

func writeRow(out io.Writer, r result) {
	tiers := [3]string{"-", "-", "-"}
	for i, t := range r.Tiers {
		tiers[i] = fmt.Sprintf("%.3f/%.3f", t.Goodput, t.Bound)
	}
	recoveryText := "-"
	if r.Fault != "" {
		recoveryText = r.Recovery.String()
	}
	if r.Recovery < 0 {
		recoveryText = "not seen"
	}
	fmt.Fprintf(out, "%-9s %-12s %4.1f %-15s %4d | %-13s %-13s %-13s | %-13s %6.2f%% %6.2f | %5.0f %5.0f %5.0f %5.1f %5.1f %5.1f | %6.0f %5.1f %8s",
		r.Mix, r.Policy, r.Load, r.Fault, r.Seed, tiers[0], tiers[1], tiers[2], fmt.Sprintf("%.3f/%.3f", r.Total, r.TotalBound),
		100*r.WastedPrefill, r.Fairness, r.First[0], r.First[1], r.First[2], r.Gap[0], r.Gap[1], r.Gap[2], r.ControlBytes, r.HostCPU, recoveryText)
	if r.Violations > 0 {
		fmt.Fprintf(out, "  VIOLATIONS %d", r.Violations)
	}
	fmt.Fprintln(out)
}

func writeFiles(folder string, all []result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "policy.json"), data, 0o644); err != nil {
		return err
	}
	for _, m := range []string{"agency", "exchange", "untuned"} {
		if err := plotMix(folder, m, all); err != nil {
			return err
		}
	}
	return nil
}

// plotMix plots the top tier's goodput against load, with a line for each policy.
func plotMix(folder, mixName string, all []result) error {
	p := plot.New()
	p.Title.Text = mixName + ": goodput of the top tier"
	p.X.Label.Text, p.Y.Label.Text = "load (1 is capacity)", "answered whole and in time"
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for _, policy := range record.Policies {
		points := plotter.XYs{}
		for _, r := range all {
			if r.Mix == mixName && r.Policy == policy && r.Fault == "" && r.Seed == 1 {
				points = append(points, plotter.XY{X: r.Load, Y: r.Tiers[0].Goodput})
			}
		}
		if len(points) > 0 {
			sortByX(points)
			lines = append(lines, policy, points)
		}
	}
	if len(lines) == 0 {
		return nil
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(folder, mixName+".svg"))
}

func sortByX(p plotter.XYs) {
	for i := range p {
		for j := i + 1; j < len(p); j++ {
			if p[j].X < p[i].X {
				p[i], p[j] = p[j], p[i]
			}
		}
	}
}
