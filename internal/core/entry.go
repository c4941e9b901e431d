package core

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

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
	// maxReseeks bounds dispatches that were proved not sent; each also costs retry budget.
	maxReseeks = 3
	// retryShare of the requests may be retried, with retryBurst saved up at most.
	retryShare = 0.1
	retryBurst = 50.0
	// holdEvery is how often Holdings go to other zones; it must be well under
	// sched.Options.Unconfirmed.
	holdEvery = time.Second
	// maxFinished bounds what fireflyctl explain can look back on.
	maxFinished = 4096
	// rateSlack allows for a balancer that spreads a workspace unevenly over the hosts.
	rateSlack = 1.5
)

// phase is where a request stands.
type phase int

const (
	claiming phase = iota + 1
	seeking
	pausing // waits to seek again
	dispatched
	suspending
)

// target is the scheduler that a request waits at.
type target struct {
	group     GroupKey
	scheduler string
	zone      string
}

// request is one caller's request at its entry host.
type request struct {
	Submit
	// number names the request in messages between hosts: it costs a few bytes where an id has 36.
	number   uint64
	deadline time.Duration
	weight   float64
	phase    phase
	attempt  uint32
	target   target
	backend  string
	// sent is the at-most-once mark: it is set before the dispatch leaves the reducer, and taken
	// back only when the traffic side proves that no byte was sent.
	sent    bool
	resume  bool
	reseeks int
	spilled []string
	// refusedHere tells that this zone's own scheduler has refused it.
	refusedHere bool
	asked       time.Duration
	wake        time.Duration
	index       int
	trail       []Hop
}

// Hop is one step of a request's way, for operators.
type Hop struct {
	At   time.Duration `json:"at"`
	What string        `json:"what"`
}

// entryState is what an entry host keeps for its callers.
type entryState struct {
	requests map[string]*request
	byNumber map[uint64]*request
	latest   uint64 // the latest number given
	wakes    wakeHeap
	limits   map[string]*rate.Limiter
	budget   float64
	heldAt   time.Duration
	held     map[target]bool // schedulers that were told of runs
	finished map[string][]Hop
	order    []string
}

func newEntryState() entryState {
	return entryState{
		requests: map[string]*request{},
		byNumber: map[uint64]*request{},
		limits:   map[string]*rate.Limiter{},
		budget:   retryBurst,
		held:     map[target]bool{},
		finished: map[string][]Hop{},
	}
}

func (c *Core) submit(e Submit) {
	r := &request{Submit: e, deadline: c.now + e.Deadline, weight: c.weightOf(e.Workspace)}
	if f := c.refuseSubmit(e); f != nil {
		c.emit(Finish{e.ID, f})
		return
	}
	c.entry.budget = min(retryBurst, c.entry.budget+retryShare)
	c.entry.latest++
	r.number = c.entry.latest
	c.entry.requests[e.ID] = r
	c.entry.byNumber[r.number] = r
	heap.Push(&c.entry.wakes, r)
	c.trace(r, "accepted: workspace %s, tier %s, service %s", e.Workspace, e.Tier, e.Service)
	if e.Ticket != nil {
		c.claim(r)
		return
	}
	c.seek(r)
}

func (c *Core) refuseSubmit(e Submit) *fault.Error {
	if c.drain {
		return fault.New(fault.Draining, "host %s is shutting down", c.opt.Self.ID)
	}
	if !c.gossip.synced {
		return fault.New(fault.NotReady, "host %s has no proved configuration", c.opt.Self.ID)
	}
	if _, taken := c.entry.requests[e.ID]; taken {
		return fault.New(fault.TicketInProgress, "request %s is being served", e.ID)
	}
	if len(c.entry.requests) >= c.opt.MaxRequests {
		return fault.New(fault.Overloaded, "host %s holds %d requests", c.opt.Self.ID, c.opt.MaxRequests)
	}
	return c.overRate(e.Workspace)
}

// overRate applies the host's part of a workspace's fleet-wide rate. The part comes from the size
// of the platform's list, so a partition does not multiply the limit.
func (c *Core) overRate(workspace string) *fault.Error {
	w := c.conf.Workspace(workspace)
	if w == nil || w.Rate == 0 {
		return nil
	}
	share := min(1, rateSlack/float64(c.view.FleetSize()))
	part := rate.Limit(w.Rate * share)
	burst := max(1, int(float64(w.Burst)*share))
	l, ok := c.entry.limits[workspace]
	if !ok {
		l = rate.NewLimiter(part, burst)
		c.entry.limits[workspace] = l
	}
	at := time.Unix(0, int64(c.now))
	if l.Limit() != part || l.Burst() != burst {
		l.SetLimitAt(at, part)
		l.SetBurstAt(at, burst)
	}
	if l.AllowN(at, 1) {
		return nil
	}
	back := time.Duration(float64(time.Second) / float64(part))
	return fault.New(fault.RateLimited, "workspace %s is over its rate of %g a second", workspace, w.Rate).After(max(back, 100*time.Millisecond))
}

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

// grant takes permission to dispatch. The mark is set here, before the effect leaves the reducer:
// this is the one write-ahead point of the system.
//
// The checks guard against a grant that crossed the news of a server's leaving, or that waited out
// a pause of this process: the host's own configuration and its own clock decide, not the sender's.
func (c *Core) grant(from string, m *peerpb.Grant) {
	r, ok := c.entry.byNumber[m.Request]
	if !ok || r.phase != seeking || r.attempt != m.Attempt || r.target.scheduler != from {
		c.returnGrant(from, m)
		return
	}
	spec, usable := c.usable(m.Backend)
	until := time.Duration(m.EchoMs+uint64(m.LeaseMs)) * time.Millisecond
	if !usable || m.EchoIncarnation != c.opt.Incarnation || c.now > until {
		c.trace(r, "grant on %s came too late or for a leaving backend server", m.Backend)
		c.returnGrant(from, m)
		c.pause(r)
		return
	}
	if !c.inv.Check(!r.sent || r.resume, "request %s would be dispatched twice", r.ID) {
		return
	}
	c.inv.Check(!spec.Leaving, "request %s dispatched to leaving backend server %s", r.ID, spec.Name)
	r.sent, r.phase, r.backend = true, dispatched, m.Backend
	c.trace(r, "dispatched to %s", m.Backend)
	c.wakeAt(r, r.deadline)
	c.emit(Dispatch{r.ID, r.attempt, spec, min(until, r.deadline), r.resume})
}

func (c *Core) returnGrant(from string, m *peerpb.Grant) {
	r, ok := c.entry.byNumber[m.Request]
	if ok && r.attempt == m.Attempt && (r.phase == dispatched || r.phase == suspending) {
		return // a repeated answer to a repeated question: the slot is in use
	}
	k, ok := c.duty.groupOf[m.Backend]
	if !ok {
		return // the scheduler frees the slot when Holdings do not name it
	}
	c.send(from, &peerpb.Message{Body: &peerpb.Message_Release{Release: &peerpb.Release{
		Request: m.Request, Attempt: m.Attempt, Service: k.Service, Shard: k.Shard, Backend: m.Backend,
		Outcome: peerpb.Outcome_OUTCOME_UNUSED}}})
}

func (c *Core) refusal(from string, m *peerpb.Refusal) {
	r, ok := c.entry.byNumber[m.Request]
	if !ok || r.phase != seeking || r.attempt != m.Attempt || r.target.scheduler != from {
		return
	}
	c.trace(r, "%s refused: %s", from, m.Kind)
	kind := fault.Kind(m.Kind)
	if kind == fault.Moved {
		c.pause(r)
		return
	}
	// Another zone that has no room after all says nothing about this one.
	if r.target.zone == c.opt.Self.Zone {
		r.refusedHere = true
	} else if _, ok := c.pickGroup(r); ok && !r.refusedHere {
		c.seek(r)
		return
	}
	c.spillOr(r, kind, time.Duration(m.RetryAfterMs)*time.Millisecond)
}

func (c *Core) preempt(from string, m *peerpb.Preempt) {
	r, ok := c.entry.byNumber[m.Request]
	if !ok || r.phase != dispatched || r.attempt != m.Attempt || r.target.scheduler != from {
		return
	}
	c.trace(r, "suspending on %s for more urgent work", r.backend)
	r.phase = suspending
	c.emit(Suspend{r.ID})
}

func (c *Core) ended(e Ended) {
	r, ok := c.entry.requests[e.ID]
	if !ok || !r.runs() || r.attempt != e.Attempt {
		return
	}
	c.sendRelease(r, e)
	switch e.Outcome {
	case Done:
		c.trace(r, "answered whole by %s", r.backend)
		c.finish(r, nil)
	case Suspended:
		r.resume = true
		c.trace(r, "suspended")
		c.seek(r)
	case NotSent:
		c.notSent(r)
	case Canceled:
		c.finish(r, fault.New(fault.DeadlineExceeded, "canceled"))
	default:
		f := e.Fault
		if f == nil {
			f = fault.New(fault.OutcomeUnknown, "backend server %s was lost", r.backend)
		}
		c.finish(r, f)
	}
}

// notSent takes the mark back: the connection was refused, so the work cannot have begun. The
// retry budget guards against a retry storm when many servers refuse at once.
func (c *Core) notSent(r *request) {
	c.trace(r, "%s refused the connection: not sent", r.backend)
	if !r.resume {
		r.sent = false
	}
	r.reseeks++
	if r.reseeks > maxReseeks || c.entry.budget < 1 {
		c.spillOr(r, fault.NoBackend, time.Second)
		return
	}
	c.entry.budget--
	c.seek(r)
}

func (c *Core) sendRelease(r *request, e Ended) {
	c.send(r.target.scheduler, &peerpb.Message{Body: &peerpb.Message_Release{Release: &peerpb.Release{
		Request:         r.number,
		Attempt:         r.attempt,
		Service:         r.target.group.Service,
		Shard:           r.target.group.Shard,
		Backend:         r.backend,
		Outcome:         e.Outcome.toPeer(),
		FirstTokenUs:    uint32(e.FirstToken / time.Microsecond),
		TokenIntervalUs: uint32(e.Interval / time.Microsecond),
		Tokens:          e.Tokens,
		PromptTokens:    r.PromptTokens,
	}}})
}

func (c *Core) gone(id string) {
	r, ok := c.entry.requests[id]
	if !ok {
		return
	}
	switch r.phase {
	case dispatched, suspending:
		return // the traffic side cancels and reports Ended
	default:
		c.trace(r, "caller closed the connection")
		c.abandon(r)
		c.finish(r, fault.New(fault.DeadlineUnmeetable, "the caller closed the connection"))
	}
}

// abandon takes a waiting request back from its scheduler.
func (c *Core) abandon(r *request) {
	if r.phase != seeking {
		return
	}
	c.send(r.target.scheduler, &peerpb.Message{Body: &peerpb.Message_Withdraw{Withdraw: &peerpb.Withdraw{
		Request: r.number, Attempt: r.attempt, Service: r.target.group.Service, Shard: r.target.group.Shard}}})
}

// finish ends a request once and for all.
func (c *Core) finish(r *request, f *fault.Error) {
	if !c.inv.Check(c.entry.requests[r.ID] == r, "request %s finished twice", r.ID) {
		return
	}
	if f != nil {
		c.inv.Check(f.Ran != fault.NotRun || !r.sent, "request %s called not run after its dispatch", r.ID)
		c.trace(r, "ended: %s", f.Kind)
	}
	heap.Remove(&c.entry.wakes, r.index)
	delete(c.entry.requests, r.ID)
	delete(c.entry.byNumber, r.number)
	c.settleOwn(r, f)
	c.remember(r)
	c.emit(Finish{r.ID, f})
}

func (c *Core) trace(r *request, format string, args ...any) {
	r.trail = append(r.trail, Hop{c.now, fmt.Sprintf(format, args...)})
}

func (c *Core) remember(r *request) {
	c.entry.finished[r.ID] = r.trail
	c.entry.order = append(c.entry.order, r.ID)
	if len(c.entry.order) > maxFinished {
		delete(c.entry.finished, c.entry.order[0])
		c.entry.order = c.entry.order[1:]
	}
}

// Trail tells the way of a request that this host holds or lately held.
func (c *Core) Trail(id string) []Hop {
	if r, ok := c.entry.requests[id]; ok {
		return r.trail
	}
	return c.entry.finished[id]
}

// settleOwn tells the ticket's home how the claim ended. A claim whose work may have run stays
// open until it expires: nobody can say that it is done, or that it is not.
func (c *Core) settleOwn(r *request, f *fault.Error) {
	if r.Ticket == nil || (f != nil && f.Ran == fault.MayHaveRun && r.sent) {
		return
	}
	c.settle(r, !r.sent)
}
