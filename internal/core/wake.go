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

// timerHeap orders requests by the next moment at which time itself is an event for them.
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

// setTimer sets the next moment to look at a request, its deadline at the latest.
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

// pastDeadline gives the final answer at once. Work that runs is canceled by the traffic side when
// it sees Finish.
func (c *Core) pastDeadline(r *request) {
	switch {
	case r.phase == dispatched || r.phase == suspending:
		c.sendRelease(r, Ended{Outcome: Canceled})
		c.finish(r, fault.New(fault.DeadlineExceeded, "the deadline passed while %s worked", r.backend))
	case r.resume:
		c.abandon(r)
		c.finish(r, fault.New(fault.Displaced, "the deadline passed while the work was suspended"))
	default:
		c.abandon(r)
		c.finish(r, fault.New(fault.DeadlineUnmeetable, "no slot came free in time"))
	}
}

// resendAcquires repeats what a cut link may have lost.
func (c *Core) resendAcquires(host string) {
	for _, r := range c.requestsWhere(func(r *request) bool { return r.phase == waitingForSlot && r.target.scheduler == host }) {
		c.sendAcquire(r)
	}
}

// updateTargets follows running requests whose backend server is dealt to another group.
func (c *Core) updateTargets() {
	for _, r := range c.entry.requests {
		k, ok := c.roles.groupOf[r.backend]
		if r.isRunning() && ok && k != r.target.group {
			r.target = target{k, c.roles.schedulers[k], c.opt.Self.Zone}
		}
	}
}

// schedulerChanged moves what waits for a group to its new scheduler and tells it what runs.
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
	if owner := c.roles.schedulers[k]; owner != "" {
		c.sendHoldings(target{k, owner, c.opt.Self.Zone})
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

// sendRemoteHoldings tells the schedulers of other zones what this host runs under them. Those of this
// zone hear it as a digest in each heartbeat.
func (c *Core) sendRemoteHoldings() {
	now := map[target]bool{}
	for _, r := range c.entry.requests {
		if r.isRunning() && r.target.zone != c.opt.Self.Zone {
			now[r.target] = true
		}
	}
	all := make([]target, 0, len(now))
	for t := range now {
		all = append(all, t)
	}
	for t := range c.entry.reportedTo {
		if !now[t] {
			all = append(all, t) // hears of the end once more, in case a Release was lost
		}
	}
	slices.SortFunc(all, func(a, b target) int { return strings.Compare(a.key(), b.key()) })
	for _, t := range all {
		c.sendHoldings(t)
	}
	c.entry.reportedTo = now
}

func (t target) key() string {
	return fmt.Sprintf("%s/%s/%d", t.scheduler, t.group.Service, t.group.Shard)
}

// heldDigests sums up what this host runs under each group of its own zone.
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

// heldDigestsFor lists, of these, the digests for one scheduler.
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
