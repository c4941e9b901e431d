package core

import (
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/peer/peerpb"
)

const (
	// maxUnsentRetries limits the retries of a request whose dispatches were proved not sent; each also
	// uses retry budget.
	maxUnsentRetries = 3
	// Each accepted request adds retryBudgetRatio to the retry budget, up to maxRetryBudget; each retry
	// uses 1.
	retryBudgetRatio = 0.1
	maxRetryBudget   = 50.0
	// holdingsInterval is how often Holdings are sent to schedulers in other zones. It must be well below
	// sched.Options.UnconfirmedTimeout.
	holdingsInterval = time.Second
	// maxFinishedTraces limits the finished requests that fireflyctl explain can show.
	maxFinishedTraces = 4096
	// rateSlack allows for a load balancer that spreads a workspace unevenly over the hosts.
	rateSlack = 1.5
)

// phase is the state of a request at its entry host.
type phase int

const (
	claiming phase = iota + 1
	waitingForSlot
	backingOff // waits before it requests a slot again
	dispatched
	suspending
)

// target is the scheduler at which a request waits or under which it runs.
type target struct {
	group     GroupKey
	scheduler string
	zone      string
}

// request is one caller's request at its entry host.
type request struct {
	Submit
	// number identifies the request in messages between hosts. It takes a few bytes, an ID takes 36.
	number   uint64
	deadline time.Duration
	weight   float64
	phase    phase
	attempt  uint32
	target   target
	backend  string
	// sent is the at-most-once mark. It is set before the Dispatch effect leaves the reducer, and cleared
	// only if the traffic side proves that no byte was sent.
	sent          bool
	resume        bool
	unsentRetries int
	triedZones    []string
	// refusedLocally reports that the scheduler of this zone has refused the request.
	refusedLocally bool
	requestedAt    time.Duration // when the ticket or the slot was first requested
	timerAt        time.Duration
	heapIndex      int
	trace          []TraceEvent
	// onTrial reports that the request runs although it is in quarantine, to find out whether it still
	// crashes backend servers.
	onTrial bool
}

// TraceEvent is one step in the processing of a request, for operators.
type TraceEvent struct {
	At   time.Duration `json:"at"`
	What string        `json:"what"`
}

// entryState is the state that an entry host keeps for its callers' requests.
type entryState struct {
	requests      map[string]*request
	byNumber      map[uint64]*request
	lastNumber    uint64 // the last number assigned
	timers        timerHeap
	rateLimiters  map[string]*rate.Limiter
	retryBudget   float64
	holdingsAt    time.Duration
	reportedTo    map[target]bool // schedulers of other zones that the latest Holdings went to
	finished      map[string][]TraceEvent
	finishedOrder []string
}

func newEntryState() entryState {
	return entryState{
		requests:     map[string]*request{},
		byNumber:     map[uint64]*request{},
		timers:       newTimerHeap(),
		rateLimiters: map[string]*rate.Limiter{},
		retryBudget:  maxRetryBudget,
		reportedTo:   map[target]bool{},
		finished:     map[string][]TraceEvent{},
	}
}

func (c *Core) submit(e Submit) {
	r := &request{Submit: e, deadline: c.now + e.Deadline, weight: c.weightOf(e.Workspace)}
	r.onTrial = c.allowTrial(r)
	if f := c.quarantined(r); f != nil {
		c.emit(Finish{e.ID, f})
		return
	}
	if f := c.checkSubmit(e); f != nil {
		c.emit(Finish{e.ID, f})
		return
	}
	c.entry.retryBudget = min(maxRetryBudget, c.entry.retryBudget+retryBudgetRatio)
	c.entry.lastNumber++
	r.number = c.entry.lastNumber
	c.entry.requests[e.ID] = r
	c.entry.byNumber[r.number] = r
	c.entry.timers.Push(r)
	c.trace(r, "accepted: workspace %s, tier %s, service %s", e.Workspace, e.Tier, e.Service)
	if e.Ticket != nil {
		c.claim(r)
		return
	}
	c.requestSlot(r)
}

func (c *Core) checkSubmit(e Submit) *fault.Error {
	if c.draining {
		return c.drainingFault()
	}
	if !c.gossip.synced {
		return fault.New(fault.NotReady, "host %s has no configuration that is known to be current", c.opt.Self.ID)
	}
	if _, taken := c.entry.requests[e.ID]; taken {
		return fault.New(fault.TicketInProgress, "request %s is already in progress", e.ID)
	}
	if len(c.entry.requests) >= c.opt.MaxRequests {
		return fault.New(fault.Overloaded, "host %s is at its limit of %d requests", c.opt.Self.ID, c.opt.MaxRequests)
	}
	return c.checkRate(e.Workspace)
}

// checkRate applies this host's part of a workspace's fleet-wide rate. The part depends on the size of the
// platform's host list, so that a network partition does not multiply the limit.
func (c *Core) checkRate(workspace string) *fault.Error {
	w := c.conf.Workspace(workspace)
	if w == nil || w.Rate == 0 {
		return nil
	}
	share := min(1, rateSlack/float64(c.view.FleetSize()))
	hostRate := rate.Limit(w.Rate * share)
	burst := max(1, int(float64(w.Burst)*share))
	l, ok := c.entry.rateLimiters[workspace]
	if !ok {
		l = rate.NewLimiter(hostRate, burst)
		c.entry.rateLimiters[workspace] = l
	}
	at := time.Unix(0, int64(c.now))
	if l.Limit() != hostRate || l.Burst() != burst {
		l.SetLimitAt(at, hostRate)
		l.SetBurstAt(at, burst)
	}
	if l.AllowN(at, 1) {
		return nil
	}
	retryAfter := time.Duration(float64(time.Second) / float64(hostRate))
	return fault.New(fault.RateLimited, "workspace %s is over its limit of %g requests per second", workspace, w.Rate).WithRetryAfter(max(retryAfter, 100*time.Millisecond))
}

// grant handles the permission to dispatch. The sent mark is set here, before the effect leaves the
// reducer; this is the only write-ahead point of the system.
//
// The checks reject a grant that was sent before the scheduler knew that the server was leaving, and one
// that waited out a pause of this process: this host's own configuration and clock decide, not the
// sender's. If the sender has not received a message from this host since the pause, its grant and its
// view of the server are from before the pause.
func (c *Core) grant(from string, m *peerpb.Grant) {
	r, ok := c.entry.byNumber[m.Request]
	if !ok || r.phase != waitingForSlot || r.attempt != m.Attempt || r.target.scheduler != from {
		c.returnGrant(from, m)
		return
	}
	spec, usable := c.usable(m.Backend)
	validUntil := time.Duration(m.EchoMs+uint64(m.LeaseMs)) * time.Millisecond
	if !usable || m.EchoIncarnation != c.opt.Incarnation || c.now > validUntil || !c.catchUp.afterPause(m.EchoMs) {
		c.trace(r, "grant for backend server %s rejected: expired, sent before a pause of this host, or the server is leaving", m.Backend)
		c.returnGrant(from, m)
		c.backOff(r)
		return
	}
	// The request may have been quarantined while it waited. One that has already run was suspended
	// normally and may go on.
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
	c.setTimer(r, r.deadline)
	c.emit(Dispatch{ID: r.ID, Attempt: r.attempt, Backend: spec, ValidUntil: min(validUntil, r.deadline), Resume: r.resume,
		Scheduler: from, At: c.now})
}

// returnGrant releases a granted slot that will not be used.
func (c *Core) returnGrant(from string, m *peerpb.Grant) {
	r, known := c.entry.byNumber[m.Request]
	if known && r.attempt == m.Attempt && r.isRunning() {
		return // a repeated grant for a repeated Acquire: the slot is in use
	}
	k, ok := c.roles.groupOf[m.Backend]
	if known && r.target.scheduler == from {
		k, ok = r.target.group, true
	}
	if !ok {
		return // the scheduler frees the slot once Holdings do not list it
	}
	c.send(from, &peerpb.Message{Body: &peerpb.Message_Release{Release: &peerpb.Release{
		Request: m.Request, Attempt: m.Attempt, Service: k.Service, Shard: k.Shard, Backend: m.Backend,
		Outcome: peerpb.Outcome_OUTCOME_UNUSED}}})
}

func (c *Core) refusal(from string, m *peerpb.Refusal) {
	r, ok := c.entry.byNumber[m.Request]
	if !ok || r.phase != waitingForSlot || r.attempt != m.Attempt || r.target.scheduler != from {
		return
	}
	c.trace(r, "scheduler %s refused: %s", from, m.Kind)
	kind := fault.Kind(m.Kind)
	if kind == fault.Moved {
		c.backOff(r)
		return
	}
	// A refusal by another zone does not mean that this zone would refuse.
	if r.target.zone == c.opt.Self.Zone {
		r.refusedLocally = true
	} else if _, ok := c.pickGroup(r); ok && !r.refusedLocally {
		c.requestSlot(r)
		return
	}
	c.spillOrRefuse(r, kind, time.Duration(m.RetryAfterMs)*time.Millisecond)
}

// preempt suspends a running request. The scheduler may repeat it, since an engine refuses to export a
// stream that it has not started.
func (c *Core) preempt(from string, m *peerpb.Preempt) {
	r, ok := c.entry.byNumber[m.Request]
	if !ok || !r.isRunning() || r.attempt != m.Attempt || r.target.scheduler != from {
		return
	}
	c.trace(r, "suspending on %s for a request of higher priority", r.backend)
	r.phase = suspending
	c.emit(Suspend{r.ID})
}

func (c *Core) dispatchEnded(e DispatchEnded) {
	r, ok := c.entry.requests[e.ID]
	if !ok || !r.isRunning() || r.attempt != e.Attempt {
		return
	}
	c.sendRelease(r, e)
	c.recordOutcome(r, e)
	switch e.Outcome {
	case Done:
		c.trace(r, "complete answer from %s", r.backend)
		c.finish(r, nil)
	case Suspended:
		r.resume = true
		c.trace(r, "suspended")
		c.requestSlot(r)
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

// notSent clears the sent mark: the connection was refused, so the request cannot have started. The retry
// budget prevents a retry storm when many servers refuse at the same time.
func (c *Core) notSent(r *request) {
	c.trace(r, "backend server %s refused the connection: request not sent", r.backend)
	if !r.resume {
		r.sent = false
	}
	r.unsentRetries++
	if r.unsentRetries > maxUnsentRetries || c.entry.retryBudget < 1 {
		c.spillOrRefuse(r, fault.NoBackend, time.Second)
		return
	}
	c.entry.retryBudget--
	c.requestSlot(r)
}

func (c *Core) sendRelease(r *request, e DispatchEnded) {
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

func (c *Core) callerGone(id string) {
	r, ok := c.entry.requests[id]
	if !ok {
		return
	}
	switch r.phase {
	case dispatched, suspending:
		return // the traffic side cancels the request and reports DispatchEnded
	default:
		c.trace(r, "caller closed the connection")
		c.abandon(r)
		c.finish(r, fault.New(fault.DeadlineUnmeetable, "the caller closed the connection"))
	}
}

func (c *Core) drainingFault() *fault.Error {
	return fault.New(fault.Draining, "host %s is shutting down", c.opt.Self.ID)
}

// finishAll gives every request its final answer. The traffic side cancels running requests when it
// handles Finish.
func (c *Core) finishAll() {
	for _, r := range c.requestsWhere(func(*request) bool { return true }) {
		if r.isRunning() {
			c.sendRelease(r, DispatchEnded{Outcome: Canceled})
		}
		c.abandon(r)
		if r.sent {
			c.finish(r, fault.New(fault.Stopped, "host %s stopped while the request was in progress", c.opt.Self.ID))
		} else {
			c.finish(r, c.drainingFault())
		}
	}
}

// abandon withdraws a waiting request from its scheduler.
func (c *Core) abandon(r *request) {
	if r.phase != waitingForSlot {
		return
	}
	c.send(r.target.scheduler, &peerpb.Message{Body: &peerpb.Message_Withdraw{Withdraw: &peerpb.Withdraw{
		Request: r.number, Attempt: r.attempt, Service: r.target.group.Service, Shard: r.target.group.Shard}}})
}

// finish ends a request with its final answer.
func (c *Core) finish(r *request, f *fault.Error) {
	if !c.inv.Check(c.entry.requests[r.ID] == r, "request %s finished twice", r.ID) {
		return
	}
	if f != nil {
		c.inv.Check(f.Ran != fault.NotRun || !r.sent, "request %s reported as not run after its dispatch", r.ID)
		c.trace(r, "ended: %s", f.Kind)
	}
	c.entry.timers.Remove(r.heapIndex)
	delete(c.entry.requests, r.ID)
	delete(c.entry.byNumber, r.number)
	c.settleClaim(r, f)
	c.keepTrace(r)
	c.emit(Finish{r.ID, f})
}

func (c *Core) trace(r *request, format string, args ...any) {
	r.trace = append(r.trace, TraceEvent{c.now, fmt.Sprintf(format, args...)})
}

func (c *Core) keepTrace(r *request) {
	c.entry.finished[r.ID] = r.trace
	c.entry.finishedOrder = append(c.entry.finishedOrder, r.ID)
	if len(c.entry.finishedOrder) > maxFinishedTraces {
		delete(c.entry.finished, c.entry.finishedOrder[0])
		c.entry.finishedOrder = c.entry.finishedOrder[1:]
	}
}

// RequestTrace returns the trace of a request that this host holds or finished recently, nil if it knows
// none.
func (c *Core) RequestTrace(id string) []TraceEvent {
	if r, ok := c.entry.requests[id]; ok {
		return r.trace
	}
	return c.entry.finished[id]
}

// settleClaim reports the end of the claim to the ticket's home. If the request may have run, the claim
// stays open until it expires, since it can be called neither done nor not run.
func (c *Core) settleClaim(r *request, f *fault.Error) {
	if r.Ticket == nil || (f != nil && f.Ran == fault.MayHaveRun && r.sent) {
		return
	}
	c.sendSettlement(r, !r.sent)
}
