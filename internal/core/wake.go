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

// wakeHeap orders requests by the next moment at which time itself is an event for them.
type wakeHeap = *indexheap.Heap[*request]

func newWakeHeap() wakeHeap {
	less := func(a, b *request) bool {
		if a.wake != b.wake {
			return a.wake < b.wake
		}
		return a.number < b.number
	}
	return indexheap.New(less, func(r *request, i int) { r.index = i })
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// wakeAt sets the next moment to look at a request, its deadline at the latest.
func (c *Core) wakeAt(r *request, at time.Duration) {
	r.wake = min(at, r.deadline)
	c.entry.wakes.Fix(r.index)
}

func (c *Core) tickEntry() {
	for c.entry.wakes.Len() > 0 && c.entry.wakes.Min().wake <= c.now {
		c.woken(c.entry.wakes.Min())
		c.deliverLocal()
	}
	if c.now-c.entry.heldAt >= holdEvery {
		c.entry.heldAt = c.now
		c.sendFarHoldings()
	}
}

func (c *Core) woken(r *request) {
	if c.now >= r.deadline {
		c.pastDeadline(r)
		return
	}
	switch r.phase {
	case claiming:
		c.claimAgain(r)
	case seeking:
		c.seekAgain(r)
	case pausing:
		c.seek(r)
	default:
		c.wakeAt(r, r.deadline)
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

// askAgain repeats what a cut link may have lost.
func (c *Core) askAgain(host string) {
	for _, r := range c.requestsWhere(func(r *request) bool { return r.phase == seeking && r.target.scheduler == host }) {
		c.sendAcquire(r)
	}
}

// regroup follows running requests whose backend server is dealt to another group.
func (c *Core) regroup() {
	for _, r := range c.entry.requests {
		k, ok := c.duty.groupOf[r.backend]
		if r.runs() && ok && k != r.target.group {
			r.target = target{k, c.duty.owners[k], c.opt.Self.Zone}
		}
	}
}

// ownerChanged moves what waits for a group to its new scheduler and tells it what runs.
func (c *Core) ownerChanged(k GroupKey) {
	moved := c.requestsWhere(func(r *request) bool {
		return r.target.group == k && r.target.zone == c.opt.Self.Zone && r.target.scheduler != c.duty.owners[k]
	})
	for _, r := range moved {
		switch r.phase {
		case seeking:
			c.abandon(r)
			c.seek(r)
		case dispatched, suspending:
			r.target.scheduler = c.duty.owners[k]
		}
	}
	if owner := c.duty.owners[k]; owner != "" {
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

func (r *request) runs() bool { return r.phase == dispatched || r.phase == suspending }

// sendFarHoldings tells the schedulers of other zones what this host runs under them. Those of this
// zone hear it as a digest in each heartbeat.
func (c *Core) sendFarHoldings() {
	now := map[target]bool{}
	for _, r := range c.entry.requests {
		if r.runs() && r.target.zone != c.opt.Self.Zone {
			now[r.target] = true
		}
	}
	all := make([]target, 0, len(now))
	for t := range now {
		all = append(all, t)
	}
	for t := range c.entry.held {
		if !now[t] {
			all = append(all, t) // hears of the end once more, in case a Release was lost
		}
	}
	slices.SortFunc(all, func(a, b target) int { return strings.Compare(a.key(), b.key()) })
	for _, t := range all {
		c.sendHoldings(t)
	}
	c.entry.held = now
}

func (t target) key() string {
	return fmt.Sprintf("%s/%s/%d", t.scheduler, t.group.Service, t.group.Shard)
}

// heldUnder sums up what this host runs under each group of its own zone.
func (c *Core) heldUnder() map[GroupKey]*peerpb.HeldDigest {
	out := map[GroupKey]*peerpb.HeldDigest{}
	for _, r := range c.entry.requests {
		if !r.runs() || r.target.zone != c.opt.Self.Zone {
			continue
		}
		d, ok := out[r.target.group]
		if !ok {
			d = &peerpb.HeldDigest{Service: r.target.group.Service, Shard: r.target.group.Shard}
			out[r.target.group] = d
		}
		d.Count++
		d.Digest ^= sched.HeldStamp(r.number, r.attempt)
	}
	return out
}

// heldBy lists, of these, the digests for one scheduler.
func (c *Core) heldBy(all map[GroupKey]*peerpb.HeldDigest, scheduler string) []*peerpb.HeldDigest {
	var keys []GroupKey
	for k := range all {
		if c.duty.owners[k] == scheduler {
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
	for _, r := range c.requestsWhere(func(r *request) bool { return r.runs() && r.target == t }) {
		m.Held = append(m.Held, &peerpb.Held{Request: r.number, Attempt: r.attempt, Backend: r.backend, Priority: r.Priority,
			Workspace: r.Workspace, OutputTokens: r.OutputTokens, NonIdempotent: r.NonIdempotent})
	}
	c.send(t.scheduler, &peerpb.Message{Body: &peerpb.Message_Holdings{Holdings: m}})
}
