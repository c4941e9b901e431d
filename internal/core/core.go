// Package core is the one reducer of a host: every event goes in, effects come out as data.
// There is no I/O, clock, goroutine or unseeded choice inside, so any failure replays in a test.
// One file is one concern: config, duty (membership and duties), catchup (what a process may do after a pause),
// entry (requests that this host took), group (groups that this host schedules), claim (tickets).
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

// The daemon sends Tick every TickEvery while something waits, and every TickIdle otherwise: each
// tick wakes a thread, which is most of what an idle host costs.
const (
	TickEvery = 10 * time.Millisecond
	TickIdle  = 50 * time.Millisecond
)

// GroupKey names a group of backend servers in this host's availability zone.
type GroupKey struct {
	Service string
	Shard   uint32
}

// Options are the fixed settings of a reducer.
type Options struct {
	Self        member.Host
	Incarnation uint64
	Sched       sched.Options
	// MaxRequests bounds the requests that this host holds at once.
	MaxRequests int
}

// Core is the state of one host. Only one goroutine may use it.
type Core struct {
	opt      Options
	now      time.Duration
	conf     *confstate.State
	view     *member.View
	tickets  *ticket.Home
	inv      invariant.Log
	out      []Effect
	loop     []*peerpb.Message // messages from this host to itself
	duty     dutyState
	gossip   gossipState
	entry    entryState
	catch    catchUpState
	groups   map[GroupKey]*sched.Group
	leaving  map[string]bool // addresses of backend servers that the host list shows leaving
	suspects suspectState
	drain    bool
}

// New returns a reducer in its first state: no configuration, no peers.
func New(opt Options) *Core {
	return &Core{
		opt:      opt,
		conf:     confstate.New(),
		view:     member.NewView(opt.Self),
		tickets:  ticket.NewHome(opt.Self.ID, opt.Incarnation),
		duty:     newDutyState(),
		gossip:   newGossipState(),
		entry:    newEntryState(),
		groups:   map[GroupKey]*sched.Group{},
		leaving:  map[string]bool{},
		suspects: newSuspectState(),
	}
}

// Reduce takes one event at a moment of the host's clock, which counts suspended time too, and returns the work to do.
// A moment before an earlier one counts as that earlier one.
func (c *Core) Reduce(now time.Duration, ev Event) []Effect {
	c.noteGap(now)
	c.now = max(c.now, now)
	c.apply(ev)
	c.deliverLocal()
	out := c.out
	c.out = nil
	return out
}

func (c *Core) apply(ev Event) {
	switch e := ev.(type) {
	case Tick:
		c.tick()
	case Submit:
		c.submit(e)
	case Gone:
		c.gone(e.ID)
	case Ended:
		c.ended(e)
	case PeerMessage:
		c.fromPeer(e)
	case PeerLinked:
		c.view.Learn(c.now, e.Host, e.Incarnation)
	case PeerUnlinked:
		c.view.Unlinked(c.now, e.Host, e.Incarnation)
	case LinkOpened:
		c.askAgain(e.Host)
	case PlatformRecords:
		c.platformRecords(e)
	case PlatformFailed:
		c.platformFailed()
	case HostList:
		c.hostList(e)
	case LoadReport:
		c.eachGroupOf(e.Backend, func(g *sched.Group) { g.Report(e.Backend, e.Outstanding) })
	case CacheEvicted:
		c.eachGroupOf(e.Backend, func(g *sched.Group) { g.Evicted(e.Backend, e.Hashes) })
	case Drain:
		c.beginDrain()
	case Stop:
		c.endRequests()
		c.beginDrain()
	}
}

func (c *Core) beginDrain() {
	if c.drain {
		return
	}
	c.drain = true
	c.view.SetDraining()
	c.refreshDuties()
	c.sendHeartbeats()
}

func (c *Core) tick() {
	c.tickCatchUp()
	c.tickDuties()
	c.tickGossip()
	c.tickGroups()
	c.tickEntry()
	c.expireSuspects()
}

// fromPeer drops messages of a host that is not the current incarnation: a process that was
// replaced while it was paused still has open links, and what it sends is of the past.
func (c *Core) fromPeer(e PeerMessage) {
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

// deliverLocal handles the messages that this host sent itself, in order.
func (c *Core) deliverLocal() {
	for len(c.loop) > 0 {
		m := c.loop[0]
		c.loop = c.loop[1:]
		c.handle(c.opt.Self.ID, m)
	}
	c.loop = nil
}

// NextTick is how long the daemon may wait until it sends the next Tick.
func (c *Core) NextTick() time.Duration {
	if c.entry.wakes.Len() > 0 && c.entry.wakes.Min().wake-c.now < TickIdle {
		return TickEvery
	}
	for _, g := range c.groups {
		if g.Busy() {
			return TickEvery
		}
	}
	return TickIdle
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

// send passes a message to a host, which may be this one. It reports whether the host is known.
func (c *Core) send(to string, m *peerpb.Message) bool {
	if to == c.opt.Self.ID {
		c.loop = append(c.loop, m)
		return true
	}
	h, ok := c.view.Known(to)
	if !ok || h.Addr == "" {
		return false
	}
	c.emit(Send{h, m})
	return true
}

func (c *Core) nowMS() uint64 { return uint64(c.now / time.Millisecond) }

// Config is the configuration in force. Use it on the control thread only.
func (c *Core) Config() *confstate.State { return c.conf }

// Violations takes the invariant violations since the last call.
func (c *Core) Violations() []string { return c.inv.Take() }

// Ready tells whether the balancer should send callers here: the configuration is proved current
// or the platform proved away, and the host is not shutting down.
func (c *Core) Ready() bool { return c.gossip.synced && !c.drain }

// Requests is how many callers' requests this host holds.
func (c *Core) Requests() int { return len(c.entry.requests) }

// usable finds a backend server that may get new work from this host: in force and not leaving.
func (c *Core) usable(name string) (record.Backend, bool) {
	b := c.conf.Backend(name)
	if b == nil || b.Leaving || c.leaving[b.Addr] {
		return record.Backend{}, false
	}
	return *b, true
}
