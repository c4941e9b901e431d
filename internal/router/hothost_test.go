package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// minHotServed is the least share of requests that must be served at their first attempt while most new connections go to one
// host, compared with the seconds before.
const minHotServed = 0.75

// hotHost sends requests of one service to the hosts of a fleet, at some time nine of ten to a single one.
type hotHost struct {
	z             *zone
	hot           *zoneHost
	asked, served int
}

// run sends perSecond requests a second for a time and returns the share that is sent to a backend server. They go to any host,
// or nine of ten to the hot one.
func (o *hotHost) run(d time.Duration, perSecond float64) float64 {
	z := o.z
	o.asked, o.served = 0, 0
	for end := z.now + d; z.now < end; {
		z.run(zoneStep, 0)
		if z.rng.Float64() >= perSecond/1000 {
			continue
		}
		h := z.hosts[z.rng.IntN(len(z.hosts))]
		if o.hot != nil && z.rng.IntN(10) < 9 {
			h = o.hot
		}
		z.next++
		o.asked++
		z.runs[z.next] = &zoneRun{host: h, submittedAt: z.now}
		z.post(h, Submit{ID: z.next, Route: fragile, PromptTok: 100, OutputTok: 20, Deadline: z.now - h.startedAt + 10*time.Second})
	}
	z.run(200*time.Millisecond, 0)
	return float64(o.served) / float64(o.asked)
}

// Guards against a limit that all hosts share in fixed parts: a host that gets most connections used up its own part, and
// refused the rest while the parts of others were unused.
func TestHotHostUsesTheRatesOfOthers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ zones, hosts, engines int }{{3, 2, 2}, {3, 3, 2}, {3, 6, 2}} {
		for _, used := range []float64{0.3, 0.6} {
			t.Run(fmt.Sprintf("%d zones of %d, %g used", c.zones, c.hosts, used), func(t *testing.T) {
				t.Parallel()
				const perEngine = 10
				f := newLimitFleet(t, c.zones, c.hosts, c.engines)
				f.state(perEngine, f.engineNames()...)
				o := &hotHost{z: f.zone}
				arrive := f.onDispatch
				f.onDispatch = func(h *zoneHost, e Dispatch) {
					arrive(h, e)
					o.served++
					f.runs[e.ID].ends = f.now + 100*time.Millisecond
				}
				perSecond := used * perEngine * float64(c.zones*c.engines)
				o.run(5*time.Second, perSecond)
				before := o.run(10*time.Second, perSecond)
				o.hot = f.hosts[1]
				o.run(3*time.Second, perSecond)
				after := o.run(10*time.Second, perSecond)
				t.Logf("served at the first attempt: %.2f before, %.2f after", before, after)
				require.GreaterOrEqual(t, after, minHotServed*before)
				require.Empty(t, f.overLimit(true), "the rates hold")
			})
		}
	}
}

// Guards against lenders that grant more than their shares: one host gets three times what the engines take.
func TestLentSlotsKeepTheRates(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{2, 6} {
		f := newLimitFleet(t, 3, hosts, 2)
		const perEngine = 5
		f.state(perEngine, f.engineNames()...)
		arrive, sent := f.onDispatch, 0
		f.onDispatch = func(h *zoneHost, e Dispatch) {
			arrive(h, e)
			sent++
			f.runs[e.ID].ends = f.now + 100*time.Millisecond
		}
		o := &hotHost{z: f.zone, hot: f.hosts[1]}
		o.run(15*time.Second, 3*perEngine*6)
		require.Empty(t, f.overLimit(true), "%d hosts a zone", hosts)
		require.Greater(t, sent, 15*perEngine*6/2, "the rates are used")
	}
}

// Guards against the same for cold backend servers: all have just started, and one host gets most requests.
func TestHotHostUsesColdServersOfOthers(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, 3, 3, 2)
	o := &hotHost{z: f.zone}
	dispatched := f.onDispatch
	f.onDispatch = func(h *zoneHost, e Dispatch) {
		if dispatched != nil {
			dispatched(h, e)
		}
		o.served++
		f.runs[e.ID].ends = f.now + 50*time.Millisecond
	}
	perSecond := 0.3 * testColdRate * 6
	serve := func() float64 {
		for i := range 3 {
			f.enginesReturn(i, f.hosts...)
		}
		f.run(time.Second, 0)
		return o.run(testColdFor-time.Second, perSecond)
	}
	before := serve()
	o.hot = f.hosts[1]
	after := serve()
	t.Logf("served at the first attempt: %.2f before, %.2f after", before, after)
	require.GreaterOrEqual(t, after, minHotServed*before)
}
