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

// slope is one line of the capacity page.
type slope struct {
	name string
	unit string
	// sizes are at least four.
	sizes []float64
	// at measures several quantities at one size, in the order of names.
	names []string
	at    func(bin string, size float64, length time.Duration) ([]float64, error)
}

// slowEngine keeps requests waiting or streaming without much work.
func slowEngine(n int, kind string) engine.Options {
	o := engine.DefaultOptions()
	o.Step, o.StepPerSeq = 500*time.Millisecond, 0
	o.Batch = n/9 + 1
	if kind == "streaming" {
		o.Batch = min(n, record.MaxSlots)
		o.PrefillPerStep = 1 << 20
	}
	return o
}

var slopes = []slope{
	{"zone", "hosts in the zone", []float64{4, 12, 24, 45}, []string{"cpu (% of a core)", "sent (B/s)", "received (B/s)", "resident (MB)"}, measureZone},
	{"request", "requests a second through one entry host and one scheduling host", []float64{10, 30, 60, 120},
		[]string{"scheduler cpu (% of a core)", "entry sent (B/s)", "scheduler sent (B/s)"}, measureRequests},
	{"engines", "engines heard by one scheduler", []float64{4, 8, 16, 32}, []string{"cpu (% of a core)", "resident (MB)"}, measureEngines},
	{"records", "workspaces in force", []float64{200, 800, 1600, 3200}, []string{"resident (MB)", "start (ms)"}, measureRecords},
	{"changes", "configuration changes a second", []float64{1, 2, 4, 8}, []string{"cpu (% of a core)", "sent (B/s)"}, measureChanges},
	{"zones", "other availability zones", []float64{1, 3, 6, 10}, []string{"cpu (% of a core)", "sent (B/s)", "received (B/s)"}, measureZones},
}

// Capacity measures every slope, or only those named, and prints it beside the page's figure.
func Capacity(out io.Writer, bin, page string, length time.Duration, only []string) error {
	written := readPage(page)
	for _, s := range slopes {
		if len(only) > 0 && !slices.Contains(only, s.name) {
			continue
		}
		if err := s.run(out, bin, written, length); err != nil {
			return fmt.Errorf("slope %s: %w", s.name, err)
		}
	}
	return nil
}

func (s slope) run(out io.Writer, bin string, written map[string]float64, length time.Duration) error {
	fmt.Fprintf(out, "\n%s: per %s\n", s.name, s.unit)
	columns := make([][]float64, len(s.names))
	for _, size := range s.sizes {
		values, err := s.at(bin, size, length)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "  %6.0f:", size)
		for i, v := range values {
			columns[i] = append(columns[i], v)
			fmt.Fprintf(out, "  %s %.4g", s.names[i], v)
		}
		fmt.Fprintln(out)
	}
	for i, name := range s.names {
		f := fitLine(s.sizes, columns[i])
		key := s.name + "/" + name
		beside := "not on the page yet"
		if w, ok := written[key]; ok {
			beside = fmt.Sprintf("page %.4g", w)
		}
		fmt.Fprintf(out, "  slope %-45s %10.4g  base %10.4g  worst point %3.0f%%  %s\n", key, f.slope, f.base, 100*f.worst, beside)
	}
	return nil
}

// pageLine is a row of the page: | `zone/cpu (% of a core)` | 0.02 | ...
var pageLine = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([-0-9.e]+) \\|")

func readPage(path string) map[string]float64 {
	out := map[string]float64{}
	data, err := os.ReadFile(path)
	if err != nil {
		return out
	}
	for _, m := range pageLine.FindAllStringSubmatch(string(data), -1) {
		if v, err := strconv.ParseFloat(m[2], 64); err == nil {
			out[m[1]] = v
		}
	}
	return out
}

// observe reads one host over a length of time.
func (r *rig) observe(s fleet.HostSpec, length time.Duration) (over, error) {
	before, err := r.usage(s)
	if err != nil {
		return over{}, err
	}
	time.Sleep(length)
	after, err := r.usage(s)
	return since(before, after), err
}

// measureZone runs idle hosts: heartbeats, duties and the watch are all they do.
func measureZone(bin string, size float64, length time.Duration) ([]float64, error) {
	r, err := newRig(bin)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.publish(basics("cost")...)
	r.addHosts("zone-a", int(size))
	if err := r.start(); err != nil {
		return nil, err
	}
	o, err := r.observe(r.specs[int(size)/2], length)
	return []float64{100 * o.cpu, o.sent, o.received, float64(o.resident) / 1e6}, err
}

// measureRequests sends plain calls; the scheduling host takes none itself, so that all it does is
// control.
func measureRequests(bin string, size float64, length time.Duration) ([]float64, error) {
	r, err := newRig(bin)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.publish(basics("cost")...)
	r.addPlain("git-1", "git", "zone-a", 20*time.Millisecond, 256)
	r.addHosts("zone-a", 2)
	if err := r.start(); err != nil {
		return nil, err
	}
	scheduler, err := r.scheduler("git", "zone-a")
	if err != nil {
		return nil, err
	}
	entry, err := r.notScheduling("git", "zone-a")
	if err != nil {
		return nil, err
	}
	beforeS, _ := r.usage(scheduler)
	beforeE, _ := r.usage(entry)
	c := fleet.NewCaller("school-key").WithHeader("Fireflyshift-Tier", "top")
	openLoop(size, length, 3, func(ctx context.Context, _ int, _ time.Time) {
		c.Call(ctx, "GET", entry.Callers, "git", "x", nil)
	})
	afterS, err := r.usage(scheduler)
	if err != nil {
		return nil, err
	}
	afterE, err := r.usage(entry)
	return []float64{100 * since(beforeS, afterS).cpu, since(beforeE, afterE).sent, since(beforeS, afterS).sent}, err
}

func measureEngines(bin string, size float64, length time.Duration) ([]float64, error) {
	r, err := newRig(bin)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.publish(basics("cost")...)
	o := engine.DefaultOptions()
	o.Step = 50 * time.Millisecond
	for i := 0; i < int(size); i++ {
		r.addEngine(fmt.Sprint("e", i), "notes", "zone-a", o)
	}
	r.addHosts("zone-a", 1)
	if err := r.start(); err != nil {
		return nil, err
	}
	v, err := r.observe(r.specs[0], length)
	return []float64{100 * v.cpu, float64(v.resident) / 1e6}, err
}

func measureRecords(bin string, size float64, _ time.Duration) ([]float64, error) {
	r, err := newRig(bin)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.publish(basics("cost")...)
	for i := 0; i < int(size); i++ {
		r.publish(fleet.Workspace(fmt.Sprintf("workspace-%05d", i), fmt.Sprint("key", i), []string{"top", "mid", "low"}, 1))
	}
	r.addHosts("zone-a", 1)
	started := time.Now()
	if err := r.start(); err != nil {
		return nil, err
	}
	took := time.Since(started) - time.Second // the rig's own wait
	time.Sleep(time.Second)
	u, err := r.usage(r.specs[0])
	return []float64{float64(u.resident) / 1e6, ms(took)}, err
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureChanges publishes changes into a zone of eight hosts that hold 1,600 workspaces.
func measureChanges(bin string, size float64, length time.Duration) ([]float64, error) {
	r, err := newRig(bin)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.publish(basics("cost")...)
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
	v, err := r.observe(reader, length)
	return []float64{100 * v.cpu, v.sent}, err
}

// measureZones runs one zone of four hosts beside other zones of two, each with servers of nine
// services, so that the digests between zones have the target's number of rows.
func measureZones(bin string, size float64, length time.Duration) ([]float64, error) {
	const services = 9
	r, err := newRig(bin)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.publish(basics("cost")...)
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
	v, err := r.observe(r.specs[0], length)
	return []float64{100 * v.cpu, v.sent, v.received}, err
}

// Machine describes where a run was made, without naming it.
func Machine() string {
	return fmt.Sprintf("%s, %d processors", runtime.Version(), runtime.NumCPU())
}
