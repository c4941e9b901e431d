package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"time"

	"fireflyshift/internal/record"
	"fireflyshift/internal/standin/engine"
	"fireflyshift/internal/standin/fleet"
)

// slopeMeasurement measures quantities at several sizes, for the slopes on the capacity page.
type slopeMeasurement struct {
	name string
	unit string
	// sizes has at least four elements.
	sizes []float64
	// measure returns the values of the quantities at one size, in their order.
	quantities []string
	measure    func(bin string, size float64, length time.Duration) ([]float64, error)
}

// slowEngineOptions returns options of an engine that keeps n requests waiting or streaming at a low CPU load.
func slowEngineOptions(n int, kind string) engine.Options {
	o := engine.DefaultOptions()
	o.Step, o.StepPerSeq = 500*time.Millisecond, 0
	o.Batch = n/9 + 1
	if kind == "streaming" {
		o.Batch = min(n, record.MaxSlots)
		o.PrefillPerStep = 1 << 20
	}
	return o
}

var slopes = []slopeMeasurement{
	{"zone", "hosts in the zone", []float64{4, 12, 24, 45}, []string{"cpu (% of a core)", "sent (B/s)", "received (B/s)", "resident (MB)"}, measureZone},
	{"request", "requests a second through one entry host and one scheduling host", []float64{10, 30, 60, 120},
		[]string{"scheduler cpu (% of a core)", "entry sent (B/s)", "scheduler sent (B/s)"}, measureRequests},
	{"engines", "engines of one scheduler", []float64{4, 8, 16, 32}, []string{"cpu (% of a core)", "resident (MB)"}, measureEngines},
	{"records", "active workspaces", []float64{200, 800, 1600, 3200}, []string{"resident (MB)", "start (ms)"}, measureRecords},
	{"changes", "configuration changes a second", []float64{1, 2, 4, 8}, []string{"cpu (% of a core)", "sent (B/s)"}, measureChanges},
	{"zones", "other availability zones", []float64{1, 3, 6, 10}, []string{"cpu (% of a core)", "sent (B/s)", "received (B/s)"}, measureZones},
}

// Capacity measures the slopes named in only, or all if it is empty, and prints them next to the page's figures.
func Capacity(out io.Writer, bin, page string, length time.Duration, only []string) error {
	pageValues := readPage(page)
	for _, s := range slopes {
		if len(only) > 0 && !slices.Contains(only, s.name) {
			continue
		}
		if err := s.run(out, bin, pageValues, length); err != nil {
			return fmt.Errorf("slope %s: %w", s.name, err)
		}
	}
	return nil
}

func (s slopeMeasurement) run(out io.Writer, bin string, pageValues map[string]float64, length time.Duration) error {
	fmt.Fprintf(out, "\n%s: per %s\n", s.name, s.unit)
	columns := make([][]float64, len(s.quantities))
	for _, size := range s.sizes {
		values, err := s.measure(bin, size, length)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "  %6.0f:", size)
		for i, v := range values {
			columns[i] = append(columns[i], v)
			fmt.Fprintf(out, "  %s %.4g", s.quantities[i], v)
		}
		fmt.Fprintln(out)
	}
	for i, name := range s.quantities {
		f := fitLine(s.sizes, columns[i])
		key := s.name + "/" + name
		comparison := "not on the page yet"
		if w, ok := pageValues[key]; ok {
			comparison = fmt.Sprintf("page %.4g", w)
		}
		fmt.Fprintf(out, "  slope %-45s %10.4g  base %10.4g  worst point %3.0f%%  %s\n", key, f.slope, f.intercept, 100*f.maxDeviation, comparison)
	}
	return nil
}

// pageRow matches a row of the page's table: | `zone/cpu (% of a core)` | 0.02 | ...
var pageRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([-0-9.e]+) \\|")

func readPage(path string) map[string]float64 {
	out := map[string]float64{}
	data, err := os.ReadFile(path)
	if err != nil {
		return out
	}
	for _, m := range pageRow.FindAllStringSubmatch(string(data), -1) {
		if v, err := strconv.ParseFloat(m[2], 64); err == nil {
			out[m[1]] = v
		}
	}
	return out
}

// measureUsage measures a host's resource usage over a length of time.
func (r *testbed) measureUsage(s fleet.HostSpec, length time.Duration) (usageRate, error) {
	before, err := r.usage(s)
	if err != nil {
		return usageRate{}, err
	}
	time.Sleep(length)
	after, err := r.usage(s)
	return rateBetween(before, after), err
}

// measureZone runs idle hosts, which only exchange heartbeats, perform their roles and watch the platform.
func measureZone(bin string, size float64, length time.Duration) ([]float64, error) {
	r, err := newTestbed(bin)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.publish(baseRecords("cost")...)
	r.addHosts("zone-a", int(size))
	if err := r.start(); err != nil {
		return nil, err
	}
	o, err := r.measureUsage(r.specs[int(size)/2], length)
	return []float64{100 * o.cpu, o.sent, o.received, float64(o.resident) / 1e6}, err
}

// measureRequests sends calls to a plain service. The scheduling host receives none itself, so its usage is that of
// scheduling alone.
func measureRequests(bin string, size float64, length time.Duration) ([]float64, error) {
	r, err := newTestbed(bin)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.publish(baseRecords("cost")...)
	r.addPlain("git-1", "git", "zone-a", 20*time.Millisecond, 256)
	r.addHosts("zone-a", 2)
	if err := r.start(); err != nil {
		return nil, err
	}
	scheduler, err := r.schedulingHost("git", "zone-a")
	if err != nil {
		return nil, err
	}
	entry, err := r.nonSchedulingHost("git", "zone-a")
	if err != nil {
		return nil, err
	}
	beforeS, _ := r.usage(scheduler)
	beforeE, _ := r.usage(entry)
	c := fleet.NewCaller("school-key").WithHeader("Fireflyshift-Tier", "top")
	runOpenLoop(size, length, 3, func(ctx context.Context, _ int, _ time.Time) {
		c.Call(ctx, "GET", entry.Callers, "git", "x", nil)
	})
	afterS, err := r.usage(scheduler)
	if err != nil {
		return nil, err
	}
	afterE, err := r.usage(entry)
	return []float64{100 * rateBetween(beforeS, afterS).cpu, rateBetween(beforeE, afterE).sent, rateBetween(beforeS, afterS).sent}, err
}

func measureEngines(bin string, size float64, length time.Duration) ([]float64, error) {
	r, err := newTestbed(bin)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.publish(baseRecords("cost")...)
	o := engine.DefaultOptions()
	o.Step = 50 * time.Millisecond
	for i := 0; i < int(size); i++ {
		r.addEngine(fmt.Sprint("e", i), "notes", "zone-a", o)
	}
	r.addHosts("zone-a", 1)
	if err := r.start(); err != nil {
		return nil, err
	}
	v, err := r.measureUsage(r.specs[0], length)
	return []float64{100 * v.cpu, float64(v.resident) / 1e6}, err
}

func measureRecords(bin string, size float64, _ time.Duration) ([]float64, error) {
	r, err := newTestbed(bin)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.publish(baseRecords("cost")...)
	for i := 0; i < int(size); i++ {
		r.publish(fleet.Workspace(fmt.Sprintf("workspace-%05d", i), fmt.Sprint("key", i), []string{"top", "mid", "low"}, 1))
	}
	r.addHosts("zone-a", 1)
	started := time.Now()
	if err := r.start(); err != nil {
		return nil, err
	}
	took := time.Since(started) - time.Second // without the fixed wait in start
	time.Sleep(time.Second)
	u, err := r.usage(r.specs[0])
	return []float64{float64(u.resident) / 1e6, milliseconds(took)}, err
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureChanges publishes configuration changes to a zone of eight hosts with 1,600 workspaces.
func measureChanges(bin string, size float64, length time.Duration) ([]float64, error) {
	r, err := newTestbed(bin)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.publish(baseRecords("cost")...)
	for i := 0; i < 1600; i++ {
		r.publish(fleet.Workspace(fmt.Sprintf("workspace-%05d", i), fmt.Sprint("key", i), []string{"top", "mid", "low"}, 1))
	}
	r.addHosts("zone-a", 8)
	if err := r.start(); err != nil {
		return nil, err
	}
	reader := r.specs[0]
	for _, s := range r.specs {
		if st, err := r.status(s); err == nil && st.Reading {
			reader = s
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / size))
		defer ticker.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			r.publish(fleet.Workspace(fmt.Sprintf("workspace-%05d", i%1600), fmt.Sprint("key", i%1600), []string{"top", "mid"}, 1))
			<-ticker.C
		}
	}()
	v, err := r.measureUsage(reader, length)
	return []float64{100 * v.cpu, v.sent}, err
}

// measureZones runs one zone of four hosts and other zones of two hosts. Each zone has servers of nine services, so that
// the digests between zones have the number of rows of the target fleet.
func measureZones(bin string, size float64, length time.Duration) ([]float64, error) {
	const services = 9
	r, err := newTestbed(bin)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.publish(baseRecords("cost")...)
	for s := 0; s < services; s++ {
		name := fmt.Sprint("model-", s)
		r.publish(fleet.Service(name, record.ServicePlain, "cost", "mid"))
		for z := 0; z <= int(size); z++ {
			zone := fmt.Sprintf("zone-%d", z)
			r.publish(fleet.Backend(name+"-"+zone, name, zone, "127.0.0.1:9", 8, "active"))
		}
	}
	r.addHosts("zone-0", 4)
	for z := 1; z <= int(size); z++ {
		r.addHosts(fmt.Sprintf("zone-%d", z), 2)
	}
	if err := r.start(); err != nil {
		return nil, err
	}
	v, err := r.measureUsage(r.specs[0], length)
	return []float64{100 * v.cpu, v.sent, v.received}, err
}

// Machine describes the machine by Go version and number of processors, without naming it.
func Machine() string {
	return fmt.Sprintf("%s, %d processors", runtime.Version(), runtime.NumCPU())
}
