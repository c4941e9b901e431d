package core

import (
	"time"

	"fireflyshift/internal/peer/peerpb"
)

const (
	// minPause is the shortest gap between two events that counts as a pause of this process; a pause is
	// excluded from the time without heartbeats of other hosts. Ticks come at least every IdleTickInterval.
	// A shorter gap may be due to a busy machine, and excluding it would only delay the detection of dead
	// hosts.
	minPause = 200 * time.Millisecond
	// minCatchUpPause is the shortest pause after which this host catches up before it acts. A shorter
	// pause adds its length to the age of the state that the host dispatches on: with twice this value and
	// a lease of 2 s, a leaving backend server got requests after the allowed time.
	minCatchUpPause = time.Second
	// catchUpTimeout limits the catch-up, since callers wait for it and a host that is cut off from all
	// others and from the platform has to continue with what it knows. The answers of the platform and of
	// a peer take one round trip, and 250 ms more if a watch broke during the pause.
	catchUpTimeout = time.Second
)

// catchUpState is what a host still waits for after a long pause of its process.
//
// Without it a host would act on state from before the pause. This was seen as requests dispatched to a
// leaving backend server four seconds after its record: the first tick after the pause found all other
// hosts unreachable, so the host scheduled their groups itself, with an old configuration and no known
// runs. Until the catch-up is complete, such a host has no roles and grants nothing to itself, and a grant
// of another host counts only if that host has received a message from this one since the pause.
type catchUpState struct {
	resumedAt time.Duration
	peers     map[string]bool // hosts that were live before the pause and have not answered since
	records   bool            // no peer was live: the records have to be read from the platform again
	hosts     bool            // the host list has to be read again
}

// afterPause reports whether ms, a reading of this host's clock that a peer echoes, is from after the pause.
func (s *catchUpState) afterPause(ms uint64) bool { return ms >= uint64(s.resumedAt/time.Millisecond) }

// detectPause checks the time since the last event, before the next one is applied. It runs for every
// event, since a message or a caller's request may come before the first tick after a pause.
func (c *Core) detectPause(now time.Duration) {
	gap := now - c.now
	if c.now == 0 || gap < minPause {
		return
	}
	c.view.ExcludePause(gap)
	if gap >= minCatchUpPause {
		c.now = now
		c.beginCatchUp()
	}
}

// beginCatchUp gives up all roles and requests the current state from peers and the platform.
func (c *Core) beginCatchUp() {
	c.catchUp = catchUpState{resumedAt: c.now, peers: map[string]bool{}, hosts: true}
	for _, id := range c.view.Live(c.now) {
		if id != c.opt.Self.ID {
			c.catchUp.peers[id] = true
		}
	}
	c.view.SetCatchingUp(true)
	c.refreshRoles()
	if len(c.catchUp.peers) == 0 {
		c.catchUp.records = true
		c.emit(ReadPlatform{}) // an open watch may have been answered before the pause
		c.emit(ReadPlatform{On: true})
		c.roles.readMode = reading
	}
	c.emit(ReadHosts{})
	c.sendHeartbeats()
}

// answerCatchingUp answers the heartbeat of a host that is catching up at once. A host that is itself
// catching up does not answer: its state proves nothing, and two such hosts would answer each other
// without end.
func (c *Core) answerCatchingUp(from string, h *peerpb.Heartbeat) {
	if h.CatchingUp && !c.view.CatchingUp() {
		c.sendHeartbeat(from, c.ownSummaries(), c.heldDigestsFor(c.heldDigests(), from), c.suspectsToReport())
	}
}

// catchUpFromHeartbeat applies a heartbeat that was sent after this host's pause. A heartbeat that waited
// in a socket during the pause echoes an older clock reading; one from a host that is itself catching up
// proves nothing.
func (c *Core) catchUpFromHeartbeat(from string, h *peerpb.Heartbeat) {
	fresh := h.EchoIncarnation == c.opt.Incarnation && c.catchUp.afterPause(h.EchoMs)
	if !c.view.CatchingUp() || !fresh || h.CatchingUp || h.ConfigRevision > c.conf.Revision() {
		return
	}
	delete(c.catchUp.peers, from)
	c.tickCatchUp()
}

// tickCatchUp ends the catch-up once it is complete or catchUpTimeout has passed; the host then takes
// roles again.
func (c *Core) tickCatchUp() {
	if !c.view.CatchingUp() {
		return
	}
	waits := len(c.catchUp.peers) > 0 || c.catchUp.records || c.catchUp.hosts
	if waits && c.now-c.catchUp.resumedAt < catchUpTimeout {
		return
	}
	c.view.SetCatchingUp(false)
	c.refreshRoles()
	c.sendHeartbeats()
}
