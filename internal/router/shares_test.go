package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fireflyshift/internal/routing"
)

const (
	// maxIdle is the time of a few datagrams: the report of an end, the offer and the request's own way.
	maxIdle = 8 * time.Millisecond
	// waitSlack is what a request may wait beyond its patience. Hosts look at it every zoneTick steps.
	waitSlack = 20*time.Millisecond + zoneTick*zoneStep
	// shareError is how far the work of a saturated workspace may be from its weighted max-min share.
	shareError = 0.2
)

// maxMin divides capacity by weighted max-min: each gets its demand, or a part of the rest in proportion to its weight.
func maxMin(capacity float64, demands, weights []float64) []float64 {
	shares := make([]float64, len(demands))
	open := map[int]bool{}
	for i := range demands {
		open[i] = true
	}
	for len(open) > 0 {
		sum, next := 0.0, -1
		for i := range open {
			sum += weights[i]
			if next < 0 || demands[i]/weights[i] < demands[next]/weights[next] {
				next = i
			}
		}
		shares[next] = min(demands[next], capacity*weights[next]/sum)
		capacity -= shares[next]
		delete(open, next)
	}
	return shares
}

// waitingAt returns the number of requests that wait at a host as an owner.
func waitingAt(h *zoneHost) int {
	n := 0
	for _, s := range h.r.queues.byService {
		n += len(s.waiting)
	}
	return n
}

// watchIdle records engines with a free slot whose owner has requests waiting.
func (f *loadFleet) watchIdle() {
	since := map[string]time.Duration{}
	f.idleLong = map[string]time.Duration{}
	f.onStepEnd = func() {
		for _, h := range f.hosts {
			if h.dead || waitingAt(h) == 0 {
				for _, b := range h.r.owned() {
					delete(since, h.ip+b.ID)
				}
				continue
			}
			for _, b := range h.r.owned() {
				key := h.ip + b.ID
				if e := f.engines[b.ID]; e.running+len(e.queue) >= loadSlots || f.apart(h.zone, b.Zone) || !h.r.grantable(b) {
					delete(since, key)
				} else if from, ok := since[key]; !ok {
					since[key] = f.now
				} else if f.now-from > maxIdle {
					f.idleLong[b.ID] = max(f.idleLong[b.ID], f.now-from)
				}
			}
		}
	}
}

// sharesWorld is a fleet with workspaces of several weights, demands and costs.
type sharesWorld struct {
	seed                  uint64
	zones, hosts, engines int
	weights, loads        []float64 // loads are demands as parts of the capacity
	costs                 []time.Duration
	urgent                float64 // demand of a workspace that goes first
	fault                 string
}

func drawSharesWorld(t *rapid.T) sharesWorld {
	w := sharesWorld{seed: rapid.Uint64().Draw(t, "seed"), zones: rapid.IntRange(1, 3).Draw(t, "zones")}
	w.hosts = rapid.IntRange((3+w.zones)/w.zones, 40/w.zones).Draw(t, "hosts of a zone")
	w.engines = rapid.IntRange(1, 3).Draw(t, "engines of a zone")
	for range rapid.IntRange(2, 5).Draw(t, "workspaces") {
		w.weights = append(w.weights, rapid.SampledFrom([]float64{0.5, 1, 2, 4}).Draw(t, "weight"))
		w.loads = append(w.loads, rapid.SampledFrom([]float64{0.1, 0.3, 0.8, 2}).Draw(t, "load"))
		w.costs = append(w.costs, rapid.SampledFrom([]time.Duration{100, 200, 400}).Draw(t, "cost")*time.Millisecond)
	}
	w.urgent = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "urgent load")
	w.fault = rapid.SampledFrom([]string{"", "", "restart", "kill", "start", "cut"}).Draw(t, "fault")
	return w
}

// play runs the world and checks it.
func (w sharesWorld) play(t testing.TB, rt require.TestingT) {
	f := newLoadFleet(t, w.zones, w.hosts, w.engines, loadQueues)
	f.loadFleetChecks(rt, w)
}

func (f *loadFleet) loadFleetChecks(rt require.TestingT, w sharesWorld) {
	f.t, f.rng = rt, rand.New(rand.NewPCG(w.seed, 1))
	capacity := float64(len(f.engines) * loadSlots) // seconds of slots a second
	var demands []float64
	for i, load := range w.loads {
		s := f.add(load*capacity/w.costs[i].Seconds(), fmt.Sprintf("w%d", i))
		s.workspace = &routing.Workspace{Name: s.workspace.Name, Weight: w.weights[i]}
		s.cost, s.retries, s.rank = w.costs[i], 1, func() float64 { return 1 }
		demands = append(demands, load*capacity)
	}
	sources := slices.Clone(f.sources)
	f.add(w.urgent*capacity/loadService.Seconds(), "urgent")
	switch h := f.hosts[f.rng.IntN(len(f.hosts))]; w.fault {
	case "restart":
		f.restart(h)
	case "kill":
		if owners := f.owners(); len(owners) > 0 {
			f.kill(f.byIP[owners[0]])
		}
	case "start":
		f.kill(h)
		f.start(h)
	case "cut":
		f.cutZone = "z0"
	}
	f.run(5*time.Second, 0)
	if w.fault == "" {
		f.watchIdle()
	}
	from, watched := f.now, 5*time.Second
	f.run(watched, 0)
	f.sources, f.cutZone = nil, ""
	until := f.now
	// A caller refused in the last moment returns up to a third of its time later and may wait again.
	f.run(loadPatience+10*time.Second, 0)
	f.onStepEnd = nil

	if w.fault != "cut" || w.zones == 1 {
		want := maxMin(capacity*(1-w.urgent), demands, w.weights)
		for i, s := range sources {
			work := 0.0
			for _, c := range f.callers {
				if c.source == s && c.firstAt >= from && c.firstAt < until {
					work += s.cost.Seconds()
				}
			}
			work /= watched.Seconds()
			if want[i] < demands[i] {
				require.InEpsilon(rt, want[i], work, shareError, "work of workspace %d a second, of %v; all should have %v of %v", i, capacity, want, demands)
			}
		}
	}
	require.LessOrEqual(rt, f.longestOver, waitSlack, "a request waits beyond its patience")
	require.Empty(rt, f.idleLong, "engines with a free slot while requests wait at their owner")
	for _, h := range f.hosts {
		require.Zero(rt, waitingAt(h), "requests wait at %s when all is over", h.ip)
		require.True(rt, h.dead || h.r.Requests() == 0, "open requests at %s", h.ip)
	}
}

// Guards against shares that depend on how a workspace's requests are spread, on their number or on their length, and against
// requests that run twice, are refused as not run when they have run, wait beyond their patience, wait while slots are free, or
// stay queued for ever.
func TestSharesFollowTheWeights(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) { drawSharesWorld(rt).play(t, rt) })
}

// The same for a fixed fleet of six hosts, of which an owner is killed in one case.
func TestSharesOfSixHosts(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"", "kill"} {
		sharesWorld{seed: 1, zones: 3, hosts: 2, engines: 2, weights: []float64{0.5, 2, 1}, loads: []float64{2, 2, 0.1},
			costs: []time.Duration{loadService / 2, 2 * loadService, loadService}, urgent: 0.2, fault: fault}.play(t, t)
	}
}

// The same in a fleet of 300 hosts.
func TestSharesFollowTheWeightsAtScale(t *testing.T) {
	t.Parallel()
	sharesWorld{seed: 1, zones: 3, hosts: 100, engines: 10, weights: []float64{1, 1, 2}, loads: []float64{0.1, 0.9, 0.9},
		costs: []time.Duration{loadService, loadService, 2 * loadService}, urgent: 0.1}.play(t, t)
}

// Guards against hosts of a fleet just above maxFullMesh that take it for a small one for ever, because they have forgotten the other
// zone's hosts: neither zone then knows the owners of the other, and its hosts send there without asking.
func TestTwoZonesOfAnySizeFindEachOther(t *testing.T) {
	t.Parallel()
	for hosts := maxFullMesh/2 + 1; hosts <= maxFullMesh; hosts++ {
		z := newZones(t, 2, hosts, 3)
		z.run(10*time.Second, 0)
		for _, h := range z.hosts {
			assert.Equal(t, 2*hosts, h.r.hostCount(), "hosts known to %s of two zones of %d", h.ip, hosts)
		}
	}
}
