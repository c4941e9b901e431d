package core

import (
	"slices"
	"time"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/peer/peerpb"
)

const (
	// askAgainAfter repeats an unanswered Acquire; links are reliable, so it is rarely needed.
	askAgainAfter = time.Second
	// movedPause is the wait before the next scheduler is asked, while views converge.
	movedPause = 50 * time.Millisecond
	// farPatience is how long another zone may leave a spilled request without an answer.
	farPatience = 500 * time.Millisecond
	// maxSpills is how many other zones a request may try.
	maxSpills = 2
)

// seek asks a scheduler of this zone for a grant, or one of another zone if this has no server.
func (c *Core) seek(r *request) {
	k, ok := c.pickGroup(r)
	if !ok {
		c.seekFar(r)
		return
	}
	owner := c.duty.owners[k]
	if owner == "" {
		c.pause(r)
		return
	}
	if zone, s := c.pickSpill(r, freeSlots); s != nil && len(r.spilled) == 0 && c.crowded(k) {
		c.spill(r, zone, s)
		return
	}
	c.ask(r, target{k, owner, c.opt.Self.Zone})
}

// seekFar asks another zone for a service that this one lacks. The request may wait there.
func (c *Core) seekFar(r *request) {
	zone, s := c.pickSpill(r, anyServer)
	if s == nil {
		c.finish(r, c.refusalOf(r, fault.NoBackend, time.Second))
		return
	}
	r.spilled = append(r.spilled, zone)
	c.ask(r, target{GroupKey{s.Service, s.Shard}, s.Scheduler, zone})
}

// seekAgain is for a request that has had no answer for a while. One that waits at home asks again.
// One in another zone follows the duty there, or comes home: what was asked for there should have
// started at once, and the news that led there may be of a host that is dead.
func (c *Core) seekAgain(r *request) {
	if r.target.zone == c.opt.Self.Zone {
		c.sendAcquire(r)
		return
	}
	z, known := c.gossip.zones[r.target.zone]
	moved := known && !slices.ContainsFunc(z.digest.Groups, func(s *peerpb.ServiceSummary) bool {
		return s.Service == r.Service && s.Scheduler == r.target.scheduler
	})
	_, atHome := c.pickGroup(r)
	switch {
	case moved && !atHome:
		c.abandon(r)
		r.spilled = slices.DeleteFunc(r.spilled, func(zone string) bool { return zone == r.target.zone })
		c.seek(r)
	case atHome && c.now-r.since >= farPatience:
		c.abandon(r)
		c.seek(r)
	default:
		c.sendAcquire(r)
	}
}

// pickGroup chooses among the groups of a service: two by hash of workspace and prompt, so that
// shared prefixes meet again, and of these the one with more room.
func (c *Core) pickGroup(r *request) (GroupKey, bool) {
	n := c.duty.shards[r.Service]
	if n == 0 {
		return GroupKey{}, false
	}
	first := uint32(r.locality() % uint64(n))
	if n == 1 {
		return GroupKey{r.Service, 0}, true
	}
	second := uint32((r.locality()>>32)%uint64(n-1)+uint64(first)+1) % n
	a, b := GroupKey{r.Service, first}, GroupKey{r.Service, second}
	if c.room(b) > c.room(a) {
		return b, true
	}
	return a, true
}

// spread makes 64 bits of a 32-bit hash.
const spread = 0x9E3779B97F4A7C15

// locality is equal for requests that share their first prompt block.
func (r *request) locality() uint64 {
	if len(r.Prefix) > 0 {
		return uint64(r.Prefix[0]) * spread
	}
	return hashString(r.ID)
}

// room is free slots less what waits, by the scheduler's latest word.
func (c *Core) room(k GroupKey) int {
	if g, ok := c.groups[k]; ok {
		s := g.Summary(c.now)
		return s.Free - s.Waiting
	}
	row, ok := c.duty.summary[k]
	if !ok {
		return 0
	}
	return roomOf(row.ServiceSummary)
}

// crowded tells whether a group has more waiting than it could start soon.
func (c *Core) crowded(k GroupKey) bool { return c.room(k) < 0 }

func (c *Core) ask(r *request, t target) {
	r.phase, r.target, r.since = seeking, t, c.now
	r.attempt++
	c.trace(r, "asked %s for a slot of %s/%d in %s", t.scheduler, t.group.Service, t.group.Shard, t.zone)
	c.sendAcquire(r)
}

func (c *Core) sendAcquire(r *request) {
	again := askAgainAfter
	if r.target.zone != c.opt.Self.Zone {
		again = farPatience
	}
	c.wakeAt(r, c.now+again)
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
		Spilled:       c.spilledFromHome(r),
		SentMs:        c.nowMS(),
	}}})
}

// pause waits a moment before seeking again.
func (c *Core) pause(r *request) {
	r.phase = pausing
	c.wakeAt(r, c.now+movedPause)
}

// spilledFromHome tells whether a request is asked for in another zone although this one has
// servers: it must start there at once or not at all.
func (c *Core) spilledFromHome(r *request) bool {
	_, atHome := c.pickGroup(r)
	return atHome && r.target.zone != c.opt.Self.Zone
}

// roomFor is what another zone must say of itself to be asked.
type roomFor func(r *request, s *peerpb.ServiceSummary) bool

// spareSlots of those that a lagging word says are free may be gone.
const spareSlots = 2

// freeSlots is asked for while the request could also wait at home.
func freeSlots(_ *request, s *peerpb.ServiceSummary) bool {
	return s.Free >= spareSlots && s.Waiting == 0
}

// slotsOrLowerWork is asked for before the request is refused: lower work there would make room.
func slotsOrLowerWork(r *request, s *peerpb.ServiceSummary) bool {
	return freeSlots(r, s) || (s.LowestRunning > 0 && s.LowestRunning-1 < r.Priority)
}

// anyServer is asked for where this zone has none.
func anyServer(*request, *peerpb.ServiceSummary) bool { return true }

// pickSpill finds another zone for a request: of those with room, the one with most of it.
func (c *Core) pickSpill(r *request, enough roomFor) (string, *peerpb.ServiceSummary) {
	if r.resume || len(r.spilled) >= maxSpills {
		return "", nil
	}
	bestZone := ""
	var best *peerpb.ServiceSummary
	for _, zone := range c.zonesByName() {
		z := c.gossip.zones[zone]
		if c.now-z.at > digestStale || slices.Contains(r.spilled, zone) {
			continue
		}
		for _, s := range z.digest.Groups {
			if s.Service != r.Service || s.Scheduler == "" || !enough(r, s) {
				continue
			}
			if best == nil || roomOf(s) > roomOf(best) {
				bestZone, best = zone, s
			}
		}
	}
	return bestZone, best
}

// roomOf is free slots less what waits.
func roomOf(s *peerpb.ServiceSummary) int { return int(s.Free) - int(s.Waiting) }

func (c *Core) zonesByName() []string {
	out := make([]string, 0, len(c.gossip.zones))
	for z := range c.gossip.zones {
		out = append(out, z)
	}
	slices.Sort(out)
	return out
}

func (c *Core) spill(r *request, zone string, s *peerpb.ServiceSummary) {
	r.spilled = append(r.spilled, zone)
	c.ask(r, target{GroupKey{s.Service, s.Shard}, s.Scheduler, zone})
}

// spillOr tries another zone before it gives a request up.
func (c *Core) spillOr(r *request, kind fault.Kind, after time.Duration) {
	if zone, s := c.pickSpill(r, slotsOrLowerWork); s != nil {
		c.spill(r, zone, s)
		return
	}
	c.finish(r, c.refusalOf(r, kind, after))
}

// refusalOf words a final refusal. Suspended work has run in part, whatever the scheduler says.
func (c *Core) refusalOf(r *request, kind fault.Kind, after time.Duration) *fault.Error {
	f := fault.New(kind, "service %s", r.Service)
	if r.resume {
		f = fault.New(fault.Displaced, "the work was suspended and could not go on")
	}
	if after > 0 {
		f = f.After(after)
	}
	return f
}
