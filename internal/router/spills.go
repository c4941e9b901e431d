package router

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/spill"
)

const (
	// spillInterval is the interval at which the shares of new requests for other zones are computed, that of zone summaries. They
	// count for spillPlanTTL, in case this host was paused.
	spillInterval = zoneSummaryInterval
	spillPlanTTL  = 2 * spillInterval
	// defaultSlotTime is the time to a slot that forecasts assume for a service without target latency, and maxSlotTime bounds that
	// of others: demand is not predicted further ahead than it was observed.
	defaultSlotTime = 250 * time.Millisecond
	maxSlotTime     = time.Second
	// spillQuietTime is how long a service must have sent nothing to other zones before the log says that it has ended.
	spillQuietTime = 2 * time.Second
	// maxSpillCredit limits the requests that a share has offered while none was allowed to leave its zone.
	maxSpillCredit = 2
)

// spillState is what this host needs to send requests to other zones before its own is full. It is empty without early spill.
type spillState struct {
	// since is when this host began to measure its demand: its start, or the reload that enabled early spill.
	since    time.Duration
	services map[string]*serviceSpill
	updateAt time.Duration
	sent     demandReport
	totals   SpillCounts
}

// serviceSpill is the state of one service.
type serviceSpill struct {
	meter      demandMeter
	forecaster spill.Forecaster
	targets    []spill.Target
	plannedAt  time.Duration
	// credit is the number of requests that are due to each target.
	credit map[string]float64
	counts map[string]*SpillCounts
	// active is set while the log shows the service as sending requests to other zones, lastAt is when it last had a target.
	active bool
	lastAt time.Duration
}

// SpillBasis records why a request went to another zone before its own was full. It is empty otherwise.
type SpillBasis struct {
	Zone  string  // where it went
	Share float64 // of this zone's new requests, offered to that zone
	// Expected and Capacity are the demand and capacity forecast for this zone, in milliseconds of engine time per second, and
	// TargetExpected and TargetCapacity those for the other one.
	Expected, Capacity, TargetExpected, TargetCapacity float64
	Age                                                time.Duration // of the other zone's report
}

// SpillCounts counts the requests of one service for one other zone since this host started.
type SpillCounts struct {
	Offered int // by the share for the zone
	Sent    int // granted a slot there
	NoSlot  int // without a free slot there, and handled as without early spill
}

func (c *SpillCounts) add(more SpillCounts) {
	c.Offered += more.Offered
	c.Sent += more.Sent
	c.NoSlot += more.NoSlot
}

// SpillView is the state of early spill for one service.
type SpillView struct {
	Service string
	Zones   []SpillZoneView
}

// SpillZoneView is one zone as forecast, with the share of this zone's new requests for it.
type SpillZoneView struct {
	spill.Forecast
	Share float64
	SpillCounts
}

// spillOf returns the state of a service and creates it if necessary.
func (r *Router) spillOf(service string) *serviceSpill {
	s, ok := r.spill.services[service]
	if !ok {
		s = &serviceSpill{credit: map[string]float64{}, counts: map[string]*SpillCounts{}}
		if r.spill.services == nil {
			r.spill.services = map[string]*serviceSpill{}
		}
		r.spill.services[service] = s
	}
	return s
}

// applyBalancingSettings applies changed settings. Early spill starts anew.
func (r *Router) applyBalancingSettings(s BalancingSettings) {
	if s.EarlySpill != r.opt.Balancing.EarlySpill {
		r.spill = spillState{since: r.now, totals: r.spill.totals}
		for _, m := range r.members.byHost {
			m.demand = demandReport{}
		}
	}
	r.opt.Balancing = s
}

// updateSpill observes the loads of the zones and computes the shares of new requests for them.
func (r *Router) updateSpill() {
	if !r.opt.Balancing.EarlySpill || r.now < r.spill.updateAt {
		return
	}
	r.spill.updateAt = r.now + spillInterval
	services := r.spillServices()
	maps.DeleteFunc(r.spill.services, func(name string, _ *serviceSpill) bool {
		_, found := slices.BinarySearch(services, name)
		return !found
	})
	for _, service := range services {
		s := r.spillOf(service)
		s.forecaster.SlotTime = demandLag + r.slotTime(service)
		r.observeZones(service, s)
		s.targets, s.plannedAt = s.forecaster.Targets(r.now, r.opt.Zone), r.now
		maps.DeleteFunc(s.credit, func(zone string, _ float64) bool { return s.targetFor(zone).Zone == "" })
		r.noteSpill(service, s)
	}
}

// observeZones records the load of each zone whose hosts send heartbeats to this one, and forgets those that get nothing.
func (r *Router) observeZones(service string, s *serviceSpill) {
	for _, zone := range append([]string{r.opt.Zone}, r.otherZones()...) {
		if zone != r.opt.Zone && r.barredFromSpill(zone) {
			s.forecaster.Forget(zone)
			continue
		}
		if !r.exchangesHeartbeats(zone) {
			continue
		}
		if l, known := r.zoneLoad(service, zone); known {
			s.forecaster.Observe(zone, r.now, l)
		}
	}
}

// barredFromSpill reports whether a zone gets no requests early: it is evacuated or cut off.
func (r *Router) barredFromSpill(zone string) bool {
	return r.evacuated(zone) || r.zoneUnreachable(zone)
}

// slotTime is the time that a request of a service may take to get its slot: the share of the shortest target latency of its routes
// that a stream may wait.
func (r *Router) slotTime(service string) time.Duration {
	shortest := time.Duration(0)
	if r.table != nil {
		for _, route := range r.table.Config.Routes {
			for _, share := range route.Shares {
				if share.Service == service && route.Target > 0 && (shortest == 0 || route.Target < shortest) {
					shortest = route.Target
				}
			}
		}
	}
	if shortest == 0 {
		return defaultSlotTime
	}
	return min(maxSlotTime, time.Duration(maxWaitShare*float64(shortest)))
}

// noteSpill logs when a service starts and stops to send requests to other zones.
func (r *Router) noteSpill(service string, s *serviceSpill) {
	if len(s.targets) > 0 {
		s.lastAt = r.now
	}
	switch {
	case len(s.targets) > 0 && !s.active:
		s.active = true
		r.emit(Note{What: "early spill began", Subject: service, Detail: r.describeTargets(s)})
	case len(s.targets) == 0 && s.active && r.now-s.lastAt >= spillQuietTime:
		s.active = false
		r.emit(Note{What: "early spill ended", Subject: service, Age: r.now - s.lastAt})
	}
}

func (r *Router) describeTargets(s *serviceSpill) string {
	own := s.forecastFor(r.now, r.opt.Zone)
	parts := []string{fmt.Sprintf("expects %.0f of %.0f ms/s", own.Expected, own.Capacity)}
	for _, t := range s.targets {
		parts = append(parts, fmt.Sprintf("%s %.0f %%", t.Zone, 100*t.Share))
	}
	return strings.Join(parts, ", ")
}

// targetFor returns the target in a zone, empty if there is none.
func (s *serviceSpill) targetFor(zone string) spill.Target {
	for _, t := range s.targets {
		if t.Zone == zone {
			return t
		}
	}
	return spill.Target{}
}

func (s *serviceSpill) forecastFor(now time.Duration, zone string) spill.Forecast {
	for _, z := range s.forecaster.Forecasts(now) {
		if z.Zone == zone {
			return z
		}
	}
	return spill.Forecast{}
}

// countSpill adds to the counts of a service for another zone. If a reload has turned early spill off while a request waited for its
// slot, only the totals count it.
func (r *Router) countSpill(service, zone string, more SpillCounts) {
	r.spill.totals.add(more)
	if !r.opt.Balancing.EarlySpill {
		return
	}
	s := r.spillOf(service)
	c, ok := s.counts[zone]
	if !ok {
		c = &SpillCounts{}
		s.counts[zone] = c
	}
	c.add(more)
}

// spillEarly sends a new request to another zone, or asks an owner there for a slot, if it is in the share for that zone. If it
// returns false, the request is scheduled as without early spill.
func (r *Router) spillEarly(q *request) bool {
	if !r.opt.Balancing.EarlySpill || q.spillDecided || q.attempt > 0 || q.returning || q.Continues {
		return false
	}
	q.spillDecided = true
	s := r.spillOf(q.service)
	zone := r.takeSpillCredit(q, s)
	if zone == "" {
		return false
	}
	r.countSpill(q.service, zone, SpillCounts{Offered: 1})
	q.spill = r.spillBasis(s, zone)
	r.serveQueue(q.service) // a free slot of this host goes to those that wait first
	b, g := r.spillBackend(q, zone)
	if b == nil {
		r.spillRefused(q)
		return false
	}
	if owner := r.ownerOf(b); owner != "" && owner != r.opt.Host {
		r.requestSlot(q, owner, classHealthy, false)
		return true
	}
	r.countSpill(q.service, zone, SpillCounts{Sent: 1})
	r.countOwnGrant(q, b)
	r.send(q, b, g)
	return true
}

// takeSpillCredit adds a request to the credits of the targets and returns the zone that it is due to, or "".
func (r *Router) takeSpillCredit(q *request, s *serviceSpill) string {
	if r.now-s.plannedAt > spillPlanTTL {
		return ""
	}
	due := ""
	for _, t := range s.targets {
		s.credit[t.Zone] = min(maxSpillCredit, s.credit[t.Zone]+t.Share)
		if s.credit[t.Zone] < 1 || r.barredFromSpill(t.Zone) || !r.mayServe(q.Route, q.Workspace, t.Zone) {
			continue
		}
		if due == "" || s.credit[t.Zone] > s.credit[due] {
			due = t.Zone
		}
	}
	if due != "" {
		s.credit[due]--
	}
	return due
}

func (r *Router) spillBasis(s *serviceSpill, zone string) SpillBasis {
	own, target := s.forecastFor(r.now, r.opt.Zone), s.forecastFor(r.now, zone)
	return SpillBasis{Zone: zone, Share: s.targetFor(zone).Share, Expected: own.Expected, Capacity: own.Capacity,
		TargetExpected: target.Expected, TargetCapacity: target.Capacity, Age: target.Age}
}

// spillBackend chooses a healthy backend server with a free slot in another zone, or nil. Where owners grant slots it only selects the
// owner, so it is a random one: all hosts see the same counts, up to half a second old.
func (r *Router) spillBackend(q *request, zone string) (*backend, DecisionBasis) {
	s := r.newSelector(q, scopeAll)
	var best candidate
	free := 0
	for _, b := range r.backendsIn(zone) {
		if b.Service != q.service || b.removed || r.isBrittle(b) {
			continue
		}
		if !r.assignable(q, b) || s.classOf(b, false) != classHealthy || !r.hasFreeSlot(b, b.inFlight()) {
			continue
		}
		if owner := r.ownerOf(b); r.usesOwners() && owner != r.opt.Host && !r.canAsk(owner) {
			continue
		}
		if !r.usesOwners() {
			best = lowerScore(best, candidate{b, s.score(b, b.inFlight())})
			continue
		}
		if free++; r.rng.IntN(free) == 0 {
			best.backend = b
		}
	}
	g := r.basis()
	if b := best.backend; b != nil {
		g.InFlight, g.Limit, g.ViewAge = b.inFlight(), r.freeSlotLimit(b), r.oldestHeartbeatAge()
		g.Wait = s.predictedWait(b, g.InFlight)
	}
	return best.backend, g
}

// freeSlotLimit is the number of requests up to which a backend server starts each at once: its slots, or its learned limit.
func (r *Router) freeSlotLimit(b *backend) int { return r.capBySlotLimit(b, max(1, b.Slots)) }

// hasFreeSlot reports whether a backend server that holds some requests has a free slot.
func (r *Router) hasFreeSlot(b *backend, held int) bool { return held < r.freeSlotLimit(b) }

// acceptsSpillOffer reports whether an owner has granted a spilled request a free slot in the zone that it is for. Owners grant
// slots beyond those that are free, which are of no use to it: its own zone has them as well.
func (r *Router) acceptsSpillOffer(q *request, place load, b *backend) bool {
	return b != nil && r.usableFor(q, b) && b.Zone == q.spill.Zone && r.hasFreeSlot(b, place.total())
}

// takeSpillOffer takes the slot that an owner has granted a spilled request, or returns it if it is of no use.
func (r *Router) takeSpillOffer(q *request, a *slotRequest, offer *gossippb.Offer, b *backend) bool {
	if offer.Place == nil || !r.acceptsSpillOffer(q, loadFromProto(offer.Place), b) {
		r.returnSlot(a, offer)
		r.spillRefused(q)
		return false
	}
	r.countSpill(q.service, q.spill.Zone, SpillCounts{Sent: 1})
	return true
}

// spillRefused records that a request got no slot in another zone. It is scheduled as without early spill.
func (r *Router) spillRefused(q *request) {
	if q.spill.Zone == "" {
		return
	}
	r.countSpill(q.service, q.spill.Zone, SpillCounts{NoSlot: 1})
	q.spill = SpillBasis{}
}

// viewSpill adds early spill to what operators see.
func (r *Router) viewSpill(v *View) {
	v.SpillCounts = r.spill.totals
	for _, service := range slices.Sorted(maps.Keys(r.spill.services)) {
		s := r.spill.services[service]
		view := SpillView{Service: service}
		for _, z := range s.forecaster.Forecasts(r.now) {
			view.Zones = append(view.Zones, SpillZoneView{Forecast: z, Share: s.targetFor(z.Zone).Share})
		}
		for zone, counts := range s.counts {
			i := slices.IndexFunc(view.Zones, func(z SpillZoneView) bool { return z.Zone == zone })
			if i < 0 {
				i = len(view.Zones)
				view.Zones = append(view.Zones, SpillZoneView{Forecast: spill.Forecast{Zone: zone, Age: -1}})
			}
			view.Zones[i].SpillCounts = *counts
		}
		slices.SortFunc(view.Zones, func(a, b SpillZoneView) int { return cmp.Compare(a.Zone, b.Zone) })
		v.Spill = append(v.Spill, view)
	}
}
