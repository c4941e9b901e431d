// Package test runs integration tests against real daemon processes whose connections pass through a fault-injecting
// proxy. The platform and the backend servers are fakes inside the test process.
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
	waitTimeout  = 20 * time.Second // far above the expected times, so that no result depends on the speed of the machine
	workspaceKey = "school-key"
)

// raceBinDir holds the binaries built with the race detector. noRaceBinDir holds a daemon built without it, for tests that
// measure memory: the detector's own memory would hide the daemon's.
var raceBinDir, noRaceBinDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fireflyshift-test-")
	if err == nil {
		raceBinDir = dir
		noRaceBinDir = filepath.Join(dir, "unraced")
		goBuild("-race", "-o", dir+"/", "../cmd/fireflyshiftd", "../cmd/fireflyctl")
		goBuild("-o", noRaceBinDir+"/", "../cmd/fireflyshiftd")
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func goBuild(args ...string) {
	out, err := exec.Command("go", append([]string{"build"}, args...)...).CombinedOutput()
	if err != nil {
		fmt.Println(string(out))
		os.Exit(1)
	}
}

// testbed is a small cluster on loopback. Every connection between two hosts, from a host to the platform and from a host
// to a backend server passes through a proxy that can be stopped.
type testbed struct {
	t               *testing.T
	dir             string
	proxyServer     *toxiproxy.ApiServer
	platform        *platform.Platform
	platformAddr    string
	engines         map[string]*engine.Engine
	plainServices   map[string]*plain.Service
	hostSpecs       map[string]fleet.HostSpec
	hosts           map[string]*fleet.Process
	hostIDs         []string
	peerProxies     map[[2]string]*toxiproxy.Proxy
	platformProxies map[string]*toxiproxy.Proxy
	backendProxies  map[string]*toxiproxy.Proxy
	extraSettings   string
	binDir          string
	exited          []*fleet.Process
}

func newTestbed(t *testing.T, hosts ...string) *testbed {
	b := &testbed{t: t, dir: t.TempDir(), binDir: raceBinDir, platform: platform.New(), engines: map[string]*engine.Engine{}, plainServices: map[string]*plain.Service{},
		hostSpecs: map[string]fleet.HostSpec{}, hosts: map[string]*fleet.Process{}, peerProxies: map[[2]string]*toxiproxy.Proxy{},
		platformProxies: map[string]*toxiproxy.Proxy{}, backendProxies: map[string]*toxiproxy.Proxy{}}
	b.proxyServer = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	addr, stop := fleet.Serve(b.platform.Handler())
	b.platformAddr = addr
	t.Cleanup(stop)
	t.Cleanup(b.close)
	b.publishDefaults()
	for _, id := range hosts {
		b.addHost(id)
	}
	b.publishHosts()
	return b
}

// addHost allocates the addresses and proxies of a host. Its zone is named after the first letter of its ID.
func (b *testbed) addHost(id string) {
	spec := fleet.NewHostSpec(id, "zone-"+id[:1], "")
	b.platformProxies[id] = b.startProxy("platform-"+id, b.platformAddr)
	spec.Platform = b.platformProxies[id].Listen
	for _, other := range b.hostIDs {
		o := b.hostSpecs[other]
		b.peerProxies[[2]string{id, other}] = b.startProxy(id+"-"+other, o.Peers)
		b.peerProxies[[2]string{other, id}] = b.startProxy(other+"-"+id, spec.Peers)
		spec.Routes = append(spec.Routes, other+"="+b.peerProxies[[2]string{id, other}].Listen)
		o.Routes = append(o.Routes, id+"="+b.peerProxies[[2]string{other, id}].Listen)
		b.hostSpecs[other] = o
	}
	b.hostSpecs[id] = spec
	b.hostIDs = append(b.hostIDs, id)
}

func (b *testbed) startProxy(name, upstream string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy(b.proxyServer, name, fleet.FreeAddr(), upstream)
	require.NoError(b.t, p.Start())
	b.t.Cleanup(p.Stop)
	return p
}

func (b *testbed) publishHosts() {
	var list []platform.Host
	for _, id := range b.hostIDs {
		s := b.hostSpecs[id]
		list = append(list, platform.Host{ID: id, Zone: s.Zone, Addr: s.Peers, Role: "entry", State: "live"})
	}
	b.platform.SetHosts(list)
}

func (b *testbed) publishDefaults() {
	for _, r := range []record.Raw{
		fleet.Tier("top", 10, 0, 10_000),
		fleet.Tier("mid", 5, 0, 20_000),
		fleet.Tier("low", 1, 0, 30_000),
		fleet.Workspace("school", workspaceKey, []string{"top", "mid", "low"}, 1),
		fleet.Service("notes", record.ServiceModel, "cost", "mid"),
		fleet.Service("git", record.ServicePlain, "cost", "top"),
	} {
		b.platform.PublishRaw(r)
	}
}

func (b *testbed) addEngine(name, zone string, o engine.Options) *engine.Engine {
	e := engine.New(o)
	b.t.Cleanup(e.Close)
	addr, stop := fleet.Serve(e.Handler())
	b.t.Cleanup(stop)
	b.engines[name] = e
	b.backendProxies[name] = b.startProxy("server-"+name, addr)
	b.platform.PublishRaw(fleet.Backend(name, "notes", zone, b.backendProxies[name].Listen, o.Batch, "active"))
	return e
}

func (b *testbed) addPlainService(name, zone string, work time.Duration) *plain.Service {
	s := plain.New(work)
	addr, stop := fleet.Serve(s.Handler())
	b.t.Cleanup(stop)
	b.plainServices[name] = s
	b.backendProxies[name] = b.startProxy("server-"+name, addr)
	b.platform.PublishRaw(fleet.Backend(name, "git", zone, b.backendProxies[name].Listen, 16, "active"))
	return s
}

// start starts all hosts and waits until they are ready and have discovered their zone peers.
func (b *testbed) start() *testbed {
	for _, id := range b.hostIDs {
		b.startHost(id)
	}
	b.awaitReady()
	return b
}

func (b *testbed) startHost(id string) {
	spec := b.hostSpecs[id]
	spec.Extra = b.extraSettings
	p, err := fleet.StartHost(filepath.Join(b.binDir, "fireflyshiftd"), b.dir, spec)
	require.NoError(b.t, err)
	if old := b.hosts[id]; old != nil {
		b.exited = append(b.exited, old)
	}
	b.hosts[id] = p
}

func (b *testbed) awaitReady() {
	for _, id := range b.hostIDs {
		require.True(b.t, fleet.Ready(waitTimeout, b.hostSpecs[id].Admin), "host %s is not ready:\n%s", id, b.hosts[id].Log)
	}
	b.awaitPeers()
}

func (b *testbed) awaitPeers() {
	for _, id := range b.hostIDs {
		zone := b.hostSpecs[id].Zone
		want := 0
		for _, other := range b.hostIDs {
			if other != id && b.hostSpecs[other].Zone == zone {
				want++
			}
		}
		require.True(b.t, fleet.WaitUntil(waitTimeout, func() bool {
			n := 0
			for _, p := range b.status(id).Peers {
				if p.Alive {
					n++
				}
			}
			return n == want
		}), "host %s does not see all its zone peers as alive", id)
	}
}

func (b *testbed) status(id string) core.Status {
	var s core.Status
	_, text, err := fleet.Get("http://" + b.hostSpecs[id].Admin + "/status")
	if err == nil {
		_ = json.Unmarshal([]byte(text), &s)
	}
	return s
}

// schedulerOf waits until a host of the zone schedules the service's group, and returns its ID.
func (b *testbed) schedulerOf(service, zone string) string {
	found := ""
	require.True(b.t, fleet.WaitUntil(waitTimeout, func() bool {
		for _, id := range b.hostIDs {
			if b.hostSpecs[id].Zone != zone {
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

// otherHost returns the ID of a host in the zone other than excluded, and fails the test if there is none.
func (b *testbed) otherHost(zone, excluded string) string {
	for _, id := range b.hostIDs {
		if b.hostSpecs[id].Zone == zone && id != excluded {
			return id
		}
	}
	b.t.Fatalf("no other host in %s", zone)
	return ""
}

// partitionZones stops the proxies between two zones in both directions; heal restarts them.
func (b *testbed) partitionZones(x, y string) (heal func()) {
	var cut []*toxiproxy.Proxy
	for pair, p := range b.peerProxies {
		zones := [2]string{b.hostSpecs[pair[0]].Zone, b.hostSpecs[pair[1]].Zone}
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

// close kills the remaining processes and fails the test if the log of any daemon reports a violated invariant or a data race.
func (b *testbed) close() {
	for _, p := range b.hosts {
		p.Kill()
		b.exited = append(b.exited, p)
	}
	for _, p := range b.exited {
		require.NotContains(b.t, p.Log.String(), "An invariant does not hold")
		require.NotContains(b.t, p.Log.String(), "DATA RACE")
	}
}

func (b *testbed) addr(id string) string { return b.hostSpecs[id].Callers }

func (b *testbed) newCaller() *fleet.Caller { return fleet.NewCaller(workspaceKey) }

func tierCaller(tier string) *fleet.Caller {
	return fleet.NewCaller(workspaceKey).WithHeader("Fireflyshift-Tier", tier)
}

func testCtx(t *testing.T) context.Context {
	c, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	t.Cleanup(cancel)
	return c
}

// fullAnswer is the complete answer that any fake engine gives to a prompt.
func fullAnswer(prompt string, tokens int) string { return engine.Answer("user\n"+prompt+"\n", tokens) }

func (b *testbed) runsByRequest() map[string]int {
	out := map[string]int{}
	for _, e := range b.engines {
		for id, n := range e.Stats().Runs {
			out[id] += n
		}
	}
	return out
}

// requireNoneRanTwice asserts that no request ran more than once on any engine or plain service.
func (b *testbed) requireNoneRanTwice() {
	for id, n := range b.runsByRequest() {
		require.Equal(b.t, 1, n, "request %s ran %d times", id, n)
	}
	for _, s := range b.plainServices {
		for id, n := range s.Runs() {
			require.Equal(b.t, 1, n, "request %s ran %d times", id, n)
		}
	}
}

// loadGenerator sends requests from several workers until stop is called, and collects the answers.
type loadGenerator struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	answers []fleet.Response
	cancel  context.CancelFunc
}

func startLoad(n int, call func(worker, i int) fleet.Response) *loadGenerator {
	c, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{cancel: cancel}
	for w := 0; w < n; w++ {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for i := 0; c.Err() == nil; i++ {
				a := call(w, i)
				l.mu.Lock()
				l.answers = append(l.answers, a)
				l.mu.Unlock()
			}
		}()
	}
	return l
}

func (l *loadGenerator) stop() []fleet.Response {
	l.cancel()
	l.wg.Wait()
	return l.answers
}

func (l *loadGenerator) answerCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers)
}

func fastEngine() engine.Options {
	o := engine.DefaultOptions()
	o.Step = 2 * time.Millisecond
	return o
}

func countOutcomes(answers []fleet.Response) string {
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

func runCtl(args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(raceBinDir, "fireflyctl"), args...)
	out, _ := cmd.CombinedOutput()
	return strings.TrimSpace(string(out)), cmd.ProcessState.ExitCode()
}
