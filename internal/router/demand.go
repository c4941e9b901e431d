package router

import (
	"maps"
	"math"
	"slices"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/spill"
)

const (
	// demandBuckets of demandBucket each are the time over which a host's demand is measured. It ends up to a bucket ago.
	demandBucket  = 100 * time.Millisecond
	demandBuckets = 5
	// A host sends its demand if it has changed by minDemandChange, at most once per demandInterval, and unchanged once per
	// demandRefresh in case a datagram was lost. A report counts for demandTTL: two lost ones have no effect.
	minDemandChange = 0.1
	demandInterval  = 500 * time.Millisecond
	demandRefresh   = time.Second
	demandTTL       = 3500 * time.Millisecond
	// demandLag is how old the demand of a zone is when its load is computed: half of the time over which it was measured, and half
	// of the time between two reports.
	demandLag = (demandBuckets+1)*demandBucket/2 + demandInterval/2
	// demandWarmup is how long a host sends no demand after its start or a reload that enables early spill: what it has measured is
	// too little.
	demandWarmup = time.Second
	// maxHostsWithoutDemand is the share of a zone's hosts whose demand may be unknown while the zone's load counts as known.
	maxHostsWithoutDemand = 0.1
	// maxDemandServices bounds the services in a report, which all hosts of a zone receive. Others do not spill.
	maxDemandServices = 64
	// maxSpeedRatio limits how much faster or slower than the service's mean a backend server is taken to be, as other hosts report
	// its speed. Engines of one service differ more than fourfold.
	maxSpeedRatio = 8
)

// demandMeter measures the work that this host's own callers ask for, in milliseconds of engine time.
type demandMeter struct {
	sums   [demandBuckets + 1]float64 // a ring; the one at the position of latest is still being filled
	latest time.Duration              // number of the latest bucket
}

// advance clears the buckets between the latest and the present one.
func (m *demandMeter) advance(now time.Duration) {
	n := now / demandBucket
	for i := max(m.latest+1, n-demandBuckets); i <= n; i++ {
		m.sums[i%(demandBuckets+1)] = 0
	}
	m.latest = max(m.latest, n)
}

func (m *demandMeter) add(now time.Duration, work float64) {
	m.advance(now)
	m.sums[m.latest%(demandBuckets+1)] += work
}

// perSecond returns the work per second in the complete buckets.
func (m *demandMeter) perSecond(now time.Duration) float64 {
	m.advance(now)
	sum := 0.0
	for i, work := range m.sums {
		if i != int(m.latest%(demandBuckets+1)) {
			sum += work
		}
	}
	return sum / (demandBuckets * demandBucket).Seconds()
}

// demandReport is the demand that a host last reported or that this host last sent, by hash of the service.
type demandReport struct {
	at       time.Duration
	services map[uint32]float64
}

// countDemand counts a new caller's request as demand of this host. Callers that have returned or take up a stream were counted
// before.
func (r *Router) countDemand(q *request) {
	if r.opt.Balancing.EarlySpill && !q.returning && !q.Continues {
		r.spillOf(q.service).meter.add(r.now, r.nominalWork(q))
	}
}

// nominalWork is the engine time of a request in milliseconds at an engine with the default speed, so that hosts which have learned
// different speeds and zones whose engines differ can be compared.
func (r *Router) nominalWork(q *request) float64 {
	occupied := min(r.occupation(q), max(0, q.Deadline-r.now)) // a caller may state any length of the output
	return occupied.Seconds() * 1000 * r.nominalSpeed(q.service)
}

// nominalSpeed is the mean speed of a service's backend servers relative to the default speed.
func (r *Router) nominalSpeed(service string) float64 {
	return float64(defaultEventInterval) / float64(r.serviceState(service).expectedEventInterval())
}

// nominalCapacity returns the engine time per second of the usable backend servers of a service in a zone, in the unit of
// nominalWork. It is unknown if some of them state limits of their own, which are not counted in engine time, and if it may be this
// host that does not reach them.
func (r *Router) nominalCapacity(service, zone string) (capacity float64, known bool) {
	if r.mayBeCutOff(service) {
		return 0, false
	}
	mean := float64(r.serviceState(service).expectedEventInterval())
	for _, b := range r.backendsIn(zone) {
		if b.Service != service || b.removed || b.excluded(r.now) != notExcluded || !kindMatches(b, r.serviceConfig(b)) {
			continue
		}
		if b.rateLimited() || r.isBrittle(b) {
			return 0, false
		}
		if b.cold(r.now) || b.isUnreachable(r.now) || b.suspect(r.now) {
			continue
		}
		ratio := 1.0
		if b.interval > 0 {
			ratio = min(max(mean/float64(b.interval), 1.0/maxSpeedRatio), maxSpeedRatio)
		}
		capacity += 1000 * float64(max(1, b.Slots)) * ratio
	}
	return capacity * r.nominalSpeed(service), true
}

// warmsUp reports whether this host has measured its demand for too short a time to report it.
func (r *Router) warmsUp() bool { return r.now-r.spill.since < demandWarmup }

// demandsToSend returns this host's demand for the next heartbeat, nil if it is not due.
func (r *Router) demandsToSend() []*gossippb.ServiceDemand {
	sent := &r.spill.sent
	if !r.opt.Balancing.EarlySpill || r.warmsUp() || r.now-sent.at < demandInterval {
		return nil
	}
	now := map[uint32]float64{}
	changed := r.now-sent.at >= demandRefresh
	var out []*gossippb.ServiceDemand
	for _, service := range r.spillServices() {
		hash := hashOfService(service)
		now[hash] = r.spillOf(service).meter.perSecond(r.now)
		changed = changed || math.Abs(now[hash]-sent.services[hash]) > minDemandChange*sent.services[hash]
		out = append(out, &gossippb.ServiceDemand{Service: hash, Demand: loadToProto(now[hash])})
	}
	if !changed {
		return nil
	}
	*sent = demandReport{r.now, now}
	return out
}

// spillServices returns the services with backend servers, sorted, at most maxDemandServices.
func (r *Router) spillServices() []string {
	r.backendsOf("") // builds the index
	services := slices.Sorted(maps.Keys(r.byService))
	return services[:min(len(services), maxDemandServices)]
}

// applyDemands records the demand of another host. A heartbeat without it changes nothing.
func (r *Router) applyDemands(m *member, list []*gossippb.ServiceDemand) {
	if !r.opt.Balancing.EarlySpill || len(list) == 0 {
		return
	}
	m.demand = demandReport{r.now, map[uint32]float64{}}
	for _, d := range list[:min(len(list), maxDemandServices)] {
		m.demand.services[d.Service] = float64(d.Demand)
	}
}

// zoneDemand returns the demand of the callers of a zone's hosts, of which this one must receive heartbeats. It is unknown if too
// many of them have not reported any: they have started lately, or early spill is off there.
func (r *Router) zoneDemand(service, zone string) (demand float64, known bool) {
	hosts, silent := 0.0, 0.0
	if zone == r.opt.Zone {
		hosts, demand = 1, r.spillOf(service).meter.perSecond(r.now)
		if r.warmsUp() {
			silent = 1
		}
	}
	hash := hashOfService(service)
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		if m.zone != zone || m.unreachable || m.leaving {
			continue
		}
		hosts++
		if m.demand.services == nil || r.now-m.demand.at > demandTTL {
			silent++
			continue
		}
		demand += m.demand.services[hash]
	}
	return demand, hosts > 0 && silent <= maxHostsWithoutDemand*hosts
}

// zoneLoad returns the load of a service in a zone whose hosts send heartbeats to this one.
func (r *Router) zoneLoad(service, zone string) (spill.Load, bool) {
	demand, known := r.zoneDemand(service, zone)
	capacity, counted := r.nominalCapacity(service, zone)
	return spill.Load{Capacity: capacity, Demand: demand}, known && counted
}

// serviceLoadsToSend returns the loads of this zone for its summary.
func (r *Router) serviceLoadsToSend() []*gossippb.ServiceLoad {
	if !r.opt.Balancing.EarlySpill {
		return nil
	}
	var out []*gossippb.ServiceLoad
	for _, service := range r.spillServices() {
		if l, known := r.zoneLoad(service, r.opt.Zone); known {
			out = append(out, &gossippb.ServiceLoad{Service: hashOfService(service),
				Capacity: loadToProto(l.Capacity), Demand: loadToProto(l.Demand)})
		}
	}
	return out
}

// applyServiceLoads records the loads in another zone's summary.
func (r *Router) applyServiceLoads(zone string, list []*gossippb.ServiceLoad) {
	if !r.opt.Balancing.EarlySpill || !r.largeFleet() {
		return
	}
	reported := map[uint32]*gossippb.ServiceLoad{}
	for _, l := range list[:min(len(list), maxDemandServices)] {
		reported[l.Service] = l
	}
	for _, service := range r.spillServices() {
		if l := reported[hashOfService(service)]; l != nil {
			r.spillOf(service).forecaster.Observe(zone, r.now, spill.Load{Capacity: float64(l.Capacity), Demand: float64(l.Demand)})
		}
	}
}

func loadToProto(v float64) uint32 { return uint32(min(max(0, v+0.5), math.MaxUint32)) }
