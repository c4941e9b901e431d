package router

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/routing"
)

// spillFleet is a load fleet with the callers of each zone as a source of its own, which records the requests that hosts send to
// other zones early.
type spillFleet struct {
	*loadFleet
	zones []*loadSource
	// capacity is what the engines of one zone serve in a second.
	capacity float64
	// demand returns the demand of a zone as a multiple of its capacity.
	demand   func(zone int, at time.Duration) float64
	began    time.Duration
	arrivals *rand.Rand // the same with and without early spill
	// sentAt is when a zone last sent a request early to another one, spilled how many it has sent, crossed how many requests went to
	// another zone for any reason.
	sentAt          map[[2]string]time.Duration
	spilled         map[string]int
	crossed         int
	mutual, longest time.Duration
}

func newSpillFleet(t testing.TB, hosts, engines int, admission AdmissionSettings, early bool) *spillFleet {
	f := &spillFleet{loadFleet: newLoadFleet(t, 3, hosts, engines, admission), arrivals: rand.New(rand.NewPCG(3, 4)),
		sentAt: map[[2]string]time.Duration{}, spilled: map[string]int{}}
	f.capacity = float64(engines * loadCapacity)
	for _, h := range f.hosts {
		f.post(h, SettingsChanged{Seeds: h.r.opt.Seeds, Bounds: h.r.opt.Bounds, Admission: admission,
			Balancing: BalancingSettings{EarlySpill: early}})
	}
	for i := range 3 {
		s := f.add(0, fmt.Sprintf("w%d", i))
		s.zone, s.retries = fmt.Sprintf("z%d", i), 1
		f.zones = append(f.zones, s)
	}
	f.demand = func(int, time.Duration) float64 { return 0 }
	f.onStepEnd = f.observe
	carryOut := f.onEffect
	f.onEffect = func(h *zoneHost, e Effect) bool {
		d, ok := e.(Dispatch)
		if ok && d.Backend.Zone != h.zone {
			f.crossed++
		}
		if ok && d.Basis.Spill.Zone != "" {
			require.Equal(t, d.Backend.Zone, d.Basis.Spill.Zone)
			require.NotEqual(t, h.zone, d.Basis.Spill.Zone)
			require.Equal(t, 1, f.calls[d.ID].attempts, "only first attempts go early")
			f.sentAt[[2]string{h.zone, d.Backend.Zone}] = f.now
			f.spilled[h.zone]++
		}
		return carryOut(h, e)
	}
	f.began = f.now
	return f
}

// recentSpill is how long a zone counts as sending requests to another one after the last.
const recentSpill = 100 * time.Millisecond

func (f *spillFleet) observe() {
	for i, s := range f.zones {
		s.perSecond = 0
		if f.arrivals.Float64() < zoneStep.Seconds()*f.capacity*f.demand(i, f.now-f.began) {
			s.perSecond = 1 / zoneStep.Seconds()
		}
	}
	mutual := false
	for pair, at := range f.sentAt {
		back, ok := f.sentAt[[2]string{pair[1], pair[0]}]
		mutual = mutual || ok && f.now-at < recentSpill && f.now-back < recentSpill
	}
	if !mutual {
		f.mutual = 0
		return
	}
	f.mutual += zoneStep
	f.longest = max(f.longest, f.mutual)
}

// inTime returns the callers that had their first event within the target latency, and all of them.
func (f *spillFleet) inTime() (inTime, all int) {
	for _, c := range f.callers {
		all++
		if c.served && c.firstAt-c.began <= loadRoute.Target {
			inTime++
		}
	}
	return inTime, all
}

// wave is a demand between 0.45 and 1.55 of its mean whose peak moves from zone to zone.
func wave(mean float64, period, lag time.Duration) func(int, time.Duration) float64 {
	return func(zone int, at time.Duration) float64 {
		return mean * (1 + 0.55*math.Sin(2*math.Pi*(at-time.Duration(zone)*lag).Seconds()/period.Seconds()))
	}
}

func (f *spillFleet) finish() {
	f.demand = func(int, time.Duration) float64 { return 0 }
	f.run(loadDeadline, 0)
}

type spillCase struct {
	name           string
	hosts, engines int
	mean           float64
	period, lag    time.Duration
	admission      AdmissionSettings
	// refusals is the greatest allowed part of the refusals without early spill; zero if there is no bound.
	refusals float64
}

var spillCases = []spillCase{
	{"9 hosts", 3, 3, 0.85, 15 * time.Second, 5 * time.Second, AdmissionSettings{}, 0},
	{"9 hosts with queues", 3, 3, 0.85, 15 * time.Second, 5 * time.Second, loadQueues, 0},
	{"30 hosts", 10, 8, 0.85, 15 * time.Second, 5 * time.Second, AdmissionSettings{}, 0.6},
	{"30 hosts with queues", 10, 8, 0.85, 15 * time.Second, 5 * time.Second, loadQueues, 0},
	{"30 hosts, peaks 1.2 s apart", 10, 8, 0.8, 3600 * time.Millisecond, 1200 * time.Millisecond, AdmissionSettings{}, 0},
	{"30 hosts, peaks 1.2 s apart, with queues", 10, 8, 0.8, 3600 * time.Millisecond, 1200 * time.Millisecond, loadQueues, 0},
}

// play runs one case, whose callers are of the least urgent priority: engines hold none of them beyond their slots.
func (c *spillCase) play(t testing.TB, early bool) *spillFleet {
	f := newSpillFleet(t, c.hosts, c.engines, c.admission, early)
	for _, s := range f.zones {
		s.rank = func() float64 { return routing.LeastUrgent }
	}
	f.run(2*time.Second, 0)
	f.demand, f.began = wave(c.mean, c.period, c.lag), f.now
	f.run(15*time.Second, 0)
	f.finish()
	return f
}

// refusedAtFirst returns the callers that were refused at least once.
func (f *spillFleet) refusedAtFirst() int {
	n := 0
	for _, c := range f.callers {
		if len(c.refusals) > 0 {
			n++
		}
	}
	return n
}

// Guards against callers that are late or refused at the peak of their zone while other zones have idle engines, and against zones
// that send to each other.
func TestPeaksThatFollowOneAnotherAreServed(t *testing.T) {
	for _, c := range spillCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			without, with := c.play(t, false), c.play(t, true)
			for _, f := range []*spillFleet{without, with} {
				inTime, all := f.inTime()
				t.Logf("%d of %d in time, %d refused at first, %d sent to other zones, of these early %v, zones sent to each other for %v",
					inTime, all, f.refusedAtFirst(), f.crossed, f.spilled, f.longest)
			}
			require.Empty(t, without.spilled)
			require.Len(t, with.spilled, 3)
			inTime, all := with.inTime()
			require.GreaterOrEqual(t, inTime, all*95/100)
			require.LessOrEqual(t, with.longest, 500*time.Millisecond)
			if c.refusals > 0 {
				require.LessOrEqual(t, float64(with.refusedAtFirst()), c.refusals*float64(without.refusedAtFirst()))
			}
		})
	}
}
