// Package measure runs daemons with stand-ins on loopback and measures the latency overhead of a host, the slopes of the
// capacity page, and the scheduling policies. Every figure is a ratio or a slope within one run.
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

// Threads is the number of processors of each entry host; entry hosts are small machines.
var Threads = 2

// testbed is a running fleet.
type testbed struct {
	bin          string
	dir          string
	platform     *platform.Platform
	platformAddr string
	specs        []fleet.HostSpec
	hosts        map[string]*fleet.Process
	engines      map[string]*engine.Engine
	stopFuncs    []func()
}

func newTestbed(bin string) (*testbed, error) {
	dir, err := os.MkdirTemp("", "fireflyshift-measure-")
	if err != nil {
		return nil, err
	}
	r := &testbed{bin: bin, dir: dir, platform: platform.New(), hosts: map[string]*fleet.Process{}, engines: map[string]*engine.Engine{}}
	addr, stop := fleet.Serve(r.platform.Handler())
	r.platformAddr = addr
	r.stopFuncs = append(r.stopFuncs, stop)
	return r, nil
}

func (r *testbed) close() {
	for _, p := range r.hosts {
		p.Kill()
	}
	for _, e := range r.engines {
		e.Close()
	}
	for _, stop := range r.stopFuncs {
		stop()
	}
	_ = os.RemoveAll(r.dir)
}

func (r *testbed) publish(records ...record.Raw) {
	for _, rec := range records {
		r.platform.PublishRaw(rec)
	}
}

func (r *testbed) addEngine(name, service, zone string, o engine.Options) string {
	e := engine.New(o)
	addr, stop := fleet.Serve(e.Handler())
	r.engines[name] = e
	r.stopFuncs = append(r.stopFuncs, stop)
	r.publish(fleet.Backend(name, service, zone, addr, o.Batch, "active"))
	return addr
}

func (r *testbed) addPlain(name, service, zone string, work time.Duration, slots int) string {
	addr, stop := fleet.Serve(plain.New(work).Handler())
	r.stopFuncs = append(r.stopFuncs, stop)
	r.publish(fleet.Backend(name, service, zone, addr, slots, "active"))
	return addr
}

// addHosts adds n hosts of a zone, which start runs.
func (r *testbed) addHosts(zone string, n int) {
	for i := 1; i <= n; i++ {
		s := fleet.NewHostSpec(fmt.Sprintf("%s-h%d", zone, i), zone, r.platformAddr)
		s.Threads = Threads
		r.specs = append(r.specs, s)
	}
}

// start starts all hosts and waits until they are ready and have received heartbeats of the others in their zone.
func (r *testbed) start() error {
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
			return err == nil && st.Ready && countAlivePeers(st) == zones[s.Zone]-1
		})
		if !up {
			return fmt.Errorf("host %s is not ready or has not found all other hosts of its zone", s.ID)
		}
	}
	time.Sleep(time.Second) // long enough for the zones to exchange their summaries
	return nil
}

func (r *testbed) startHost(s fleet.HostSpec) error {
	p, err := fleet.StartHost(filepath.Join(r.bin, "fireflyshiftd"), r.dir, s)
	r.hosts[s.ID] = p
	return err
}

func countAlivePeers(s core.Status) int {
	n := 0
	for _, p := range s.Peers {
		if p.Alive {
			n++
		}
	}
	return n
}

func (r *testbed) status(s fleet.HostSpec) (core.Status, error) {
	var st core.Status
	return st, getJSON("http://"+s.Admin+"/status", &st)
}

// schedulingHost returns the host of a zone that schedules a service.
func (r *testbed) schedulingHost(service, zone string) (fleet.HostSpec, error) {
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
	return fleet.HostSpec{}, fmt.Errorf("no host schedules %s in %s", service, zone)
}

// nonSchedulingHost returns a host of a zone that does not schedule a service, or the scheduling host if there is no
// other.
func (r *testbed) nonSchedulingHost(service, zone string) (fleet.HostSpec, error) {
	scheduler, err := r.schedulingHost(service, zone)
	if err != nil {
		return scheduler, err
	}
	for _, s := range r.specs {
		if s.Zone == zone && s.ID != scheduler.ID {
			return s, nil
		}
	}
	return scheduler, nil
}

func getJSON(url string, into any) error {
	_, text, err := fleet.Get(url)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(text), into)
}

// usage is a host's cumulative resource usage since its start.
type usage struct {
	cpu      time.Duration
	resident int64 // bytes
	sent     int64 // bytes to other hosts
	received int64
	messages int64
	at       time.Time
}

func (r *testbed) usage(s fleet.HostSpec) (usage, error) {
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
	u.resident = residentBytes(pid)
	var m map[string]map[string]float64
	if err := getJSON("http://"+s.Admin+"/metrics", &m); err != nil {
		return u, err
	}
	u.sent, u.received = int64(m["peer.sent_bytes"]["count"]), int64(m["peer.received_bytes"]["count"])
	u.messages = int64(m["peer.sent_messages"]["count"])
	return u, nil
}

func residentBytes(pid int) int64 {
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

// usageRate is a host's resource usage per second between two readings.
type usageRate struct {
	cpu, sent, received, messages float64 // cores, bytes, bytes, messages
	resident                      int64
}

func rateBetween(a, b usage) usageRate {
	t := b.at.Sub(a.at).Seconds()
	return usageRate{
		cpu:      (b.cpu - a.cpu).Seconds() / t,
		sent:     float64(b.sent-a.sent) / t,
		received: float64(b.received-a.received) / t,
		messages: float64(b.messages-a.messages) / t,
		resident: b.resident,
	}
}

// baseRecords returns the tiers, services and workspaces that the measurements share.
func baseRecords(policy string) []record.Raw {
	return []record.Raw{
		fleet.Tier("top", 10, 0, 10_000),
		fleet.Tier("mid", 5, 0, 20_000),
		fleet.Tier("low", 1, 0, 30_000),
		fleet.Service("notes", record.ServiceModel, policy, "mid"),
		fleet.Service("git", record.ServicePlain, policy, "top"),
		fleet.Workspace("school", "school-key", []string{"top", "mid", "low"}, 1),
	}
}
