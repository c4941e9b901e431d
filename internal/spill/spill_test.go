package spill

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const step = 250 * time.Millisecond

// forecaster returns one that has seen constant loads for two seconds, and the time of the last.
func forecaster(loads map[string]Load) (*Forecaster, time.Duration) {
	f := &Forecaster{}
	for at := step; at <= 2*time.Second; at += step {
		for zone, l := range loads {
			f.Observe(zone, at, l)
		}
	}
	return f, 2 * time.Second
}

// Guards against shares that send more than the excess, or that ignore how much each zone has free.
func TestSharesDivideTheExcessByFreeCapacity(t *testing.T) {
	f, now := forecaster(map[string]Load{"a": {1000, 1200}, "b": {1000, 200}, "c": {1000, 600}, "d": {1000, 850}})
	got := f.Targets(now, "a")
	require.Len(t, got, 2)
	require.Equal(t, "b", got[0].Zone)
	require.InDelta(t, 0.25*0.75, got[0].Share, 1e-9, "a quarter of the demand is excess, and b has 600 of 800 free")
	require.InDelta(t, 0.25*0.25, got[1].Share, 1e-9)
	for _, zone := range []string{"b", "c", "d", "unknown"} {
		require.Empty(t, f.Targets(now, zone))
	}
}

// Guards against two full zones that together send more to a third one than it has free.
func TestZonesWithExcessDivideTheFreeCapacity(t *testing.T) {
	f, now := forecaster(map[string]Load{"a": {1000, 1100}, "b": {1000, 1300}, "c": {1000, 500}})
	sent := f.Targets(now, "a")[0].Share*1100 + f.Targets(now, "b")[0].Share*1300
	require.InDelta(t, 300, sent, 1e-6)
	require.InDelta(t, 100, f.Targets(now, "a")[0].Share*1100, 1e-6, "in proportion to the excesses of 200 and 400")
}

// Guards against a zone whose engines are all gone that sends everything away, or never anything.
func TestShareIsLimited(t *testing.T) {
	f, now := forecaster(map[string]Load{"a": {0, 1000}, "b": {9000, 0}, "c": {9000, 0}})
	sum := 0.0
	for _, target := range f.Targets(now, "a") {
		sum += target.Share
	}
	require.InDelta(t, maxShare, sum, 1e-9)
}

// Guards against spill that starts only when the peak has arrived.
func TestRisingDemandIsForecast(t *testing.T) {
	f := &Forecaster{SlotTime: 250 * time.Millisecond}
	now := time.Duration(0)
	for i := range 9 {
		now += step
		f.Observe("a", now, Load{1000, 500 + 45*float64(i)})
		f.Observe("b", now, Load{1000, 300})
	}
	require.Less(t, f.Forecasts(now)[0].Demand, 0.9*1000, "it is not full yet")
	require.Greater(t, f.Forecasts(now)[0].Expected, 0.9*1000)
	require.NotEmpty(t, f.Targets(now, "a"))
	require.Greater(t, f.Forecasts(now + step)[0].Expected, f.Forecasts(now)[0].Expected, "an older summary is extrapolated further")
}

// Guards against a step in demand that is extrapolated without end, and against spill that goes on when the wave is over.
func TestStepsAreFollowedWithinASecond(t *testing.T) {
	f := &Forecaster{SlotTime: 400 * time.Millisecond}
	now := time.Duration(0)
	observe := func(d time.Duration, demand float64) {
		for end := now + d; now < end; {
			now += step
			f.Observe("a", now, Load{1000, demand})
			f.Observe("b", now, Load{1000, 300})
			require.LessOrEqual(t, f.Forecasts(now)[0].Expected, 1400*(1+maxTrend)+1e-9)
		}
	}
	observe(3*time.Second, 400)
	observe(time.Second, 1400)
	require.NotEmpty(t, f.Targets(now, "a"))
	observe(2*time.Second, 1400)
	observe(time.Second, 400)
	require.Empty(t, f.Targets(now, "a"))
}

// Guards against decisions by what a zone said long ago, and against a forgotten zone that still gets requests.
func TestOldAndForgottenObservationsDoNotCount(t *testing.T) {
	f, now := forecaster(map[string]Load{"a": {1000, 1200}, "b": {1000, 200}})
	f.Observe("a", now+maxAge, Load{1000, 1200})
	require.NotEmpty(t, f.Targets(now+maxAge, "a"))
	f.Observe("a", now+maxAge+1, Load{1000, 1200})
	require.Empty(t, f.Targets(now+maxAge+1, "a"), "b is silent")
	f.Observe("b", now+maxAge+1, Load{1000, 200})
	require.NotEmpty(t, f.Targets(now+maxAge+1, "a"))
	f.Forget("b")
	require.Empty(t, f.Targets(now+maxAge+1, "a"))
}

// Guards against a report of a broken or hostile host that changes the forecast, and against an overtaken one.
func TestHostileAndOvertakenReportsAreIgnored(t *testing.T) {
	f, now := forecaster(map[string]Load{"a": {1000, 1200}, "b": {1000, 200}})
	want := f.Targets(now+step, "a")
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		f.Observe("b", now+step, Load{v, 0})
		f.Observe("b", now+step, Load{1000, v})
	}
	f.Observe("b", now, Load{1, 1})
	f.Observe("b", now-step, Load{1, 1})
	require.Equal(t, want, f.Targets(now+step, "a"))
}

// Guards against memory that grows with the names and times that other hosts report.
func TestMemoryIsBounded(t *testing.T) {
	f := &Forecaster{}
	for i := range 10 * maxZones {
		for at := range time.Duration(100) {
			f.Observe(fmt.Sprint("z", i), at, Load{1, 1})
		}
	}
	require.Len(t, f.zones, maxZones)
	for _, h := range f.zones {
		require.LessOrEqual(t, len(h.samples), maxSamples)
		require.LessOrEqual(t, cap(h.samples), 4*maxSamples)
	}
}

// Guards against zones that no longer exist and keep a new one from being observed.
func TestSilentZonesMakeRoom(t *testing.T) {
	f := &Forecaster{}
	for i := range maxZones {
		f.Observe(fmt.Sprint("z", i), step, Load{1000, 200})
	}
	f.Observe("new", step+maxAge, Load{1000, 200})
	require.Len(t, f.Forecasts(step+maxAge), maxZones, "all others are recent")
	f.Observe("new", step+maxAge+1, Load{1000, 200})
	require.Len(t, f.Forecasts(step+maxAge+1), 1)
	require.Len(t, f.zones, 1)
}

// Guards, for any reports, against shares that exceed maxShare or are no numbers, a zone that sends to itself, two zones that send
// to each other by the same summaries, and a zone that is sent more than it has free.
func TestAnyReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &Forecaster{SlotTime: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "slot time"))}
		value := rapid.OneOf(rapid.Float64Range(0, 2000), rapid.Float64())
		zone := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			now += time.Duration(rapid.Int64Range(0, int64(step)).Draw(t, "elapsed"))
			at := now - time.Duration(rapid.Int64Range(-int64(step), int64(step)).Draw(t, "age"))
			f.Observe(zone.Draw(t, "zone"), at, Load{value.Draw(t, "capacity"), value.Draw(t, "demand")})
		}
		forecasts := map[string]Forecast{}
		for _, z := range f.Forecasts(now) {
			require.False(t, math.IsNaN(z.Expected) || z.Expected < 0, "%+v", z)
			forecasts[z.Zone] = z
		}
		sends, gets := map[string]bool{}, map[string]float64{}
		for own, z := range forecasts {
			sum := 0.0
			for _, target := range f.Targets(now, own) {
				require.NotEqual(t, own, target.Zone)
				require.Positive(t, target.Share)
				sum += target.Share
				sends[own] = true
				gets[target.Zone] += target.Share * z.Expected
			}
			require.LessOrEqual(t, sum, maxShare+1e-9)
			require.LessOrEqual(t, sum*z.Expected, z.excess()*(1+1e-9))
		}
		for zone, work := range gets {
			require.False(t, sends[zone], "%s sends and gets", zone)
			require.LessOrEqual(t, work, forecasts[zone].free()*(1+1e-9))
		}
	})
}
