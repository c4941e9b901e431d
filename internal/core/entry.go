package core

import (
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/peer/peerpb"
)

const (
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
	since       time.Duration // when the ticket, or the slot, was first asked for
	wake        time.Duration
	index       int
	trail       []Hop
	// onTrial tells that it runs though it is in quarantine, to show whether it does harm.
	onTrial bool
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
		wakes:    newWakeHeap(),
		limits:   map[string]*rate.Limiter{},
		budget:   retryBurst,
		held:     map[target]bool{},
		finished: map[string][]Hop{},
	}
}

func (c *Core) submit(e Submit) {
	r := &request{Submit: e, deadline: c.now + e.Deadline, weight: c.weightOf(e.Workspace)}
	r.onTrial = c.trial(e.Digest)
	if f := c.quarantined(r); f != nil {
		c.emit(Finish{e.ID, f})
		return
	}
	if f := c.refuseSubmit(e); f != nil {
		c.emit(Finish{e.ID, f})
		return
	}
	c.entry.budget = min(retryBurst, c.entry.budget+retryShare)
	c.entry.latest++
	r.number = c.entry.latest
	c.entry.requests[e.ID] = r
	c.entry.byNumber[r.number] = r
	c.entry.wakes.Push(r)
	c.trace(r, "accepted: workspace %s, tier %s, service %s", e.Workspace, e.Tier, e.Service)
	if e.Ticket != nil {
		c.claim(r)
		return
	}
	c.seek(r)
}

func (c *Core) refuseSubmit(e Submit) *fault.Error {
	if c.drain {
		return c.drainingFault()
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

// grant takes permission to dispatch. The mark is set here, before the effect leaves the reducer:
// this is the one write-ahead point of the system.
//
// The checks guard against a grant that crossed the news of a server's leaving, or that waited out
// a pause of this process: the host's own configuration and its own clock decide, not the sender's. A grant whose
// sender had no word of this host since it woke up is of before the pause, and so is what it knew of the server.
func (c *Core) grant(from string, m *peerpb.Grant) {
	r, ok := c.entry.byNumber[m.Request]
	if !ok || r.phase != seeking || r.attempt != m.Attempt || r.target.scheduler != from {
		c.returnGrant(from, m)
		return
	}
	spec, usable := c.usable(m.Backend)
	until := time.Duration(m.EchoMs+uint64(m.LeaseMs)) * time.Millisecond
	if !usable || m.EchoIncarnation != c.opt.Incarnation || c.now > until || !c.catch.heard(m.EchoMs) {
		c.trace(r, "grant on %s came too late, was of before a pause or for a leaving backend server", m.Backend)
		c.returnGrant(from, m)
		c.pause(r)
		return
	}
	// It may have been found out while it waited. What has run already was suspended in good order.
	if f := c.quarantined(r); f != nil && !r.sent {
		c.returnGrant(from, m)
		c.finish(r, f)
		return
	}
	if !c.inv.Check(!r.sent || r.resume, "request %s would be dispatched twice", r.ID) {
		return
	}
	c.inv.Check(!spec.Leaving, "request %s dispatched to leaving backend server %s", r.ID, spec.Name)
	r.sent, r.phase, r.backend = true, dispatched, m.Backend
	c.trace(r, "dispatched to %s", m.Backend)
	c.wakeAt(r, r.deadline)
	c.emit(Dispatch{ID: r.ID, Attempt: r.attempt, Backend: spec, ValidUntil: min(until, r.deadline), Resume: r.resume,
		Scheduler: from, At: c.now})
}

// returnGrant gives a slot back that will not be used.
func (c *Core) returnGrant(from string, m *peerpb.Grant) {
	r, known := c.entry.byNumber[m.Request]
	if known && r.attempt == m.Attempt && r.runs() {
		return // a repeated answer to a repeated question: the slot is in use
	}
	k, ok := c.duty.groupOf[m.Backend]
	if known && r.target.scheduler == from {
		k, ok = r.target.group, true
	}
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

// preempt suspends a running request. It may be asked for again: an engine refuses to export a stream
// that it has not begun.
func (c *Core) preempt(from string, m *peerpb.Preempt) {
	r, ok := c.entry.byNumber[m.Request]
	if !ok || !r.runs() || r.attempt != m.Attempt || r.target.scheduler != from {
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
	c.learnOfRequest(r, e)
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

func (c *Core) drainingFault() *fault.Error {
	return fault.New(fault.Draining, "host %s is shutting down", c.opt.Self.ID)
}

// endRequests gives every request its final answer. Work that runs is canceled by the traffic side when it sees Finish.
func (c *Core) endRequests() {
	for _, r := range c.requestsWhere(func(*request) bool { return true }) {
		if r.runs() {
			c.sendRelease(r, Ended{Outcome: Canceled})
		}
		c.abandon(r)
		if r.sent {
			c.finish(r, fault.New(fault.Stopped, "host %s ended with the request in hand", c.opt.Self.ID))
		} else {
			c.finish(r, c.drainingFault())
		}
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
	c.entry.wakes.Remove(r.index)
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
