// Package test proves the promises with real processes behind a fault-injecting proxy. The platform
// and the backend servers are stand-ins inside the test process; the hosts are daemons.
package test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/core"
	"fireflyshift/internal/record"
	"fireflyshift/internal/standin/engine"
	"fireflyshift/internal/standin/fleet"
	"fireflyshift/internal/standin/plain"
	"fireflyshift/internal/standin/platform"
)

const (
	patience = 20 * time.Second // far over what is expected: no verdict hangs on the clock
	school   = "school-key"
)

// binaries is the folder of the programs under test, built with the race detector; the daemon built
// without it is in unraced: the detector's own memory would hide the daemon's.
var binaries, unraced string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fireflyshift-test-")
	if err == nil {
		binaries = dir
		unraced = filepath.Join(dir, "unraced")
		build("-race", "-o", dir+"/", "../cmd/fireflyshiftd", "../cmd/fireflyctl")
		build("-o", unraced+"/", "../cmd/fireflyshiftd")
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func build(args ...string) {
	out, err := exec.Command("go", append([]string{"build"}, args...)...).CombinedOutput()
	if err != nil {
		fmt.Println(string(out))
		os.Exit(1)
	}
}

// bed is a small system on loopback. Every way between two hosts, from a host to the platform and
// to a backend server goes through a proxy that can be cut.
type bed struct {
	t        *testing.T
	dir      string
	proxies  *toxiproxy.ApiServer
	platform *platform.Platform
	platAddr string
	engines  map[string]*engine.Engine
	plains   map[string]*plain.Service
	specs    map[string]fleet.HostSpec
	hosts    map[string]*fleet.Process
	order    []string
	pairs    map[[2]string]*toxiproxy.Proxy
	toPlat   map[string]*toxiproxy.Proxy
	toServer map[string]*toxiproxy.Proxy
	extra    string
	programs string
	ended    []*fleet.Process
}

func newBed(t *testing.T, hosts ...string) *bed {
	b := &bed{t: t, dir: t.TempDir(), programs: binaries, platform: platform.New(), engines: map[string]*engine.Engine{}, plains: map[string]*plain.Service{},
		specs: map[string]fleet.HostSpec{}, hosts: map[string]*fleet.Process{}, pairs: map[[2]string]*toxiproxy.Proxy{},
		toPlat: map[string]*toxiproxy.Proxy{}, toServer: map[string]*toxiproxy.Proxy{}}
	b.proxies = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	addr, stop := fleet.Serve(b.platform.Handler())
	b.platAddr = addr
	t.Cleanup(stop)
	t.Cleanup(b.close)
	b.publishBasics()
	for _, id := range hosts {
		b.plan(id)
	}
	b.listHosts()
	return b
}

// plan chooses the addresses of a host; its zone is the first letter of its id.
func (b *bed) plan(id string) {
	spec := fleet.NewHostSpec(id, "zone-"+id[:1], "")
	b.toPlat[id] = b.proxy("platform-"+id, b.platAddr)
	spec.Platform = b.toPlat[id].Listen
	for _, other := range b.order {
		o := b.specs[other]
		b.pairs[[2]string{id, other}] = b.proxy(id+"-"+other, o.Peers)
		b.pairs[[2]string{other, id}] = b.proxy(other+"-"+id, spec.Peers)
		spec.Routes = append(spec.Routes, other+"="+b.pairs[[2]string{id, other}].Listen)
		o.Routes = append(o.Routes, id+"="+b.pairs[[2]string{other, id}].Listen)
		b.specs[other] = o
	}
	b.specs[id] = spec
	b.order = append(b.order, id)
}

func (b *bed) proxy(name, upstream string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy(b.proxies, name, fleet.FreeAddr(), upstream)
	require.NoError(b.t, p.Start())
	b.t.Cleanup(p.Stop)
	return p
}

func (b *bed) listHosts() {
	var list []platform.Host
	for _, id := range b.order {
		s := b.specs[id]
		list = append(list, platform.Host{ID: id, Zone: s.Zone, Addr: s.Peers, Role: "entry", State: "live"})
	}
	b.platform.SetHosts(list)
}

func (b *bed) publishBasics() {
	for _, r := range []record.Raw{
		fleet.Tier("top", 10, 0, 10_000),
		fleet.Tier("mid", 5, 0, 20_000),
		fleet.Tier("low", 1, 0, 30_000),
		fleet.Workspace("school", school, []string{"top", "mid", "low"}, 1),
		fleet.Service("notes", record.ServiceModel, "cost", "mid"),
		fleet.Service("git", record.ServicePlain, "cost", "top"),
	} {
		b.platform.PublishRaw(r)
	}
}

func (b *bed) addEngine(name, zone string, o engine.Options) *engine.Engine {
	e := engine.New(o)
	b.t.Cleanup(e.Close)
	addr, stop := fleet.Serve(e.Handler())
	b.t.Cleanup(stop)
	b.engines[name] = e
	b.toServer[name] = b.proxy("server-"+name, addr)
	b.platform.PublishRaw(fleet.Backend(name, "notes", zone, b.toServer[name].Listen, o.Batch, "active"))
	return e
}

func (b *bed) addPlain(name, zone string, work time.Duration) *plain.Service {
	s := plain.New(work)
	addr, stop := fleet.Serve(s.Handler())
	b.t.Cleanup(stop)
	b.plains[name] = s
	b.toServer[name] = b.proxy("server-"+name, addr)
	b.platform.PublishRaw(fleet.Backend(name, "git", zone, b.toServer[name].Listen, 16, "active"))
	return s
}

// start runs the hosts and waits until all are ready and know each other.
func (b *bed) start() *bed {
	for _, id := range b.order {
		b.startHost(id)
	}
	b.awaitReady()
	return b
}

func (b *bed) startHost(id string) {
	spec := b.specs[id]
	spec.Extra = b.extra
	p, err := fleet.StartHost(filepath.Join(b.programs, "fireflyshiftd"), b.dir, spec)
	require.NoError(b.t, err)
	if old := b.hosts[id]; old != nil {
		b.ended = append(b.ended, old)
	}
	b.hosts[id] = p
}

func (b *bed) awaitReady() {
	for _, id := range b.order {
		require.True(b.t, fleet.Ready(patience, b.specs[id].Admin), "host %s is not ready:\n%s", id, b.hosts[id].Log)
	}
	b.awaitPeers()
}

func (b *bed) awaitPeers() {
	for _, id := range b.order {
		zone := b.specs[id].Zone
		want := 0
		for _, other := range b.order {
			if other != id && b.specs[other].Zone == zone {
				want++
			}
		}
		require.True(b.t, fleet.WaitUntil(patience, func() bool {
			n := 0
			for _, p := range b.status(id).Peers {
				if p.Alive {
					n++
				}
			}
			return n == want
		}), "host %s does not see its zone", id)
	}
}

func (b *bed) status(id string) core.Status {
	var s core.Status
	_, text, err := fleet.Get("http://" + b.specs[id].Admin + "/status")
	if err == nil {
		_ = json.Unmarshal([]byte(text), &s)
	}
	return s
}

// scheduler finds the host that schedules a service's group in a zone.
func (b *bed) scheduler(service, zone string) string {
	found := ""
	require.True(b.t, fleet.WaitUntil(patience, func() bool {
		for _, id := range b.order {
			if b.specs[id].Zone != zone {
				continue
			}
			for _, g := range b.status(id).Groups {
				if g.Service == service {
					found = id
					return true
				}
			}
		}
		return false
	}))
	return found
}

// other names a host of a zone that is not the one given.
func (b *bed) other(zone, not string) string {
	for _, id := range b.order {
		if b.specs[id].Zone == zone && id != not {
			return id
		}
	}
	b.t.Fatalf("no other host in %s", zone)
	return ""
}

// cutZones cuts all ways between two zones, in both directions; the returned function heals them.
func (b *bed) cutZones(x, y string) (heal func()) {
	var cut []*toxiproxy.Proxy
	for pair, p := range b.pairs {
		zones := [2]string{b.specs[pair[0]].Zone, b.specs[pair[1]].Zone}
		if zones == [2]string{x, y} || zones == [2]string{y, x} {
			p.Stop()
			cut = append(cut, p)
		}
	}
	return func() {
		for _, p := range cut {
			require.NoError(b.t, p.Start())
		}
	}
}

// close kills what still runs, and fails the test if any daemon has seen an invariant broken.
func (b *bed) close() {
	for _, p := range b.hosts {
		p.Kill()
		b.ended = append(b.ended, p)
	}
	for _, p := range b.ended {
		require.NotContains(b.t, p.Log.String(), "An invariant does not hold")
		require.NotContains(b.t, p.Log.String(), "DATA RACE")
	}
}

func (b *bed) callers(id string) string { return b.specs[id].Callers }

func (b *bed) caller() *fleet.Caller { return fleet.NewCaller(school) }

func tiered(tier string) *fleet.Caller {
	return fleet.NewCaller(school).WithHeader("Fireflyshift-Tier", tier)
}

func ctx(t *testing.T) context.Context {
	c, cancel := context.WithTimeout(context.Background(), 2*patience)
	t.Cleanup(cancel)
	return c
}

// expected is the whole answer of any stand-in engine to a prompt.
func expected(prompt string, tokens int) string { return engine.Answer("user\n"+prompt+"\n", tokens) }

func (b *bed) engineRuns() map[string]int {
	out := map[string]int{}
	for _, e := range b.engines {
		for id, n := range e.Stats().Runs {
			out[id] += n
		}
	}
	return out
}

// requireOnce asserts that no request ran twice on any engine or plain service.
func (b *bed) requireOnce() {
	for id, n := range b.engineRuns() {
		require.Equal(b.t, 1, n, "request %s ran %d times", id, n)
	}
	for _, s := range b.plains {
		for id, n := range s.Runs() {
			require.Equal(b.t, 1, n, "request %s ran %d times", id, n)
		}
	}
}

// load sends requests from several callers until stop is called, and gathers the answers.
type load struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	answers []fleet.Response
	cancel  context.CancelFunc
}

func startLoad(n int, one func(worker, i int) fleet.Response) *load {
	c, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for w := 0; w < n; w++ {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for i := 0; c.Err() == nil; i++ {
				a := one(w, i)
				l.mu.Lock()
				l.answers = append(l.answers, a)
				l.mu.Unlock()
			}
		}()
	}
	return l
}

func (l *load) stop() []fleet.Response {
	l.cancel()
	l.wg.Wait()
	return l.answers
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers)
}

func fastEngine() engine.Options {
	o := engine.DefaultOptions()
	o.Step = 2 * time.Millisecond
	return o
}

func summarise(answers []fleet.Response) string {
	kinds := map[string]int{}
	for _, a := range answers {
		switch {
		case a.OK():
			kinds["whole"]++
		case a.Err != nil:
			kinds["error: "+a.Err.Error()]++
		default:
			kinds[a.ErrorKind]++
		}
	}
	return fmt.Sprint(kinds)
}

func ctl(args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(binaries, "fireflyctl"), args...)
	out, _ := cmd.CombinedOutput()
	return strings.TrimSpace(string(out)), cmd.ProcessState.ExitCode()
}
