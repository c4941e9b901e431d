// Package core is the reducer of a host: events go in, effects come out as data. It has no I/O, clock,
// goroutine or unseeded randomness, so that any failure can be replayed in a test.
//
// Each file covers one concern: config (configuration records), roles (roles that follow from membership),
// catchup (recovery after a pause of the process), entry, slots and timers (requests that this host
// accepted), group (groups that this host schedules), digest (exchange between zones), claim (tickets),
// suspects (requests in quarantine).
package core

import (
	"time"

	"fireflyshift/internal/confstate"
	"fireflyshift/internal/invariant"
	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/record"
	"fireflyshift/internal/sched"
	"fireflyshift/internal/ticket"
)

// The daemon sends Tick every TickInterval while something waits, and every IdleTickInterval otherwise:
// each tick wakes a thread, which is most of the CPU cost of an idle host.
const (
	TickInterval     = 10 * time.Millisecond
	IdleTickInterval = 50 * time.Millisecond
)

// GroupKey identifies a group of backend servers in this host's availability zone.
type GroupKey struct {
	Service string
	Shard   uint32
}

// Options are the fixed settings of a reducer.
type Options struct {
	Self        member.Host
	Incarnation uint64
	Sched       sched.Options
	// MaxRequests is the maximum number of requests that this host holds at a time.
	MaxRequests int
}

// Core is the state of one host. It is not safe for concurrent use.
type Core struct {
	opt          Options
	now          time.Duration
	conf         *confstate.State
	view         *member.View
	tickets      *ticket.Home
	inv          invariant.Log
	effects      []Effect
	selfMessages []*peerpb.Message // messages from this host to itself
	roles        roleState
	gossip       gossipState
	entry        entryState
	catchUp      catchUpState
	groups       map[GroupKey]*sched.Group
	leaving      map[string]bool // addresses of backend servers that the host list shows as leaving
	suspects     suspectState
	draining     bool
}

// New returns a reducer without configuration or peers.
func New(opt Options) *Core {
	return &Core{
		opt:      opt,
		conf:     confstate.New(),
		view:     member.NewView(opt.Self),
		tickets:  ticket.NewHome(opt.Self.ID, opt.Incarnation),
		roles:    newRoleState(),
		gossip:   newGossipState(),
		entry:    newEntryState(),
		groups:   map[GroupKey]*sched.Group{},
		leaving:  map[string]bool{},
		suspects: newSuspectState(),
	}
}

// Reduce applies one event at the given time of the host's clock, which includes suspended time, and
// returns the effects to carry out. A time before that of an earlier event is treated as that earlier
// time.
func (c *Core) Reduce(now time.Duration, ev Event) []Effect {
	c.detectPause(now)
	c.now = max(c.now, now)
	c.apply(ev)
	c.deliverLocal()
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) apply(ev Event) {
	switch e := ev.(type) {
	case Tick:
		c.tick()
	case Submit:
		c.submit(e)
	case CallerGone:
		c.callerGone(e.ID)
	case DispatchEnded:
		c.dispatchEnded(e)
	case PeerMessage:
		c.receive(e)
	case PeerLinked:
		c.view.Linked(c.now, e.Host, e.Incarnation)
	case PeerUnlinked:
		c.view.Unlinked(c.now, e.Host, e.Incarnation)
	case LinkOpened:
		c.resendAcquires(e.Host)
	case PlatformRecords:
		c.platformRecords(e)
	case PlatformFailed:
		c.platformFailed()
	case HostList:
		c.hostList(e)
	case LoadReport:
		c.eachGroupOf(e.Backend, func(g *sched.Group) { g.ReportLoad(e.Backend, e.Outstanding) })
	case CacheEvicted:
		c.eachGroupOf(e.Backend, func(g *sched.Group) { g.CacheEvicted(e.Backend, e.Hashes) })
	case Drain:
		c.beginDrain()
	case Stop:
		c.finishAll()
		c.beginDrain()
	}
}

func (c *Core) beginDrain() {
	if c.draining {
		return
	}
	c.draining = true
	c.view.SetDraining()
	c.refreshRoles()
	c.sendHeartbeats()
}

func (c *Core) tick() {
	c.tickCatchUp()
	c.tickRoles()
	c.tickGossip()
	c.tickGroups()
	c.tickEntry()
	c.expireSuspects()
}

// receive drops messages of a host that do not come from its current incarnation: a process that was
// replaced while it was paused still has open links, and its messages are out of date.
func (c *Core) receive(e PeerMessage) {
	if e.From != c.opt.Self.ID && e.Incarnation != c.view.Incarnation(e.From) {
		return
	}
	c.handle(e.From, e.Message)
}

func (c *Core) handle(from string, m *peerpb.Message) {
	switch b := m.Body.(type) {
	case *peerpb.Message_Heartbeat:
		c.heartbeat(from, b.Heartbeat)
	case *peerpb.Message_ZoneDigest:
		c.zoneDigest(from, b.ZoneDigest)
	case *peerpb.Message_RecordsPull:
		c.recordsPull(from, b.RecordsPull)
	case *peerpb.Message_Records:
		c.peerRecords(b.Records)
	case *peerpb.Message_Acquire:
		c.acquire(from, b.Acquire)
	case *peerpb.Message_Withdraw:
		c.withdraw(from, b.Withdraw)
	case *peerpb.Message_Release:
		c.release(from, b.Release)
	case *peerpb.Message_Holdings:
		c.holdings(from, b.Holdings)
	case *peerpb.Message_HoldingsPull:
		c.holdingsPull(from, b.HoldingsPull)
	case *peerpb.Message_Grant:
		c.grant(from, b.Grant)
	case *peerpb.Message_Refusal:
		c.refusal(from, b.Refusal)
	case *peerpb.Message_Preempt:
		c.preempt(from, b.Preempt)
	case *peerpb.Message_ClaimTicket:
		c.claimTicket(from, b.ClaimTicket)
	case *peerpb.Message_ClaimAnswer:
		c.claimAnswer(from, b.ClaimAnswer)
	case *peerpb.Message_SettleTicket:
		c.settleTicket(from, b.SettleTicket)
	}
}

// deliverLocal handles the messages that this host has sent to itself, in order.
func (c *Core) deliverLocal() {
	for len(c.selfMessages) > 0 {
		m := c.selfMessages[0]
		c.selfMessages = c.selfMessages[1:]
		c.handle(c.opt.Self.ID, m)
	}
	c.selfMessages = nil
}

// NextTick returns how long the daemon may wait before it sends the next Tick.
func (c *Core) NextTick() time.Duration {
	if c.entry.timers.Len() > 0 && c.entry.timers.Min().timerAt-c.now < IdleTickInterval {
		return TickInterval
	}
	for _, g := range c.groups {
		if g.Busy() {
			return TickInterval
		}
	}
	return IdleTickInterval
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// send sends a message to a host, which may be this one. It reports whether the host is known.
func (c *Core) send(to string, m *peerpb.Message) bool {
	if to == c.opt.Self.ID {
		c.selfMessages = append(c.selfMessages, m)
		return true
	}
	h, ok := c.view.Lookup(to)
	if !ok || h.Addr == "" {
		return false
	}
	c.emit(Send{h, m})
	return true
}

func (c *Core) nowMS() uint64 { return uint64(c.now / time.Millisecond) }

// Config returns the active configuration. It may be used on the control thread only.
func (c *Core) Config() *confstate.State { return c.conf }

// Violations returns the invariant violations since the last call.
func (c *Core) Violations() []string { return c.inv.Take() }

// Ready reports whether the load balancer should send requests to this host: the configuration is known to
// be current, or the configuration service is known to be down, and the host is not shutting down.
func (c *Core) Ready() bool { return c.gossip.synced && !c.draining }

// Requests returns the number of callers' requests that this host holds.
func (c *Core) Requests() int { return len(c.entry.requests) }

// usable looks up a backend server that may get new requests from this host: its record is active and it is not leaving.
func (c *Core) usable(name string) (record.Backend, bool) {
	b := c.conf.Backend(name)
	if b == nil || b.Leaving || c.leaving[b.Addr] {
		return record.Backend{}, false
	}
	return *b, true
}
