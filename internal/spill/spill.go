// Package spill forecasts the load of availability zones and decides which share of a zone's new requests to offer to other
// zones before it is full. All functions are pure: no clock, no randomness. A Forecaster is not safe for concurrent use.
package spill

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// spillAbove and acceptBelow are the shares of a zone's capacity above which a zone sends its excess away and below which it
	// accepts that of others. Between them it does neither, so that small differences between the hosts' forecasts do not make two
	// zones send to each other.
	spillAbove  = 0.9
	acceptBelow = 0.8
	// maxShare limits the share of a zone's new requests that leave it, so that wrong reports cost it no more.
	maxShare = 0.5
	// maxAge is how long an observation counts.
	maxAge = time.Second
	// trendWindow is the time over which the slope is computed. A shorter one follows the random variation of arrivals, and a longer
	// one lags behind waves of a few seconds.
	trendWindow = 1500 * time.Millisecond
	// maxTrend limits the predicted change as a share of the demand, because a step in demand looks like an endless slope.
	maxTrend = 0.25
	// maxSamples and maxZones bound memory, as other hosts name zones and times.
	maxSamples = 16
	maxZones   = 64
	// maxLoad is the greatest capacity or demand accepted: a million slots.
	maxLoad = 1e9
)

// Load is one zone's load of one service as of a time: engine time in milliseconds per second.
type Load struct {
	// Capacity is what the usable engines of the zone can do.
	Capacity float64
	// Demand is what the zone's own callers ask for, wherever they are served.
	Demand float64
}

// Target is another zone and the share of this zone's new requests to offer to it.
type Target struct {
	Zone  string
	Share float64
}

// Forecast is the state of one zone.
type Forecast struct {
	Zone string
	// Load is the latest observation and Age the time since then.
	Load
	Age time.Duration
	// Expected is the demand expected at the end of the horizon.
	Expected float64
}

// excess is the expected demand that the zone sends to others.
func (z Forecast) excess() float64 { return max(0, z.Expected-spillAbove*z.Capacity) }

// free is the capacity that the zone has for others.
func (z Forecast) free() float64 { return max(0, acceptBelow*z.Capacity-z.Expected) }

// Forecaster holds the latest loads of all zones for one service. The zero value is ready for use.
type Forecaster struct {
	// SlotTime is the time that a request takes to get its slot. The horizon is the age of the latest observation plus SlotTime.
	SlotTime time.Duration
	zones    map[string]*history
}

// Observe records the load of a zone at a time. Loads that are not finite or negative, and those not later than the latest, are
// ignored; greater ones than an engine fleet can have are limited.
func (f *Forecaster) Observe(zone string, at time.Duration, l Load) {
	if !valid(l.Capacity) || !valid(l.Demand) {
		return
	}
	h, ok := f.zones[zone]
	if !ok {
		if len(f.zones) == maxZones {
			maps.DeleteFunc(f.zones, func(_ string, h *history) bool { return at-h.latest().at > maxAge })
		}
		if len(f.zones) >= maxZones {
			return
		}
		if f.zones == nil {
			f.zones = map[string]*history{}
		}
		h = &history{}
		f.zones[zone] = h
	}
	h.add(at, Load{Capacity: min(l.Capacity, maxLoad), Demand: min(l.Demand, maxLoad)})
}

func valid(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// Forget discards what is known of a zone: it is cut off, evacuated or silent.
func (f *Forecaster) Forget(zone string) { delete(f.zones, zone) }

// Forecasts returns the forecasts of the zones with a recent observation, in order of their names.
func (f *Forecaster) Forecasts(now time.Duration) []Forecast {
	var out []Forecast
	for _, zone := range slices.Sorted(maps.Keys(f.zones)) {
		h := f.zones[zone]
		latest := h.latest()
		age := max(0, now-latest.at)
		if age > maxAge {
			continue
		}
		out = append(out, Forecast{Zone: zone, Load: latest.Load, Age: age, Expected: h.demandAfter(age + f.SlotTime)})
	}
	return out
}

// Targets returns the share of this zone's new requests to offer to each other zone, in order of their names; the sum is at most
// maxShare. All zones with an excess divide the free capacity among themselves in proportion to their excesses.
func (f *Forecaster) Targets(now time.Duration, ownZone string) []Target {
	var own Forecast
	var excess, free float64
	zones := f.Forecasts(now)
	for _, z := range zones {
		excess += z.excess()
		free += z.free()
		if z.Zone == ownZone {
			own = z
		}
	}
	if own.excess() == 0 || free == 0 {
		return nil
	}
	share := min(maxShare, own.excess()/own.Expected*min(1, free/excess))
	var out []Target
	for _, z := range zones {
		if part := share * z.free() / free; part > 0 {
			out = append(out, Target{z.Zone, part})
		}
	}
	return out
}
