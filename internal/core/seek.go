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
	// maxSpills is how many other zones a request may try.
	maxSpills = 2
)

// seek asks a scheduler of this zone for a grant, or one of another zone if this has no server.
func (c *Core) seek(r *request) {
	k, ok := c.pickGroup(r)
	if !ok {
		c.spillOr(r, fault.NoBackend, time.Second)
		return
	}
	owner := c.duty.owners[k]
	if owner == "" {
		c.pause(r)
		return
	}
	if zone, s := c.pickSpill(r, true); s != nil && len(r.spilled) == 0 && c.crowded(k) {
		c.spill(r, zone, s)
		return
	}
	c.ask(r, target{k, owner, c.opt.Self.Zone})
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
	return int(row.Free) - int(row.Waiting)
}

// crowded tells whether a group has more waiting than it could start soon.
func (c *Core) crowded(k GroupKey) bool { return c.room(k) < 0 }

func (c *Core) ask(r *request, t target) {
	r.phase, r.target = seeking, t
	r.attempt++
	c.trace(r, "asked %s for a slot of %s/%d in %s", t.scheduler, t.group.Service, t.group.Shard, t.zone)
	c.sendAcquire(r)
}

func (c *Core) sendAcquire(r *request) {
	r.asked = c.now
	c.wakeAt(r, c.now+askAgainAfter)
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
		Spilled:       r.target.zone != c.opt.Self.Zone,
		SentMs:        c.nowMS(),
	}}})
}

// pause waits a moment before seeking again.
func (c *Core) pause(r *request) {
	r.phase = pausing
	c.wakeAt(r, c.now+movedPause)
}

// pickSpill finds another zone that could start the request now. While this zone only waits, a
// free slot elsewhere is asked for; before a refusal, lower work elsewhere counts as room too.
func (c *Core) pickSpill(r *request, freeOnly bool) (string, *peerpb.ServiceSummary) {
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
			if s.Service != r.Service || s.Scheduler == "" || !c.hasRoom(r, s, freeOnly) {
				continue
			}
			if best == nil || s.Free > best.Free {
				bestZone, best = zone, s
			}
		}
	}
	return bestZone, best
}

func (c *Core) hasRoom(r *request, s *peerpb.ServiceSummary, freeOnly bool) bool {
	const spare = 2 // of the slots that a lagging word says are free
	if s.Free >= spare && s.Waiting == 0 {
		return true
	}
	return !freeOnly && s.LowestRunning > 0 && s.LowestRunning-1 < r.Priority
}

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
	if zone, s := c.pickSpill(r, false); s != nil {
		c.spill(r, zone, s)
		return
	}
	f := fault.New(kind, "service %s", r.Service)
	if r.resume {
		f = fault.New(fault.Displaced, "the work was suspended and could not go on")
	}
	if after > 0 {
		f = f.After(after)
	}
	c.finish(r, f)
}
