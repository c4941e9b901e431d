package core

import (
	"slices"
	"time"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/peer/peerpb"
)

const (
	// acquireRetryInterval repeats an unanswered Acquire; links are reliable, so it is rarely needed.
	acquireRetryInterval = time.Second
	// movedBackoff is the wait before the next scheduler is asked, while views converge.
	movedBackoff = 50 * time.Millisecond
	// remoteSlotTimeout is how long another zone may leave a spilled request without an answer.
	remoteSlotTimeout = 500 * time.Millisecond
	// maxSpills is how many other zones a request may try.
	maxSpills = 2
)

// requestSlot asks a scheduler of this zone for a grant, or one of another zone if this has no server.
func (c *Core) requestSlot(r *request) {
	k, ok := c.pickGroup(r)
	if !ok {
		c.requestRemoteSlot(r)
		return
	}
	owner := c.roles.schedulers[k]
	if owner == "" {
		c.backOff(r)
		return
	}
	if zone, s := c.pickSpillZone(r, hasFreeSlots); s != nil && len(r.triedZones) == 0 && c.overcommitted(k) {
		c.spill(r, zone, s)
		return
	}
	c.acquireFrom(r, target{k, owner, c.opt.Self.Zone})
}

// requestRemoteSlot asks another zone for a service that this one lacks. The request may wait there.
func (c *Core) requestRemoteSlot(r *request) {
	zone, s := c.pickSpillZone(r, hasAnyServer)
	if s == nil {
		c.finish(r, c.refusalFault(r, fault.NoBackend, time.Second))
		return
	}
	r.triedZones = append(r.triedZones, zone)
	c.acquireFrom(r, target{GroupKey{s.Service, s.Shard}, s.Scheduler, zone})
}

// retrySlotRequest is for a request that has had no answer for a while. One that waits at home asks again.
// One in another zone follows the duty there, or comes home: what was asked for there should have
// started at once, and the news that led there may be of a host that is dead.
func (c *Core) retrySlotRequest(r *request) {
	if r.target.zone == c.opt.Self.Zone {
		c.sendAcquire(r)
		return
	}
	z, known := c.gossip.zones[r.target.zone]
	moved := known && !slices.ContainsFunc(z.digest.Groups, func(s *peerpb.ServiceSummary) bool {
		return s.Service == r.Service && s.Scheduler == r.target.scheduler
	})
	_, servedHere := c.pickGroup(r)
	switch {
	case moved && !servedHere:
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

// pickGroup chooses among the groups of a service: two by hash of workspace and prompt, so that
// shared prefixes meet again, and of these the one with more room.
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

// hashMultiplier makes 64 bits of a 32-bit hash.
const hashMultiplier = 0x9E3779B97F4A7C15

// locality is equal for requests that share their first prompt block.
func (r *request) locality() uint64 {
	if len(r.Prefix) > 0 {
		return uint64(r.Prefix[0]) * hashMultiplier
	}
	return hashString(r.ID)
}

// headroom is free slots less what waits, by the scheduler's latest word.
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

// overcommitted tells whether a group has more waiting than it could start soon.
func (c *Core) overcommitted(k GroupKey) bool { return c.headroom(k) < 0 }

func (c *Core) acquireFrom(r *request, t target) {
	r.phase, r.target, r.requestedAt = waitingForSlot, t, c.now
	r.attempt++
	c.trace(r, "asked %s for a slot of %s/%d in %s", t.scheduler, t.group.Service, t.group.Shard, t.zone)
	c.sendAcquire(r)
}

func (c *Core) sendAcquire(r *request) {
	again := acquireRetryInterval
	if r.target.zone != c.opt.Self.Zone {
		again = remoteSlotTimeout
	}
	c.setTimer(r, c.now+again)
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

// backOff waits a moment before seeking again.
func (c *Core) backOff(r *request) {
	r.phase = backingOff
	c.setTimer(r, c.now+movedBackoff)
}

// spilledFromOwnZone tells whether a request is asked for in another zone although this one has
// servers: it must start there at once or not at all.
func (c *Core) spilledFromOwnZone(r *request) bool {
	_, servedHere := c.pickGroup(r)
	return servedHere && r.target.zone != c.opt.Self.Zone
}

// spillFilter is what another zone must say of itself to be asked.
type spillFilter func(r *request, s *peerpb.ServiceSummary) bool

// minFreeSlots of those that a lagging word says are free may be gone.
const minFreeSlots = 2

// hasFreeSlots is asked for while the request could also wait at home.
func hasFreeSlots(_ *request, s *peerpb.ServiceSummary) bool {
	return s.Free >= minFreeSlots && s.Waiting == 0
}

// hasFreeOrPreemptibleSlots is asked for before the request is refused: lower work there would make room.
func hasFreeOrPreemptibleSlots(r *request, s *peerpb.ServiceSummary) bool {
	return hasFreeSlots(r, s) || (s.LowestRunning > 0 && s.LowestRunning-1 < r.Priority)
}

// hasAnyServer is asked for where this zone has none.
func hasAnyServer(*request, *peerpb.ServiceSummary) bool { return true }

// pickSpillZone finds another zone for a request: of those with room, the one with most of it.
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

// summaryHeadroom is free slots less what waits.
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

// spillOrRefuse tries another zone before it gives a request up.
func (c *Core) spillOrRefuse(r *request, kind fault.Kind, after time.Duration) {
	if zone, s := c.pickSpillZone(r, hasFreeOrPreemptibleSlots); s != nil {
		c.spill(r, zone, s)
		return
	}
	c.finish(r, c.refusalFault(r, kind, after))
}

// refusalFault words a final refusal. Suspended work has run in part, whatever the scheduler says.
func (c *Core) refusalFault(r *request, kind fault.Kind, after time.Duration) *fault.Error {
	f := fault.New(kind, "service %s", r.Service)
	if r.resume {
		f = fault.New(fault.Displaced, "the work was suspended and could not go on")
	}
	if after > 0 {
		f = f.WithRetryAfter(after)
	}
	return f
}
