package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	slots = 6
	pause = 50 * time.Millisecond
	// apart is the time between two observations.
	apart = 100 * time.Millisecond
)

// engine is a simulated engine whose curve is learned from streams of 20 events.
type engine struct {
	curve    Curve
	now      time.Duration
	interval func(held int) time.Duration
}

func steep(held int) time.Duration {
	if held == slots {
		return 80 * time.Millisecond
	}
	return time.Duration(8+held) * time.Millisecond
}

func flat(held int) time.Duration { return time.Duration(8+held) * time.Millisecond }

// observe adds n streams at so many requests.
func (e *engine) observe(n, held int) {
	for range n {
		e.now += apart
		e.curve.Observe(e.now, held, e.interval(held), 20)
	}
}

func (e *engine) limit() int { return e.curve.Limit(e.now, slots, pause) }

// full runs the engine for a time with as many requests as its limit allows.
func (e *engine) full(d time.Duration) {
	for end := e.now + d; e.now < end; {
		e.observe(1, e.limit())
	}
}

// Guards against a limit that is set without evidence.
func TestSlotsAreTheLimitWithoutObservations(t *testing.T) {
	var c Curve
	require.Equal(t, slots, c.Limit(time.Second, slots, pause))
	require.Equal(t, 1, c.Limit(time.Second, 0, pause))
	_, ok := c.Interval(time.Second, 3)
	require.False(t, ok)
	e := engine{interval: steep}
	e.observe(minObservations-1, slots)
	require.Equal(t, slots, e.limit())
}

// Guards against a limit that takes longer than ten streams to be learned, as after a change of the owner.
func TestLimitIsLearnedWithinTenStreams(t *testing.T) {
	e := engine{interval: steep}
	e.observe(10, slots)
	require.Equal(t, slots-1, e.limit())
}

// Guards against slots whose use lowers the work per second, where no longest pause tells so.
func TestLimitIsWhereTheWorkIsGreatest(t *testing.T) {
	e := engine{interval: steep}
	e.observe(5, slots-1)
	e.observe(5, slots)
	require.Equal(t, slots-1, e.curve.Limit(e.now, slots, 0))
	e = engine{interval: flat}
	for held := 1; held <= slots; held++ {
		e.observe(5, held)
	}
	require.Equal(t, slots, e.curve.Limit(e.now, slots, 0))
}

// Guards against a lower limit than half of the slots, whatever was observed.
func TestLimitIsAtLeastHalfOfTheSlots(t *testing.T) {
	e := engine{interval: func(held int) time.Duration { return time.Duration(held) * time.Second }}
	for held := slots; held >= 1; held-- {
		e.observe(5, held)
	}
	require.Equal(t, slots/2, e.curve.Learned(e.now, slots, pause))
}

// Guards against an engine that is always full and so never shows that one request fewer would raise its work.
func TestOneFewerIsTriedAtAFullEngine(t *testing.T) {
	e := engine{interval: steep}
	tried := time.Duration(0)
	for e.now < 20*time.Second {
		limit := e.curve.Limit(e.now, slots, 0)
		require.GreaterOrEqual(t, limit, slots-1)
		if limit < slots && tried == 0 {
			tried = e.now
		}
		e.observe(1, limit)
	}
	require.Less(t, tried, 10*time.Second)
	require.Equal(t, slots-1, e.curve.Learned(e.now, slots, 0))
}

// Guards against a wrong estimate that costs slots for good, and against trials that cost more streams than a tenth.
func TestLowerLimitIsTriedOneHigher(t *testing.T) {
	e := engine{interval: steep}
	e.observe(5, slots)
	above, all := 0, 0
	for e.now < 60*time.Second {
		limit := e.limit()
		require.GreaterOrEqual(t, limit, slots-1)
		if all++; limit == slots {
			above++
		}
		e.observe(1, limit)
	}
	require.Positive(t, above)
	require.Less(t, above, all/10)

	e.interval = flat // the estimate was wrong, or no longer holds
	e.full(maxTrialInterval + maxTrial)
	require.Equal(t, slots, e.curve.Learned(e.now, slots, pause))
}

// Guards against a false limit of half of the slots that is lifted slowly.
func TestWrongEstimatesAreCorrected(t *testing.T) {
	e := engine{interval: func(int) time.Duration { return time.Second }}
	for held := slots; held >= slots/2; held-- {
		e.observe(4, held)
	}
	require.Equal(t, slots/2, e.limit())
	e.interval = flat
	e.full(15 * time.Second)
	require.Equal(t, slots, e.curve.Learned(e.now, slots, pause))
}

// Guards against a wrong estimate that outweighs what trials show, and against trials that raise the limit by one in many seconds.
func TestTrialsRaiseTheLimitInTurn(t *testing.T) {
	e := engine{interval: func(int) time.Duration { return time.Second }}
	for held := slots; held > slots/2; held-- {
		e.observe(4, held)
	}
	e.interval = flat
	e.observe(5, slots/2)
	require.Equal(t, slots/2, e.limit())
	e.full(trialInterval + apart)
	began := e.now
	for held := slots/2 + 1; held <= slots; held++ {
		e.full(trialSuccessInterval + 5*apart)
		require.GreaterOrEqual(t, e.curve.Learned(e.now, slots, pause), held, "after %s", e.now-began)
	}
}

// Guards against estimates of a time that has passed: they expire, unless others near them are current.
func TestEstimatesExpire(t *testing.T) {
	e := engine{interval: steep}
	e.observe(5, slots)
	e.now += estimateTTL
	require.Equal(t, slots-1, e.curve.Learned(e.now, slots, pause))
	e.now++
	require.Equal(t, slots, e.curve.Learned(e.now, slots, pause))
	e.observe(1, slots-1)
	require.Equal(t, slots, e.curve.Learned(e.now, slots, pause), "an expired estimate does not return")

	e = engine{interval: steep}
	e.observe(5, slots)
	for range 3 {
		e.now += estimateTTL / 2
		e.observe(1, slots-1)
	}
	require.Equal(t, slots-1, e.curve.Learned(e.now, slots, pause))
}

// Guards against a short slow time that is taken for a change, and a change that is taken for a slow time.
func TestOnlyALastingChangeOfSpeedResets(t *testing.T) {
	slow := func(held int) time.Duration { return flat(held) * 5 / 2 }
	e := engine{interval: flat}
	for held := 1; held <= slots; held++ {
		e.observe(10, held)
	}
	e.interval = slow
	e.observe(int((changeDuration-apart)/apart), slots)
	known, ok := e.curve.Interval(e.now, slots)
	require.True(t, ok)
	require.Equal(t, flat(slots), known)

	e.interval = flat
	e.observe(1, slots)
	e.interval = slow
	e.observe(int(changeDuration/apart), slots)
	_, ok = e.curve.Interval(e.now, 3)
	require.True(t, ok, "the slow times did not follow each other")
	e.observe(minObservations, slots)
	known, ok = e.curve.Interval(e.now, slots)
	require.True(t, ok)
	require.Equal(t, slow(slots), known)
	_, ok = e.curve.Interval(e.now, 3)
	require.False(t, ok, "what was known of the former speed")

	e.interval = flat
	e.now += apart
	e.observe(settledObservations, slots)
	e.observe(int(changeDuration/apart)+minObservations, slots)
	known, _ = e.curve.Interval(e.now, slots)
	require.Equal(t, flat(slots), known, "faster again")
}

// Guards against single deviations that are long apart and count as one lasting change.
func TestRareDeviationsAreNoChange(t *testing.T) {
	e := engine{interval: flat}
	e.observe(10, slots)
	for range 5 {
		e.observe(5, slots-1) // too few to end a run of deviations
		e.curve.estimates[slots-2] = estimate{}
		e.now += changeDuration
		e.curve.Observe(e.now, slots, 3*flat(slots), 20)
		e.curve.estimates[slots-1].at = e.now
	}
	known, ok := e.curve.Interval(e.now, slots)
	require.True(t, ok)
	require.Equal(t, flat(slots), known)
}

func TestIntervalBetweenEstimates(t *testing.T) {
	e := engine{interval: flat}
	e.observe(5, 2)
	e.observe(5, 4)
	known, ok := e.curve.Interval(e.now, 3)
	require.True(t, ok)
	require.Equal(t, flat(3), known)
	_, ok = e.curve.Interval(e.now, 5)
	require.False(t, ok)
	e.curve.Reset()
	_, ok = e.curve.Interval(e.now, 2)
	require.False(t, ok)
}

// Guards against limits outside their bounds, times that do not end, and memory that grows with what is observed, for any input.
func TestAnyObservationsKeepTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Curve
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "elapsed")) * time.Millisecond
			c.Observe(now, rapid.IntRange(-1, 12).Draw(t, "held"), time.Duration(rapid.Int64Range(-1, int64(10*time.Second)).Draw(t, "interval")),
				rapid.IntRange(-1, 1<<16).Draw(t, "events"))
			n := rapid.IntRange(0, 12).Draw(t, "slots")
			longest := time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond
			limit := c.Limit(now, n, longest)
			require.GreaterOrEqual(t, limit, max(1, n/2))
			require.LessOrEqual(t, limit, max(1, n))
			known, ok := c.Interval(now, rapid.IntRange(-1, 14).Draw(t, "at"))
			require.True(t, !ok || known > 0 && known <= 10*time.Second)
		}
	})
	var c Curve
	c.Observe(time.Second, 1<<30, time.Millisecond, 1<<30)
	require.Equal(t, math.MaxInt, c.Limit(time.Second, math.MaxInt, pause), "a false registration")
	require.Len(t, c.estimates, maxHeld)
	require.LessOrEqual(t, c.estimates[maxHeld-1].weight, float64(maxEvents))
}

// Guards against a limit that differs from the one that full knowledge of the curve gives.
func TestLimitOfRandomCurves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := []time.Duration{time.Duration(rapid.IntRange(5, 30).Draw(t, "first")) * time.Millisecond}
		for len(at) < slots {
			at = append(at, at[len(at)-1]+time.Duration(rapid.IntRange(0, 60).Draw(t, "step"))*time.Millisecond)
		}
		e := engine{interval: func(held int) time.Duration { return at[held-1] }}
		want := slots
		for n := slots; n > slots/2; n-- {
			if at[n-1] > pause || work(n, at[n-1]) < (1-workTolerance)*work(n-1, at[n-2]) {
				want = n - 1
			}
		}
		for held := 1; held <= slots; held++ {
			e.observe(minObservations, held)
		}
		require.Equal(t, want, e.curve.Learned(e.now, slots, pause))
	})
}

// Guards against means that differ from the integral of what was noted.
func TestMeanOccupancy(t *testing.T) {
	var o Occupancy
	_, ok := o.Mean(0, time.Second)
	require.False(t, ok)
	rng := rand.New(rand.NewPCG(1, 2))
	held := make([]int, 400)
	for i := range held {
		held[i] = rng.IntN(8)
		o.Note(time.Duration(i)*occupancySpacing, held[i])
		o.Note(time.Duration(i)*occupancySpacing+time.Millisecond, 1000) // too soon
	}
	end := time.Duration(len(held)) * occupancySpacing
	for _, n := range []int{1, 7, occupancyPoints - 1} {
		sum := 0
		for _, h := range held[len(held)-n:] {
			sum += h
		}
		mean, ok := o.Mean(end-time.Duration(n)*occupancySpacing, end)
		require.True(t, ok)
		require.InDelta(t, float64(sum)/float64(n), mean, 1e-9)
	}
	all, _ := o.Mean(0, end)
	recorded, _ := o.Mean(end-occupancyPoints*occupancySpacing, end)
	require.InDelta(t, recorded, all, 1e-9, "as far as it is recorded")
	last, _ := o.Mean(end, end)
	require.InDelta(t, float64(held[len(held)-1]), last, 1e-9)
}
