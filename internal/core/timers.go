package core

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/indexheap"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/sched"
)

// timerHeap orders requests by the next time at which they need attention.
type timerHeap = *indexheap.Heap[*request]

func newTimerHeap() timerHeap {
	less := func(a, b *request) bool {
		if a.timerAt != b.timerAt {
			return a.timerAt < b.timerAt
		}
		return a.number < b.number
	}
	return indexheap.New(less, func(r *request, i int) { r.heapIndex = i })
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// setTimer sets the time at which a request next needs attention, at the latest its deadline.
func (c *Core) setTimer(r *request, at time.Duration) {
	r.timerAt = min(at, r.deadline)
	c.entry.timers.Fix(r.heapIndex)
}

func (c *Core) tickEntry() {
	for c.entry.timers.Len() > 0 && c.entry.timers.Min().timerAt <= c.now {
		c.timerFired(c.entry.timers.Min())
		c.deliverLocal()
	}
	if c.now-c.entry.holdingsAt >= holdingsInterval {
		c.entry.holdingsAt = c.now
		c.sendRemoteHoldings()
	}
}

func (c *Core) timerFired(r *request) {
	if c.now >= r.deadline {
		c.pastDeadline(r)
		return
	}
	switch r.phase {
	case claiming:
		c.retryClaim(r)
	case waitingForSlot:
		c.retrySlotRequest(r)
	case backingOff:
		c.requestSlot(r)
	default:
		c.setTimer(r, r.deadline)
	}
}

// pastDeadline gives the final answer at once. The traffic side cancels a running request when it handles
// Finish.
func (c *Core) pastDeadline(r *request) {
	switch {
	case r.phase == dispatched || r.phase == suspending:
		c.sendRelease(r, DispatchEnded{Outcome: Canceled})
		c.finish(r, fault.New(fault.DeadlineExceeded, "the deadline passed while backend server %s ran the request", r.backend))
	case r.resume:
		c.abandon(r)
		c.finish(r, fault.New(fault.Displaced, "the deadline passed while the request was suspended"))
	default:
		c.abandon(r)
		c.finish(r, fault.New(fault.DeadlineUnmeetable, "no slot became free before the deadline"))
	}
}

// resendAcquires repeats the Acquires that a broken link may have lost.
func (c *Core) resendAcquires(host string) {
	for _, r := range c.requestsWhere(func(r *request) bool { return r.phase == waitingForSlot && r.target.scheduler == host }) {
		c.sendAcquire(r)
	}
}

// updateTargets updates the target of running requests whose backend server has moved to another group.
func (c *Core) updateTargets() {
	for _, r := range c.entry.requests {
		k, ok := c.roles.groupOf[r.backend]
		if r.isRunning() && ok && k != r.target.group {
			r.target = target{k, c.roles.schedulers[k], c.opt.Self.Zone}
		}
	}
}

// schedulerChanged moves the waiting requests of a group to its new scheduler and reports the running ones
// to it.
func (c *Core) schedulerChanged(k GroupKey) {
	moved := c.requestsWhere(func(r *request) bool {
		return r.target.group == k && r.target.zone == c.opt.Self.Zone && r.target.scheduler != c.roles.schedulers[k]
	})
	for _, r := range moved {
		switch r.phase {
		case waitingForSlot:
			c.abandon(r)
			c.requestSlot(r)
		case dispatched, suspending:
			r.target.scheduler = c.roles.schedulers[k]
		}
	}
	if scheduler := c.roles.schedulers[k]; scheduler != "" {
		c.sendHoldings(target{k, scheduler, c.opt.Self.Zone})
	}
}

func (c *Core) requestsWhere(want func(*request) bool) []*request {
	var out []*request
	for _, r := range c.entry.requests {
		if want(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func (r *request) isRunning() bool { return r.phase == dispatched || r.phase == suspending }

// sendRemoteHoldings reports to the schedulers of other zones what this host runs under them. Those of
// this zone receive a digest with each heartbeat.
func (c *Core) sendRemoteHoldings() {
	current := map[target]bool{}
	for _, r := range c.entry.requests {
		if r.isRunning() && r.target.zone != c.opt.Self.Zone {
			current[r.target] = true
		}
	}
	all := make([]target, 0, len(current))
	for t := range current {
		all = append(all, t)
	}
	for t := range c.entry.reportedTo {
		if !current[t] {
			all = append(all, t) // one last, empty report in case a Release was lost
		}
	}
	slices.SortFunc(all, func(a, b target) int { return strings.Compare(a.key(), b.key()) })
	for _, t := range all {
		c.sendHoldings(t)
	}
	c.entry.reportedTo = current
}

func (t target) key() string {
	return fmt.Sprintf("%s/%s/%d", t.scheduler, t.group.Service, t.group.Shard)
}

// heldDigests returns digests of what this host runs under each group of its own zone.
func (c *Core) heldDigests() map[GroupKey]*peerpb.HeldDigest {
	out := map[GroupKey]*peerpb.HeldDigest{}
	for _, r := range c.entry.requests {
		if !r.isRunning() || r.target.zone != c.opt.Self.Zone {
			continue
		}
		d, ok := out[r.target.group]
		if !ok {
			d = &peerpb.HeldDigest{Service: r.target.group.Service, Shard: r.target.group.Shard}
			out[r.target.group] = d
		}
		d.Count++
		d.Digest ^= sched.RunHash(r.number, r.attempt)
	}
	return out
}

// heldDigestsFor returns the digests for the groups of one scheduler, sorted by group.
func (c *Core) heldDigestsFor(all map[GroupKey]*peerpb.HeldDigest, scheduler string) []*peerpb.HeldDigest {
	var keys []GroupKey
	for k := range all {
		if c.roles.schedulers[k] == scheduler {
			keys = append(keys, k)
		}
	}
	sortGroupKeys(keys)
	out := make([]*peerpb.HeldDigest, len(keys))
	for i, k := range keys {
		out[i] = all[k]
	}
	return out
}

func (c *Core) holdingsPull(from string, m *peerpb.HoldingsPull) {
	c.sendHoldings(target{GroupKey{m.Service, m.Shard}, from, c.opt.Self.Zone})
}

func (c *Core) sendHoldings(t target) {
	m := &peerpb.Holdings{Service: t.group.Service, Shard: t.group.Shard, SentMs: c.nowMS()}
	for _, r := range c.requestsWhere(func(r *request) bool { return r.isRunning() && r.target == t }) {
		m.Held = append(m.Held, &peerpb.Held{Request: r.number, Attempt: r.attempt, Backend: r.backend, Priority: r.Priority,
			Workspace: r.Workspace, OutputTokens: r.OutputTokens, NonIdempotent: r.NonIdempotent})
	}
	c.send(t.scheduler, &peerpb.Message{Body: &peerpb.Message_Holdings{Holdings: m}})
}
