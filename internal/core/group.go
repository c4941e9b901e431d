package core

import (
	"time"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/sched"
)

func (c *Core) tickGroups() {
	for _, k := range c.groupKeys() {
		c.decide(k, c.groups[k].Tick(c.now))
	}
}

func (c *Core) eachGroupOf(backend string, do func(*sched.Group)) {
	b := c.conf.Backend(backend)
	if b == nil {
		return
	}
	for _, k := range c.groupKeys() {
		if k.Service == b.Service {
			do(c.groups[k])
		}
	}
}

// acquire handles a slot request. If this host does not schedule the group it answers Moved, and the
// requesting host looks for the current scheduler.
func (c *Core) acquire(from string, m *peerpb.Acquire) {
	k := GroupKey{m.Service, m.Shard}
	g, ok := c.groups[k]
	if !ok {
		c.sendRefusal(from, sched.Refuse{Key: sched.Key{Host: from, Request: m.Request}, Attempt: m.Attempt, Kind: fault.Moved})
		return
	}
	c.view.UpdateEcho(from, m.SentMs)
	r := sched.Request{
		Key:           sched.Key{Host: from, Request: m.Request},
		Attempt:       m.Attempt,
		Workspace:     m.Workspace,
		Weight:        c.weightOf(m.Workspace),
		Priority:      m.Priority,
		PromptTokens:  m.PromptTokens,
		OutputTokens:  m.OutputTokens,
		Prefix:        m.Prefix,
		Deadline:      c.now + time.Duration(m.DeadlineMs)*time.Millisecond,
		NonIdempotent: m.NonIdempotent,
		Resume:        m.Resume,
		Spilled:       m.Spilled,
	}
	c.decide(k, g.Acquire(c.now, r))
}

func (c *Core) weightOf(workspace string) float64 {
	if w := c.conf.Workspace(workspace); w != nil {
		return w.Weight
	}
	return 1
}

func (c *Core) withdraw(from string, m *peerpb.Withdraw) {
	k := GroupKey{m.Service, m.Shard}
	if g, ok := c.groups[k]; ok {
		c.decide(k, g.Withdraw(c.now, sched.Key{Host: from, Request: m.Request}, m.Attempt))
	}
}

func (c *Core) release(from string, m *peerpb.Release) {
	k := GroupKey{m.Service, m.Shard}
	g, ok := c.groups[k]
	if !ok {
		return
	}
	c.decide(k, g.Release(c.now, sched.Result{
		Key:        sched.Key{Host: from, Request: m.Request},
		Attempt:    m.Attempt,
		Backend:    m.Backend,
		Outcome:    outcomeFromPeer(m.Outcome),
		FirstToken: time.Duration(m.FirstTokenUs) * time.Microsecond,
		Interval:   time.Duration(m.TokenIntervalUs) * time.Microsecond,
		Tokens:     m.Tokens,
		Prompt:     m.PromptTokens,
	}))
}

func (c *Core) holdings(from string, m *peerpb.Holdings) {
	k := GroupKey{m.Service, m.Shard}
	g, ok := c.groups[k]
	if !ok {
		return
	}
	c.view.UpdateEcho(from, m.SentMs)
	held := make([]sched.Held, len(m.Held))
	for i, h := range m.Held {
		held[i] = sched.Held{Key: sched.Key{Host: from, Request: h.Request}, Attempt: h.Attempt, Backend: h.Backend,
			Workspace: h.Workspace, Priority: h.Priority, OutputTokens: h.OutputTokens, NonIdempotent: h.NonIdempotent}
	}
	c.decide(k, g.UpdateHoldings(c.now, from, held))
}

// confirmHeld compares the digests of what an entry host runs with this host's record, and requests the
// full list where they differ. A group that the entry host does not list must have no runs of it.
func (c *Core) confirmHeld(from string, held []*peerpb.HeldDigest) {
	for _, k := range c.groupKeys() {
		count, digest := 0, uint64(0)
		for _, d := range held {
			if d.Service == k.Service && d.Shard == k.Shard {
				count, digest = int(d.Count), d.Digest
			}
		}
		if !c.groups[k].Confirm(c.now, from, count, digest) {
			c.send(from, &peerpb.Message{Body: &peerpb.Message_HoldingsPull{
				HoldingsPull: &peerpb.HoldingsPull{Service: k.Service, Shard: k.Shard}}})
		}
	}
}

// decide sends the decisions of a group to the entry hosts.
func (c *Core) decide(k GroupKey, decisions []sched.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case sched.Grant:
			c.sendGrant(d)
		case sched.Refuse:
			c.sendRefusal(d.Key.Host, d)
		case sched.Preempt:
			c.send(d.Key.Host, &peerpb.Message{Body: &peerpb.Message_Preempt{
				Preempt: &peerpb.Preempt{Request: d.Key.Request, Attempt: d.Attempt}}})
		}
	}
}

func (c *Core) sendGrant(d sched.Grant) {
	echo, incarnation := c.nowMS(), c.opt.Incarnation
	if d.Key.Host != c.opt.Self.ID {
		echo, incarnation = c.view.Echo(d.Key.Host)
	}
	c.send(d.Key.Host, &peerpb.Message{Body: &peerpb.Message_Grant{Grant: &peerpb.Grant{
		Request: d.Key.Request, Attempt: d.Attempt, Backend: d.Backend, LeaseMs: uint32(d.Lease / time.Millisecond),
		EchoMs: echo, EchoIncarnation: incarnation}}})
}

func (c *Core) sendRefusal(to string, d sched.Refuse) {
	c.send(to, &peerpb.Message{Body: &peerpb.Message_Refusal{Refusal: &peerpb.Refusal{
		Request: d.Key.Request, Attempt: d.Attempt, Kind: string(d.Kind), RetryAfterMs: uint32(d.RetryAfter / time.Millisecond)}}})
}
