package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// demand is a load of the specification as a multiple of the capacity.
type demand struct {
	name string
	at   func(seconds float64) float64
	peak float64 // upper bound of at
	end  float64 // seconds
}

func demands() []demand {
	sustained := func(times float64) demand {
		return demand{fmt.Sprintf("%v times for 8 s", times), func(float64) float64 { return times }, times, 8}
	}
	wave := func(t float64) float64 { return 0.9 * (1 - 0.55*math.Cos(2*math.Pi*t/15)) }
	peak := func(t float64) float64 {
		if t >= 2 && t < 5 {
			return 2
		}
		return 0.2
	}
	return []demand{sustained(1.3), sustained(1.6), {"wave", wave, 1.4, 45}, {"peak of twice for 3 s", peak, 2, 12}}
}

// servers are slots and answers: their capacity is that of slots of mean speed.
type servers struct {
	name    string
	slots   int
	spread  float64 // speed of the fastest slot by that of the slowest
	service func(r *rand.Rand) time.Duration
	mean    time.Duration // of service
	delay   time.Duration // longest delay of a first event beyond the predicted time
	equal   bool          // all callers have the same priority
}

func serverKinds() []servers {
	const shortest, longest = 0.2, 3.0
	even := func(*rand.Rand) time.Duration { return testService }
	long := func(r *rand.Rand) time.Duration {
		return time.Duration((shortest + (longest-shortest)*r.Float64()) * float64(time.Second))
	}
	mean := time.Duration((shortest + longest) / 2 * float64(time.Second))
	return []servers{
		{name: "even slots", slots: testSlots, spread: 1, service: even, mean: testService},
		{name: "uneven slots", slots: testSlots, spread: 4, service: even, mean: testService},
		{name: "answers of 0.2 to 3 s", slots: testSlots, spread: 1, service: long, mean: mean},
		{name: "uneven slots, answers of 0.2 to 3 s", slots: testSlots, spread: 4, service: long, mean: mean},
		{name: "six slots, answers of 0.2 to 3 s", slots: 6, spread: 4, service: long, mean: mean},
		{name: "first events up to 0.4 s late", slots: testSlots, spread: 4, service: long, mean: mean, delay: 400 * time.Millisecond},
		{name: "one priority, even slots", slots: testSlots, spread: 1, service: even, mean: testService, equal: true},
		{name: "one priority, uneven slots, answers of 0.2 to 3 s", slots: testSlots, spread: 4, service: long, mean: mean, equal: true},
		{name: "one priority, six slots, answers of 0.2 to 3 s", slots: 6, spread: 4, service: long, mean: mean, equal: true},
	}
}

// speeds returns the speeds of the slots in increasing order, 1 in the mean.
func (s servers) speeds() []float64 {
	speeds, sum := make([]float64, s.slots), 0.0
	for i := range speeds {
		speeds[i] = math.Pow(s.spread, float64(i)/float64(s.slots-1))
		sum += speeds[i]
	}
	for i := range speeds {
		speeds[i] *= float64(s.slots) / sum
	}
	return speeds
}

const (
	testPriorities = 3
	// seedsPerService is the number of seeds times the requests served per second.
	seedsPerService = 300
)

// arrivals returns callers of three priorities and eight workspaces.
func (s servers) arrivals(d demand, seed uint64) []caller {
	r := rand.New(rand.NewPCG(seed, 2))
	var sources [testPriorities * 8]source
	for i := range sources {
		sources[i] = source{workspace: fmt.Sprint(i % 8), priority: i % testPriorities, asTold: true}
		if s.equal {
			sources[i].priority = 0
		}
	}
	perSecond := float64(s.slots) / s.mean.Seconds()
	var callers []caller
	for t := 0.0; ; {
		t += r.ExpFloat64() / (perSecond * d.peak)
		if t >= d.end {
			return callers
		}
		if r.Float64()*d.peak >= d.at(t) {
			continue
		}
		delay := time.Duration(0)
		if s.delay > 0 {
			delay = time.Duration(r.Int64N(int64(s.delay)))
		}
		callers = append(callers, caller{delay: delay,
			source: &sources[r.IntN(len(sources))], begun: time.Duration(t * float64(time.Second)),
			service: s.service(r), retryAfter: 150*time.Millisecond + time.Duration(r.Int64N(int64(850*time.Millisecond)))})
	}
}

// simulate returns what became of the callers of each priority, and of all.
func (s servers) simulate(d demand, seed uint64, queue bool) [testPriorities + 1]result {
	l := newLoad(seed)
	l.free = s.speeds()
	l.queue.SetRoom(s.slots, s.mean)
	if !queue {
		l.queue = nil
	}
	for _, c := range s.arrivals(d, seed) {
		l.at(c.begun, func(at time.Duration) {
			l.callers = append(l.callers, &c)
			l.try(&c, at)
		})
	}
	l.run(time.Duration((d.end + 20) * float64(time.Second)))
	var all [testPriorities + 1]result
	for p := range testPriorities {
		all[p] = l.count(func(c *caller) bool { return c.source.priority == p })
	}
	all[testPriorities] = l.count(func(*caller) bool { return true })
	return all
}

// compare returns the sums of simulate without and with the queue, over more seeds the fewer requests the slots serve.
func (s servers) compare(d demand) (without, with [testPriorities + 1]result) {
	for seed := range uint64(1 + seedsPerService*s.mean.Seconds()/float64(s.slots)) {
		w, q := s.simulate(d, seed, false), s.simulate(d, seed, true)
		for i := range w {
			without[i].add(w[i])
			with[i].add(q[i])
		}
	}
	return without, with
}

func (r *result) add(other result) {
	r.callers += other.callers
	r.served += other.served
	r.onTime += other.onTime
}

// Guards against a queue whose late callers take slots that others would have used in time, or that leaves slots idle after a peak
// because everybody was told to return later.
func TestServiceInTime(t *testing.T) {
	t.Parallel()
	for _, s := range serverKinds() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for _, d := range demands() {
				without, with := s.compare(d)
				for i, r := range with {
					t.Logf("%s, priority %d (%d is all): in time, late, refused %d, %d, %d; without the queue %d, %d, %d", d.name, i, testPriorities,
						r.onTime, r.served-r.onTime, r.callers-r.served, without[i].onTime, without[i].served-without[i].onTime, without[i].callers-without[i].served)
				}
				assert.GreaterOrEqual(t, with[testPriorities].onTime, without[testPriorities].onTime, "%s: in time", d.name)
				assert.GreaterOrEqual(t, with[testPriorities].served, without[testPriorities].served, "%s: in all", d.name)
				if s.equal {
					continue
				}
				for p := range testPriorities - 1 {
					assert.GreaterOrEqual(t, with[p].onTimeShare(), with[p+1].onTimeShare(), "%s: priority %d in time", d.name, p)
					assert.GreaterOrEqual(t, with[p].share(), with[p+1].share(), "%s: priority %d in all", d.name, p)
				}
			}
		})
	}
}

func (r result) onTimeShare() float64 { return float64(r.onTime) / float64(max(r.callers, 1)) }
