package core

import (
	"slices"
	"time"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/peer/peerpb"
)

const (
	// acquireRetryInterval is when an unanswered Acquire is repeated. Links are reliable, so that this is
	// rare.
	acquireRetryInterval = time.Second
	// movedBackoff is the wait before another scheduler is asked, while membership views converge.
	movedBackoff = 50 * time.Millisecond
	// remoteSlotTimeout is how long another zone may leave a spilled request unanswered.
	remoteSlotTimeout = 500 * time.Millisecond
	// maxSpills is the maximum number of other zones that a request is sent to.
	maxSpills = 2
)

// requestSlot requests a slot from a scheduler of this zone, or of another zone if this one has no backend
// server for the service.
func (c *Core) requestSlot(r *request) {
	k, ok := c.pickGroup(r)
	if !ok {
		c.requestRemoteSlot(r)
		return
	}
	scheduler := c.roles.schedulers[k]
	if scheduler == "" {
		c.backOff(r)
		return
	}
	if zone, s := c.pickSpillZone(r, hasFreeSlots); s != nil && len(r.triedZones) == 0 && c.overcommitted(k) {
		c.spill(r, zone, s)
		return
	}
	c.acquireFrom(r, target{k, scheduler, c.opt.Self.Zone})
}

// requestRemoteSlot requests a slot in another zone for a service without backend servers in this zone.
// The request may wait there.
func (c *Core) requestRemoteSlot(r *request) {
	zone, s := c.pickSpillZone(r, hasAnyServer)
	if s == nil {
		c.finish(r, c.refusalFault(r, fault.NoBackend, time.Second))
		return
	}
	r.triedZones = append(r.triedZones, zone)
	c.acquireFrom(r, target{GroupKey{s.Service, s.Shard}, s.Scheduler, zone})
}

// retrySlotRequest handles a request that has not been answered for a while. In this zone the Acquire is
// repeated. A request in another zone follows the scheduler role there if this zone cannot serve it.
// Otherwise it returns to this zone after remoteSlotTimeout: it was spilled because it should start there
// at once, and the digest that it was spilled on may be from a dead host.
func (c *Core) retrySlotRequest(r *request) {
	if r.target.zone == c.opt.Self.Zone {
		c.sendAcquire(r)
		return
	}
	z, known := c.gossip.zones[r.target.zone]
	roleMoved := known && !slices.ContainsFunc(z.digest.Groups, func(s *peerpb.ServiceSummary) bool {
		return s.Service == r.Service && s.Scheduler == r.target.scheduler
	})
	_, servedHere := c.pickGroup(r)
	switch {
	case roleMoved && !servedHere:
		c.abandon(r)
		r.triedZones = slices.DeleteFunc(r.triedZones, func(zone string) bool { return zone == r.target.zone })
		c.requestSlot(r)
	case servedHere && c.now-r.requestedAt >= remoteSlotTimeout:
		c.abandon(r)
		c.requestSlot(r)
	default:
		c.sendAcquire(r)
	}
}

// pickGroup chooses a group of a service. Two candidates follow from a hash of the first prompt block, so
// that requests with a shared prefix meet in the same groups; the one with more headroom is taken.
func (c *Core) pickGroup(r *request) (GroupKey, bool) {
	n := c.roles.shards[r.Service]
	if n == 0 {
		return GroupKey{}, false
	}
	first := uint32(r.locality() % uint64(n))
	if n == 1 {
		return GroupKey{r.Service, 0}, true
	}
	second := uint32((r.locality()>>32)%uint64(n-1)+uint64(first)+1) % n
	a, b := GroupKey{r.Service, first}, GroupKey{r.Service, second}
	if c.headroom(b) > c.headroom(a) {
		return b, true
	}
	return a, true
}

// hashMultiplier (2^64 divided by the golden ratio) spreads a 32-bit hash over 64 bits.
const hashMultiplier = 0x9E3779B97F4A7C15

// locality is equal for requests that share their first prompt block. Requests without a prefix are spread
// by ID.
func (r *request) locality() uint64 {
	if len(r.Prefix) > 0 {
		return uint64(r.Prefix[0]) * hashMultiplier
	}
	return hashString(r.ID)
}

// headroom returns the free slots of a group minus its waiting requests, from the latest summary of its
// scheduler.
func (c *Core) headroom(k GroupKey) int {
	if g, ok := c.groups[k]; ok {
		s := g.Summary(c.now)
		return s.Free - s.Waiting
	}
	row, ok := c.roles.summaries[k]
	if !ok {
		return 0
	}
	return summaryHeadroom(row.ServiceSummary)
}

// overcommitted reports whether a group has more waiting requests than free slots.
func (c *Core) overcommitted(k GroupKey) bool { return c.headroom(k) < 0 }

func (c *Core) acquireFrom(r *request, t target) {
	r.phase, r.target, r.requestedAt = waitingForSlot, t, c.now
	r.attempt++
	c.trace(r, "requested a slot from scheduler %s for group %s/%d in zone %s", t.scheduler, t.group.Service, t.group.Shard, t.zone)
	c.sendAcquire(r)
}

func (c *Core) sendAcquire(r *request) {
	retryAfter := acquireRetryInterval
	if r.target.zone != c.opt.Self.Zone {
		retryAfter = remoteSlotTimeout
	}
	c.setTimer(r, c.now+retryAfter)
	c.send(r.target.scheduler, &peerpb.Message{Body: &peerpb.Message_Acquire{Acquire: &peerpb.Acquire{
		Request:       r.number,
		Attempt:       r.attempt,
		Service:       r.target.group.Service,
		Shard:         r.target.group.Shard,
		Priority:      r.Priority,
		Workspace:     r.Workspace,
		PromptTokens:  r.PromptTokens,
		OutputTokens:  r.OutputTokens,
		Prefix:        r.Prefix,
		DeadlineMs:    uint32((r.deadline - c.now) / time.Millisecond),
		NonIdempotent: r.NonIdempotent,
		Resume:        r.resume,
		Traceparent:   r.Traceparent,
		Spilled:       c.spilledFromOwnZone(r),
		SentMs:        c.nowMS(),
	}}})
}

// backOff waits for movedBackoff before the request asks for a slot again.
func (c *Core) backOff(r *request) {
	r.phase = backingOff
	c.setTimer(r, c.now+movedBackoff)
}

// spilledFromOwnZone reports whether a request waits in another zone although this zone has backend
// servers for it. Such a request must start there at once or be refused.
func (c *Core) spilledFromOwnZone(r *request) bool {
	_, servedHere := c.pickGroup(r)
	return servedHere && r.target.zone != c.opt.Self.Zone
}

// spillFilter reports whether another zone may be asked for a slot, judged by its summary.
type spillFilter func(r *request, s *peerpb.ServiceSummary) bool

// minFreeSlots is the number of free slots that a summary must show: some may have been taken since it was
// sent.
const minFreeSlots = 2

// hasFreeSlots is the filter while the request could also wait in its own zone.
func hasFreeSlots(_ *request, s *peerpb.ServiceSummary) bool {
	return s.Free >= minFreeSlots && s.Waiting == 0
}

// hasFreeOrPreemptibleSlots is the filter before a request is refused: runs of a lower priority there
// could be preempted.
func hasFreeOrPreemptibleSlots(r *request, s *peerpb.ServiceSummary) bool {
	return hasFreeSlots(r, s) || (s.LowestRunning > 0 && s.LowestRunning-1 < r.Priority)
}

// hasAnyServer is the filter if this zone has no backend server for the service.
func hasAnyServer(*request, *peerpb.ServiceSummary) bool { return true }

// pickSpillZone picks the other zone with the most headroom among those that pass the filter.
func (c *Core) pickSpillZone(r *request, enough spillFilter) (string, *peerpb.ServiceSummary) {
	if r.resume || len(r.triedZones) >= maxSpills {
		return "", nil
	}
	bestZone := ""
	var best *peerpb.ServiceSummary
	for _, zone := range c.sortedZones() {
		z := c.gossip.zones[zone]
		if c.now-z.at > digestTTL || slices.Contains(r.triedZones, zone) {
			continue
		}
		for _, s := range z.digest.Groups {
			if s.Service != r.Service || s.Scheduler == "" || !enough(r, s) {
				continue
			}
			if best == nil || summaryHeadroom(s) > summaryHeadroom(best) {
				bestZone, best = zone, s
			}
		}
	}
	return bestZone, best
}

// summaryHeadroom returns the free slots of a group minus its waiting requests.
func summaryHeadroom(s *peerpb.ServiceSummary) int { return int(s.Free) - int(s.Waiting) }

func (c *Core) sortedZones() []string {
	out := make([]string, 0, len(c.gossip.zones))
	for z := range c.gossip.zones {
		out = append(out, z)
	}
	slices.Sort(out)
	return out
}

func (c *Core) spill(r *request, zone string, s *peerpb.ServiceSummary) {
	r.triedZones = append(r.triedZones, zone)
	c.acquireFrom(r, target{GroupKey{s.Service, s.Shard}, s.Scheduler, zone})
}

// spillOrRefuse tries another zone before it refuses the request.
func (c *Core) spillOrRefuse(r *request, kind fault.Kind, after time.Duration) {
	if zone, s := c.pickSpillZone(r, hasFreeOrPreemptibleSlots); s != nil {
		c.spill(r, zone, s)
		return
	}
	c.finish(r, c.refusalFault(r, kind, after))
}

// refusalFault returns the fault of a final refusal. A suspended request has run in part, whatever kind
// the scheduler gave.
func (c *Core) refusalFault(r *request, kind fault.Kind, after time.Duration) *fault.Error {
	f := fault.New(kind, "no slot for service %s", r.Service)
	if r.resume {
		f = fault.New(fault.Displaced, "the request was suspended and could not be resumed")
	}
	if after > 0 {
		f = f.WithRetryAfter(after)
	}
	return f
}
