// Package measure drives real daemons against stand-ins on loopback and reports what they do: the
// overhead of a host, the slopes of the capacity page, and policies against each other. Every figure
// is a ratio or a slope inside one run. It is not part of the product.
package measure

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"fireflyshift/internal/core"
	"fireflyshift/internal/record"
	"fireflyshift/internal/standin/engine"
	"fireflyshift/internal/standin/fleet"
	"fireflyshift/internal/standin/plain"
	"fireflyshift/internal/standin/platform"
)

const (
	startTimeout = 30 * time.Second
)

// Threads is the processors of an entry host: they are small machines.
var Threads = 2

// rig is a running fleet.
type rig struct {
	bin      string
	dir      string
	platform *platform.Platform
	platAddr string
	specs    []fleet.HostSpec
	hosts    map[string]*fleet.Process
	engines  map[string]*engine.Engine
	stops    []func()
}

func newRig(bin string) (*rig, error) {
	dir, err := os.MkdirTemp("", "fireflyshift-measure-")
	if err != nil {
		return nil, err
	}
	r := &rig{bin: bin, dir: dir, platform: platform.New(), hosts: map[string]*fleet.Process{}, engines: map[string]*engine.Engine{}}
	addr, stop := fleet.Serve(r.platform.Handler())
	r.platAddr = addr
	r.stops = append(r.stops, stop)
	return r, nil
}

func (r *rig) close() {
	for _, p := range r.hosts {
		p.Kill()
	}
	for _, e := range r.engines {
		e.Close()
	}
	for _, stop := range r.stops {
		stop()
	}
	_ = os.RemoveAll(r.dir)
}

func (r *rig) publish(records ...record.Raw) {
	for _, rec := range records {
		r.platform.PublishRaw(rec)
	}
}

func (r *rig) addEngine(name, service, zone string, o engine.Options) string {
	e := engine.New(o)
	addr, stop := fleet.Serve(e.Handler())
	r.engines[name] = e
	r.stops = append(r.stops, stop)
	r.publish(fleet.Backend(name, service, zone, addr, o.Batch, "active"))
	return addr
}

func (r *rig) addPlain(name, service, zone string, work time.Duration, slots int) string {
	addr, stop := fleet.Serve(plain.New(work).Handler())
	r.stops = append(r.stops, stop)
	r.publish(fleet.Backend(name, service, zone, addr, slots, "active"))
	return addr
}

// addHosts plans n hosts of a zone.
func (r *rig) addHosts(zone string, n int) {
	for i := 1; i <= n; i++ {
		s := fleet.NewHostSpec(fmt.Sprintf("%s-h%d", zone, i), zone, r.platAddr)
		s.Threads = Threads
		r.specs = append(r.specs, s)
	}
}

// start runs all hosts and waits until they are ready and see each other.
func (r *rig) start() error {
	var list []platform.Host
	zones := map[string]int{}
	for _, s := range r.specs {
		list = append(list, platform.Host{ID: s.ID, Zone: s.Zone, Addr: s.Peers, Role: "entry", State: "live"})
		zones[s.Zone]++
	}
	r.platform.SetHosts(list)
	for _, s := range r.specs {
		if err := r.startHost(s); err != nil {
			return err
		}
	}
	for _, s := range r.specs {
		up := fleet.WaitUntil(startTimeout, func() bool {
			st, err := r.status(s)
			return err == nil && st.Ready && alive(st) == zones[s.Zone]-1
		})
		if !up {
			return fmt.Errorf("host %s does not see its zone", s.ID)
		}
	}
	time.Sleep(time.Second) // zones exchange their summaries
	return nil
}

func (r *rig) startHost(s fleet.HostSpec) error {
	p, err := fleet.StartHost(filepath.Join(r.bin, "fireflyshiftd"), r.dir, s)
	r.hosts[s.ID] = p
	return err
}

func alive(s core.Status) int {
	n := 0
	for _, p := range s.Peers {
		if p.Alive {
			n++
		}
	}
	return n
}

func (r *rig) status(s fleet.HostSpec) (core.Status, error) {
	var st core.Status
	return st, getJSON("http://"+s.Admin+"/status", &st)
}

// scheduler finds the host of a zone that schedules a service.
func (r *rig) scheduler(service, zone string) (fleet.HostSpec, error) {
	for _, s := range r.specs {
		st, err := r.status(s)
		if err != nil || s.Zone != zone {
			continue
		}
		for _, g := range st.Groups {
			if g.Service == service {
				return s, nil
			}
		}
	}
	return fleet.HostSpec{}, fmt.Errorf("nobody schedules %s in %s", service, zone)
}

// notScheduling finds a host of a zone that does not schedule a service.
func (r *rig) notScheduling(service, zone string) (fleet.HostSpec, error) {
	not, err := r.scheduler(service, zone)
	if err != nil {
		return not, err
	}
	for _, s := range r.specs {
		if s.Zone == zone && s.ID != not.ID {
			return s, nil
		}
	}
	return not, nil
}

func getJSON(url string, into any) error {
	_, text, err := fleet.Get(url)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(text), into)
}

// usage is what a process has used since its start.
type usage struct {
	cpu      time.Duration
	resident int64 // bytes
	sent     int64 // bytes between hosts
	received int64
	messages int64
	at       time.Time
}

func (r *rig) usage(s fleet.HostSpec) (usage, error) {
	u := usage{at: time.Now()}
	pid := r.hosts[s.ID].Pid()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, tick = 11, 12, 10 * time.Millisecond
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	u.cpu = time.Duration(user+system) * tick
	u.resident = residentOf(pid)
	var m map[string]map[string]float64
	if err := getJSON("http://"+s.Admin+"/metrics", &m); err != nil {
		return u, err
	}
	u.sent, u.received = int64(m["peer.sent_bytes"]["count"]), int64(m["peer.received_bytes"]["count"])
	u.messages = int64(m["peer.sent_messages"]["count"])
	return u, nil
}

func residentOf(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// over is what a host used between two readings, per second.
type over struct {
	cpu, sent, received, messages float64 // cores, bytes, bytes, messages
	resident                      int64
}

func since(a, b usage) over {
	t := b.at.Sub(a.at).Seconds()
	return over{
		cpu:      (b.cpu - a.cpu).Seconds() / t,
		sent:     float64(b.sent-a.sent) / t,
		received: float64(b.received-a.received) / t,
		messages: float64(b.messages-a.messages) / t,
		resident: b.resident,
	}
}

// basics are the tiers, services and workspaces that the measurements share.
func basics(policy string) []record.Raw {
	return []record.Raw{
		fleet.Tier("top", 10, 0, 10_000),
		fleet.Tier("mid", 5, 0, 20_000),
		fleet.Tier("low", 1, 0, 30_000),
		fleet.Service("notes", record.ServiceModel, policy, "mid"),
		fleet.Service("git", record.ServicePlain, policy, "top"),
		fleet.Workspace("school", "school-key", []string{"top", "mid", "low"}, 1),
	}
}
