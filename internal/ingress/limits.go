package ingress

import (
	"context"
	"math"
	"time"

	"fireflyshift/internal/membudget"
)

// HeadLimits bound the head of a request and the empty lines before it. Zero stands for no limit.
type HeadLimits struct {
	Bytes int
	// Time is from the first byte to the last.
	Time time.Duration
}

// Limits bound what the callers of one listener may hold.
type Limits struct {
	// Head returns the present limits of heads; nil for none.
	Head func() HeadLimits
	// Connections is the number of open connections from which others are closed for new ones; zero stands for no limit.
	Connections int
	// Budget is the memory for heads and for what handlers reserve; nil for no limit.
	Budget *membudget.Budget
	// Count counts an event by its name; it may be nil.
	Count func(name string, n int64)
}

// Names of counted events.
const (
	countHeadTooLong       = "callers.head_too_long"
	countHeadTimeout       = "callers.head_timeout"
	countClosedForOthers   = "callers.closed_for_others"
	countConnectionRefused = "callers.connection_refused"
	countNoMemory          = "callers.head_without_memory"
)

func (l Limits) withDefaults() Limits {
	if l.Head == nil {
		l.Head = func() HeadLimits { return HeadLimits{} }
	}
	if l.Connections <= 0 {
		l.Connections = math.MaxInt
	}
	if l.Budget == nil {
		l.Budget = membudget.New(0)
	}
	if l.Count == nil {
		l.Count = func(string, int64) {}
	}
	return l
}

// Account returns the memory account of a request's connection, or nil if it has none.
func Account(ctx context.Context) *membudget.Account {
	if k, ok := ctx.Value(connKey{}).(*conn); ok {
		return k.account
	}
	return nil
}

const (
	// reservedFiles are the descriptors that no socket may take, and minSockets the sockets that a host has in any case.
	reservedFiles = 200
	minSockets    = 64
	// callerFraction is the fraction of the sockets for callers. The rest is for backend servers, hosts, operators and load balancers.
	callerFraction = 0.625
)

// Sockets returns how many of a process's descriptors may be sockets.
func Sockets(descriptors int) int { return max(minSockets, descriptors-reservedFiles) }

// CallerConnections returns the number of callers' connections of a process with a number of descriptors.
func CallerConnections(descriptors int) int {
	return int(callerFraction * float64(Sockets(descriptors)))
}

// spareFraction is the fraction of connections beyond the limit that may be open while callers that were turned away get their answers.
const spareFraction = 0.125

func (l Limits) spare() int { return max(1, int(spareFraction*float64(l.Connections))) }

// makeRoom closes a connection that serves no request, or turns away a caller that makes no progress, if there are as many connections as
// there may be. It reports false if the new connection has to be closed instead.
func (c *Connections) makeRoom() bool {
	open := c.Open()
	if open < c.limits.Connections {
		return true
	}
	if c.closeLongestUnused(time.Now()) {
		c.limits.Count(countClosedForOthers, 1)
		return true
	}
	if c.limits.Budget.TurnAwayOne() && open < c.limits.Connections+c.limits.spare() {
		return true
	}
	c.limits.Count(countConnectionRefused, 1)
	return false
}

// closeLongestUnused closes the connection that has served no request for the longest time, at once, so that its descriptor is free.
func (c *Connections) closeLongestUnused(now time.Time) bool {
	c.mu.Lock()
	var longest *conn
	var since time.Time
	for k := range c.open {
		if t, unused := k.unusedSince(now); unused && (longest == nil || t.Before(since)) {
			longest, since = k, t
		}
	}
	if longest == nil {
		c.mu.Unlock()
		return false
	}
	var notice []byte
	if longest.load() == stateIdle {
		notice = c.notice
		c.notified++
	}
	c.setState(longest, stateClosing)
	delete(c.open, longest)
	c.mu.Unlock()
	longest.closeAtOnce(notice)
	return true
}
