package core

import (
	"time"

	"fireflyshift/internal/peer/peerpb"
)

const (
	// pauseNoted is a gap between two events that is not held against the silence of other hosts. Ticks come
	// every TickIdle at most; below, a busy machine may be the cause, and deaths would be noticed late for nothing.
	pauseNoted = 200 * time.Millisecond
	// pauseLong is a gap after which this host first hears the news. A shorter one adds so much to the age of what
	// it dispatches on; with one twice as long and a lease of two seconds a leaving server gets work after its bound.
	pauseLong = time.Second
	// catchUpMost bounds the wait for news after a pause: callers wait in it, and a host that is cut off from all
	// others and from the platform has to go on with what it knows. The platform's answer and a peer's take a
	// round trip, and a quarter of a second more where a watch broke in the pause.
	catchUpMost = time.Second
)

// catchUpState is what a host that has woken up from a long pause waits for.
//
// It guards against a process that goes on with beliefs of before the pause. It showed as requests that a
// leaving backend server got four seconds after its record: the first tick after the pause found all other hosts
// silent, so the woken host scheduled their groups itself, by an old configuration and an empty book. It holds since,
// until the news is in, such a host has no duties and grants nothing to itself, while the grant of another
// host counts only if that host had heard from this one since it woke.
type catchUpState struct {
	wokeAt  time.Duration
	peers   map[string]bool // who lived before the pause and has not answered since
	records bool            // no peer lived: the platform's records are to be read anew
	hosts   bool            // the host list is to be read anew
}

// heard tells whether a reading of this host's clock that another echoes is of after the pause.
func (s *catchUpState) heard(echoMS uint64) bool { return echoMS >= uint64(s.wokeAt/time.Millisecond) }

// noteGap looks at the time since the last event, before the next one is taken. Every event counts: after a
// pause a message or a caller's request may come before the tick.
func (c *Core) noteGap(now time.Duration) {
	gap := now - c.now
	if c.now == 0 || gap < pauseNoted {
		return
	}
	c.view.Slept(gap)
	if gap >= pauseLong {
		c.now = now
		c.wake()
	}
}

// wake gives all duties up and asks for the news.
func (c *Core) wake() {
	c.catch = catchUpState{wokeAt: c.now, peers: map[string]bool{}, hosts: true}
	for _, id := range c.view.Live(c.now) {
		if id != c.opt.Self.ID {
			c.catch.peers[id] = true
		}
	}
	c.view.SetCatchingUp(true)
	c.refreshDuties()
	if len(c.catch.peers) == 0 {
		c.catch.records = true
		c.emit(ReadPlatform{}) // a watch that is open may have been answered before the pause
		c.emit(ReadPlatform{On: true})
		c.duty.reading = onDuty
	}
	c.emit(ReadHosts{})
	c.sendHeartbeats()
}

// answerWoken tells a host that has woken up at once what is in force. A host that has itself just woken up proves nothing
// by its answer, and two that asked each other for one would not stop.
func (c *Core) answerWoken(from string, h *peerpb.Heartbeat) {
	if h.CatchingUp && !c.view.CatchingUp() {
		c.sendHeartbeat(from, c.ownSummaries(), c.heldBy(c.heldUnder(), from), c.ownSuspects())
	}
}

// hearAfterWaking takes a heartbeat that was sent after this host woke up. One that waited in a socket through the pause
// echoes an older reading, and one of a host that has itself just woken proves nothing.
func (c *Core) hearAfterWaking(from string, h *peerpb.Heartbeat) {
	fresh := h.EchoIncarnation == c.opt.Incarnation && c.catch.heard(h.EchoMs)
	if !c.view.CatchingUp() || !fresh || h.CatchingUp || h.ConfigRevision > c.conf.Revision() {
		return
	}
	delete(c.catch.peers, from)
	c.tickCatchUp()
}

// tickCatchUp takes duties again once the news is in, or has been waited for long enough.
func (c *Core) tickCatchUp() {
	if !c.view.CatchingUp() {
		return
	}
	waits := len(c.catch.peers) > 0 || c.catch.records || c.catch.hosts
	if waits && c.now-c.catch.wokeAt < catchUpMost {
		return
	}
	c.view.SetCatchingUp(false)
	c.refreshDuties()
	c.sendHeartbeats()
}
