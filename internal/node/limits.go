package node

import (
	"syscall"
	"time"

	"fireflyshift/internal/ingress"
	"fireflyshift/internal/membudget"
	"fireflyshift/internal/upstream"
)

const (
	// reservedFiles are the descriptors that no socket may take, and minSockets the sockets that a host has in any case.
	reservedFiles = 200
	minSockets    = 64
	// callerFraction is the fraction of the sockets for callers. The rest is for backend servers, hosts, the store and operators.
	callerFraction = 0.625

	// defaultHeadBytes and defaultHeadTime limit heads until a configuration sets limits.
	defaultHeadBytes = 64 << 10
	defaultHeadTime  = 10 * time.Second
	// maxConfiguredHeaderBytes is the highest limit of heads that a configuration can set.
	maxConfiguredHeaderBytes = 1 << 20
	// reportInterval is the least time between two log lines on callers that were turned away.
	reportInterval = time.Second
)

// limits are a host's limits on what callers and others make it hold.
type limits struct {
	// budget is the memory for callers' requests.
	budget *membudget.Budget
	// callers is the number of callers' connections; zero stands for no limit.
	callers int

	reportedAt time.Time
	reported   map[string]int64
}

func newLimits(set *Settings) limits {
	l := limits{budget: membudget.ForHost(set.MemoryMB), reported: map[string]int64{}}
	if set.MaxDescriptors == 0 {
		return l
	}
	sockets := float64(max(minSockets, set.MaxDescriptors-reservedFiles))
	l.callers = int(callerFraction * sockets)
	return l
}

// headLimits returns the limits of callers' heads: those of the configuration in force.
func (n *Node) headLimits() ingress.HeadLimits {
	l := ingress.HeadLimits{Bytes: defaultHeadBytes, Time: defaultHeadTime}
	t := n.control.Table()
	if t == nil {
		return l
	}
	if c := t.Config.Limits; c.HeaderBytes > 0 {
		l.Bytes = c.HeaderBytes
	}
	if c := t.Config.Limits; c.HeaderTimeout > 0 {
		l.Time = c.HeaderTimeout
	}
	return l
}

// callerSocket sets options of the callers' listener, which its connections inherit.
func callerSocket(network, addr string, c syscall.RawConn) error {
	ingress.LimitBuffers(c)
	return upstream.SetCallerSilence(network, addr, c)
}

// turnedAwayCounts are the counters of what limits have done to callers and others, by their names in the log.
var turnedAwayCounts = map[string]string{
	"callers.head_too_long":       "head_too_long",
	"callers.head_timeout":        "head_timeout",
	"callers.head_without_memory": "head_without_memory",
	"callers.closed_for_others":   "closed_for_others",
	"callers.connection_refused":  "connection_refused",
	"callers.stalled":             "stalled",
	"callers.stalled_places":      "stalled_places",
	"requests.no_memory":          "no_memory",
}

// reportTurnedAway logs in one line how many callers limits have turned away since the last one, by cause.
func (n *Node) reportTurnedAway(now time.Time) {
	s := n.limits.budget.Stats()
	n.metrics.Set("callers.memory", s.Used)
	n.metrics.Count("callers.stalled", s.TurnedAway-n.metrics.Counter("callers.stalled").Count())
	if now.Sub(n.limits.reportedAt) < reportInterval {
		return
	}
	more := map[string]int64{}
	for counter, field := range turnedAwayCounts {
		count := n.metrics.Counter(counter).Count()
		if count > n.limits.reported[counter] {
			more[field] = count - n.limits.reported[counter]
			n.limits.reported[counter] = count
		}
	}
	if len(more) == 0 {
		return
	}
	n.limits.reportedAt = now
	line := n.log.Warn().Int64("memory", s.Used).Int64("memory_limit", s.Capacity).Int("connections", n.connections.Open())
	for field, count := range more {
		line = line.Int64(field, count)
	}
	line.Msg("Callers turned away by limits.")
}
